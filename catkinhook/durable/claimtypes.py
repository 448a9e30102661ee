"""States of claims, and the types that the claim store takes and returns."""

import enum
import hashlib

import attrs

from catkinhook.durable.claimanswers import Answer


class State(enum.StrEnum):
    """State of a claim, as stored in its row."""

    CLAIMED = "claimed"
    SENT = "sent"
    DONE = "done"
    SETTLED_RAN = "settled-ran"
    SETTLED_NOT_RUN = "settled-not-run"


@attrs.frozen(kw_only=True)
class Claim:
    """The exclusive right of one attempt to execute the request with a key.

    :ivar claimant: id of the attempt, constant through all its transitions.
    :ivar version: version of the row after the last transition.
    :ivar send_by: time on the local clock, in seconds, after which the request must not be sent;
        0 before ``mark_sent``.
    """

    key: str
    body_hash: str
    claimant: str
    version: int
    labels: dict[str, str]
    send_by: float = 0.0


@attrs.frozen
class ClaimAcquired:
    """The key was claimed; the request may be sent after ``mark_sent``."""

    claim: Claim


@attrs.frozen
class StoredAnswer:
    """The request with this key was executed before, and this is its answer."""

    answer: Answer


@attrs.frozen
class ClaimInProgress:
    """Another attempt holds the claim on the key."""

    state: State


@attrs.frozen(kw_only=True)
class OpenClaim:
    """A claim without a stored outcome.

    :ivar lost: true when its gateway has recorded that the answer was lost.
    :ivar unchanged: seconds since this process first saw the current version of the row.
    """

    key: str
    state: State
    lost: bool
    unchanged: float
    labels: dict[str, str]


def hash_key(service: str, caller: str, idempotency_key: str) -> str:
    """Return the claim key for an idempotency key of a caller of a service.

    Each part is preceded by its length, so that no two different triples give the same text.
    """
    parts = [service, caller, idempotency_key]
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()
