"""States of claims and the data that passes between claims and their callers."""

import enum
import hashlib

import attrs

from catkinhook.durable.claimanswers import Answer


class State(enum.StrEnum):
    """State of a claim as stored."""

    CLAIMED = "claimed"
    SENT = "sent"
    DONE = "done"
    SETTLED_RAN = "settled-ran"
    SETTLED_NOT_RUN = "settled-not-run"


@attrs.frozen(kw_only=True)
class Claim:
    """The right of one attempt to run a key.

    :ivar claimant: id of the attempt, the same through all its transitions.
    :ivar version: version of the row after the last transition.
    :ivar send_by: seconds on the local clock after which the request must not be sent any more;
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
    """The caller's request may proceed under this claim."""

    claim: Claim


@attrs.frozen
class StoredAnswer:
    """The key ran before and this is its answer."""

    answer: Answer


@attrs.frozen
class ClaimInProgress:
    """Another attempt holds the key."""

    state: State


@attrs.frozen(kw_only=True)
class OpenClaim:
    """A claim whose outcome is not stored.

    :ivar lost: true when its gateway has given up waiting for an answer.
    :ivar unchanged: seconds for which this process has seen the row unchanged.
    """

    key: str
    state: State
    lost: bool
    unchanged: float
    labels: dict[str, str]


def hash_key(service: str, caller: str, idempotency_key: str) -> str:
    """Return the claim key of a caller's idempotency key."""
    parts = [service, caller, idempotency_key]
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()
