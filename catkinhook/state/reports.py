"""What gateways report to their controller, and suspects that all instances share."""

from collections.abc import Iterable

import attrs

from catkinhook.operations.burn import Bucket
from catkinhook.requests.suspects import EventKind, SuspectEvent


@attrs.frozen(kw_only=True)
class Demand:
    """Demand for a model or adapter.

    :ivar model: ``model`` or ``model/adapter``.
    :ivar in_progress: requests that run now.
    :ivar unmet: requests refused or queued for want of capacity since the last report.
    """

    model: str
    requests_per_second: float = 0.0
    in_progress: int = 0
    unmet: int = 0


@attrs.frozen(kw_only=True)
class Suspect:
    """One event about a request that was running when an endpoint crashed.

    :ivar fingerprint: hash of model, adapter and body.
    :ivar origin: instance that saw the event; with ``sequence`` it names the event.
    :ivar endpoint: endpoint that crashed or runs the retry.
    :ivar boot_id: its boot id; one crash that several instances saw counts once.
    :ivar seen_at: seconds on the local monotonic clock.
    """

    fingerprint: str
    model: str
    kind: EventKind
    origin: str
    sequence: int
    seen_at: float
    endpoint: str = ""
    boot_id: str = ""

    @property
    def event_id(self) -> tuple[str, int]:
        """Return the name of the event, unique among all instances."""
        return self.origin, self.sequence


@attrs.frozen(kw_only=True)
class GatewayReport:
    """State of one gateway.

    :ivar incarnation: differs after each restart.
    :ivar burn: all counters of the retained day, or empty when left out of this report.
    :ivar ready: whether the gateway admits work.
    """

    gateway: str
    incarnation: int
    in_progress: int = 0
    demands: tuple[Demand, ...] = ()
    suspects: tuple[Suspect, ...] = ()
    burn: tuple[Bucket, ...] = ()
    ready: bool = True


def make_suspect_events(suspects: Iterable[Suspect], now: float) -> list[SuspectEvent]:
    """Return the events of a snapshot with their present age."""
    return [
        SuspectEvent(
            fingerprint=suspect.fingerprint,
            model=suspect.model,
            kind=suspect.kind,
            origin=suspect.origin,
            sequence=suspect.sequence,
            age=max(0.0, now - suspect.seen_at),
            endpoint=suspect.endpoint,
            boot_id=suspect.boot_id,
        )
        for suspect in suspects
    ]
