"""Reports of gateways to their controller, and suspect events shared by all instances."""

from collections.abc import Iterable

import attrs

from catkinhook.operations.burn import Bucket
from catkinhook.requests.suspects import EventKind, SuspectEvent


@attrs.frozen(kw_only=True)
class Demand:
    """Demand for a model or adapter.

    :ivar model: ``model`` or ``model/adapter``.
    :ivar in_progress: requests in progress.
    :ivar unmet: requests refused or queued for lack of capacity since the last report.
    """

    model: str
    requests_per_second: float = 0.0
    in_progress: int = 0
    unmet: int = 0


@attrs.frozen(kw_only=True)
class Suspect:
    """One event about a request that was in progress when an endpoint crashed.

    :ivar fingerprint: hash of model, adapter and body.
    :ivar origin: instance that observed the event; with ``sequence`` it identifies the event.
    :ivar endpoint: endpoint that crashed or executes the retry.
    :ivar boot_id: boot id of the endpoint, so that a crash observed by several instances counts
        once.
    :ivar seen_at: time of the event in seconds on the local monotonic clock.
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
        """Return the id of the event, unique among all instances."""
        return self.origin, self.sequence


@attrs.frozen(kw_only=True)
class GatewayReport:
    """State of one gateway.

    :ivar incarnation: number that changes with each restart.
    :ivar burn: all retained burn counters, or empty if this report omits them.
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
    """Convert the suspects of a snapshot to events with their current age."""
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
