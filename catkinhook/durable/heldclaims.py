"""A claim through the attempts of one request, so that every way out leaves it in a true state."""

import enum
from typing import Protocol

from result import Err, Ok, Result

from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.claimstates import Claim, ClaimAcquired, StoredAnswer
from catkinhook.errors import Refusal, StepError


class ClaimOperations(Protocol):
    """Claims of non-repeatable requests; ``catkinhook.durable.claims.Claims`` is one."""

    def acquire(
        self, key: str, body_hash: str, timeout: float, labels: dict[str, str]
    ) -> Result[ClaimAcquired | StoredAnswer, Refusal]:
        """Claim a key, or return the answer of an earlier request with it."""

    def mark_sent(self, claim: Claim) -> Result[Claim, Refusal]:
        """Record that the request is about to be sent."""

    def may_send(self, claim: Claim) -> bool:
        """Return whether the request may be sent now."""

    def release_not_run(self, claim: Claim, retry: bool) -> Result[Claim, Refusal]:
        """Record that the endpoint did not run the request."""

    def mark_lost(self, claim: Claim) -> None:
        """Record that no answer can be expected any more."""

    def complete(self, claim: Claim, answer: Answer) -> Result[None, StepError]:
        """Store the answer."""


class _Phase(enum.Enum):
    CLAIMED = "claimed"
    SENT = "sent"
    ENDED = "ended"


class HeldClaim:
    """Claim of the request that one thread runs; ``end`` must be called on every way out."""

    def __init__(self, claims: ClaimOperations, claim: Claim) -> None:
        self._claims = claims
        self._claim = claim
        self._phase = _Phase.CLAIMED

    def mark_sent(self) -> Result[None, Refusal]:
        """Record that bytes may leave; an error says that the request must not be sent."""
        return self._take(self._claims.mark_sent(self._claim), _Phase.SENT)

    def may_send(self) -> bool:
        """Return whether the first byte may leave now, since the process may have been paused."""
        return self._claims.may_send(self._claim)

    def release_for_retry(self) -> Result[None, Refusal]:
        """Record that the endpoint did not run the request, and keep it for another endpoint."""
        return self._take(self._claims.release_not_run(self._claim, retry=True), _Phase.CLAIMED)

    def complete(self, answer: Answer) -> None:
        """Store the answer; what the store does not take is retried in the background."""
        self._phase = _Phase.ENDED
        self._claims.complete(self._claim, answer)

    def close(self) -> None:
        """Release a claim that was not sent; record a sent one without an answer as lost."""
        phase, self._phase = self._phase, _Phase.ENDED
        if phase is _Phase.CLAIMED:
            self._claims.release_not_run(self._claim, retry=False)
        elif phase is _Phase.SENT:
            self._claims.mark_lost(self._claim)

    def _take(self, result: Result[Claim, Refusal], phase: _Phase) -> Result[None, Refusal]:
        if result.is_err():
            # The claims settle what the store did not confirm.
            self._phase = _Phase.ENDED
            return Err(result.unwrap_err())
        self._claim, self._phase = result.unwrap(), phase
        return Ok(None)
