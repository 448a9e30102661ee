"""The claim of one request through its attempts, with a correct final state on every exit path."""

import enum
from typing import Protocol

from result import Err, Ok, Result

from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.claimtypes import Claim, ClaimAcquired, StoredAnswer
from catkinhook.errors import Refusal, StepError


class ClaimOperations(Protocol):
    """Operations on claims, as ``catkinhook.durable.claims.ClaimStore`` implements them."""

    def acquire(
        self, key: str, body_hash: str, timeout: float, labels: dict[str, str]
    ) -> Result[ClaimAcquired | StoredAnswer, Refusal]:
        """Claim a key, or return the stored answer of an earlier request with it."""

    def mark_sent(self, claim: Claim) -> Result[Claim, Refusal]:
        """Record that the request is about to be sent."""

    def may_send(self, claim: Claim) -> bool:
        """Return whether the deadline for sending the request has not passed yet."""

    def release_not_run(self, claim: Claim, retry: bool) -> Result[Claim, Refusal]:
        """Record that the endpoint did not execute the request."""

    def mark_lost(self, claim: Claim) -> None:
        """Record that the answer was lost."""

    def complete(self, claim: Claim, answer: Answer) -> Result[None, StepError]:
        """Store the answer."""


class _Phase(enum.Enum):
    CLAIMED = "claimed"
    SENT = "sent"
    ENDED = "ended"


class HeldClaim:
    """Claim of a request that one thread executes; call ``close`` on every exit path."""

    def __init__(self, claims: ClaimOperations, claim: Claim) -> None:
        self._claims = claims
        self._claim = claim
        self._phase = _Phase.CLAIMED

    def mark_sent(self) -> Result[None, Refusal]:
        """Record that the request is about to be sent; after an error it must not be sent."""
        return self._apply_transition(self._claims.mark_sent(self._claim), _Phase.SENT)

    def may_send(self) -> bool:
        """Return whether sending may start now; false if the process was paused for too long."""
        return self._claims.may_send(self._claim)

    def release_for_retry(self) -> Result[None, Refusal]:
        """Record that the endpoint did not execute the request; keep the claim for a retry."""
        return self._apply_transition(
            self._claims.release_not_run(self._claim, retry=True), _Phase.CLAIMED
        )

    def complete(self, answer: Answer) -> None:
        """Store the answer; an unconfirmed write is retried in the background."""
        self._phase = _Phase.ENDED
        self._claims.complete(self._claim, answer)

    def close(self) -> None:
        """Release the claim of an unsent request; record a sent one without an answer as lost."""
        phase, self._phase = self._phase, _Phase.ENDED
        if phase is _Phase.CLAIMED:
            self._claims.release_not_run(self._claim, retry=False)
        elif phase is _Phase.SENT:
            self._claims.mark_lost(self._claim)

    def _apply_transition(
        self, result: Result[Claim, Refusal], phase: _Phase
    ) -> Result[None, Refusal]:
        if result.is_err():
            # The claim store releases an unconfirmed claim in the background.
            self._phase = _Phase.ENDED
            return Err(result.unwrap_err())
        self._claim, self._phase = result.unwrap(), phase
        return Ok(None)
