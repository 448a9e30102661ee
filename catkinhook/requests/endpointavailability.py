"""What endpoints said in their answers about the requests that follow."""

import threading
from collections.abc import Callable, Iterable

import attrs

from catkinhook.clocks import Clock, monotonic
from catkinhook.state.views import EndpointView

# Endpoints that are remembered as leaving, which bounds the memory; the oldest are forgotten first.
MAX_LEAVING = 4096
# Longest pause of an endpoint, so that no value of an answer leaves it out for ever.
MAX_PAUSE_S = 600.0
# Endpoints whose pauses are remembered, which bounds the memory; those that end first go first.
MAX_PAUSED = 4096
# Source of what an endpoint said to this host; another host is the source otherwise.
OWN_SOURCE = "answer"

# States of a change; ``RESUMED`` ends ``PAUSED``.
LEAVING = "leaving"
PAUSED = "paused"
RESUMED = "resumed"


@attrs.frozen(kw_only=True)
class LeavingEndpoint:
    """An endpoint that said that it leaves.

    :ivar boot_id: its boot; a later boot with the same id is not leaving.
    :ivar told_at: time at which an answer said so, on the local monotonic clock.
    """

    endpoint: str
    boot_id: str
    told_at: float


@attrs.frozen(kw_only=True)
class AvailabilityChange:
    """Change of whether an endpoint may get requests of this host.

    :ivar state: ``LEAVING``, ``PAUSED`` or ``RESUMED``.
    :ivar source: ``OWN_SOURCE`` or the name of the host that reported it.
    :ivar age_s: seconds since the answer that said so.
    :ivar pause_s: length of the pause, 0 for an endpoint that leaves.
    """

    endpoint: str
    address: str
    boot_id: str
    state: str
    source: str
    age_s: float
    pause_s: float = 0.0


@attrs.frozen(kw_only=True)
class _Pause:
    """A pause that an endpoint asked this host for."""

    view: EndpointView
    asked_at: float
    ends_at: float


class EndpointAvailability:
    """Endpoints that must get no requests, by their id and boot; thread-safe.

    The entry of an endpoint may still say that it is ready, lapse and come again. An endpoint that
    said that it leaves is left out for as long as this process knows its boot. One that asked for a
    pause wants nothing from this host until its end; other hosts are not told.

    :ivar on_change: called with each change of state, in the thread that recorded it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._leaving_by_boot: dict[tuple[str, str], LeavingEndpoint] = {}
        self._pause_by_boot: dict[tuple[str, str], _Pause] = {}
        self.on_change: Callable[[AvailabilityChange], None] = lambda change: None

    def record_leaving(self, view: EndpointView, source: str, told_at: float, now: float) -> None:
        """Record that an endpoint said that it leaves.

        :param source: as in ``AvailabilityChange``.
        :param told_at: time at which its answer said so.
        """
        key = (view.endpoint, view.boot_id)
        if key in self._leaving_by_boot:
            return
        leaving = LeavingEndpoint(endpoint=view.endpoint, boot_id=view.boot_id, told_at=told_at)
        with self._lock:
            if self._leaving_by_boot.setdefault(key, leaving) is not leaving:
                return
            if len(self._leaving_by_boot) > MAX_LEAVING:
                del self._leaving_by_boot[next(iter(self._leaving_by_boot))]
        self.on_change(
            AvailabilityChange(
                endpoint=view.endpoint,
                address=view.address,
                boot_id=view.boot_id,
                state=LEAVING,
                source=source,
                age_s=max(0.0, now - told_at),
            )
        )

    def record_pause(self, view: EndpointView, pause_s: float, now: float) -> None:
        """Record that an endpoint asked this host for a pause.

        :param pause_s: length of the pause, which is capped at ``MAX_PAUSE_S``.
        """
        key = (view.endpoint, view.boot_id)
        pause_s = min(pause_s, MAX_PAUSE_S)
        pause = _Pause(view=view, asked_at=now, ends_at=now + pause_s)
        with self._lock:
            previous = self._pause_by_boot.get(key)
            if pause_s <= 0 or (previous is not None and previous.ends_at >= pause.ends_at):
                return
            self._pause_by_boot[key] = pause
            if len(self._pause_by_boot) > MAX_PAUSED:
                first = min(self._pause_by_boot, key=lambda k: self._pause_by_boot[k].ends_at)
                del self._pause_by_boot[first]
        if previous is None:
            self.on_change(_make_pause_change(pause, PAUSED, now))

    def end_pauses(self, now: float) -> float | None:
        """Report the pauses that have ended; return when the next one ends, None if there is none.

        ``is_available`` doesn't depend on this call.
        """
        with self._lock:
            ended = {key: p for key, p in self._pause_by_boot.items() if p.ends_at <= now}
            for key in ended:
                del self._pause_by_boot[key]
            next_at = min((p.ends_at for p in self._pause_by_boot.values()), default=None)
        for pause in ended.values():
            self.on_change(_make_pause_change(pause, RESUMED, now))
        return next_at

    def find_pause_end(self, view: EndpointView) -> float | None:
        """Return when the pause of an endpoint ends, None if it has none or leaves."""
        if self.is_leaving(view.endpoint, view.boot_id):
            return None
        pause = self._pause_by_boot.get((view.endpoint, view.boot_id))
        return None if pause is None else pause.ends_at

    def is_leaving(self, endpoint: str, boot_id: str) -> bool:
        """Return whether an endpoint said that it leaves."""
        return (endpoint, boot_id) in self._leaving_by_boot

    def is_available(self, view: EndpointView, now: float) -> bool:
        """Return whether an endpoint may get requests."""
        key = (view.endpoint, view.boot_id)
        pause = self._pause_by_boot.get(key)
        return key not in self._leaving_by_boot and (pause is None or pause.ends_at <= now)

    def select_leaving(self, views: Iterable[EndpointView]) -> list[LeavingEndpoint]:
        """Return those of some endpoints that said that they leave."""
        found = (self._leaving_by_boot.get((view.endpoint, view.boot_id)) for view in views)
        return [leaving for leaving in found if leaving is not None]


def _make_pause_change(pause: _Pause, state: str, now: float) -> AvailabilityChange:
    return AvailabilityChange(
        endpoint=pause.view.endpoint,
        address=pause.view.address,
        boot_id=pause.view.boot_id,
        state=state,
        source=OWN_SOURCE,
        age_s=max(0.0, now - pause.asked_at),
        pause_s=pause.ends_at - pause.asked_at,
    )


class PauseEnds:
    """Service that reports the end of each pause, so that requests that wait can start.

    :param clock: the clock of the recorded pauses.
    """

    def __init__(self, availability: EndpointAvailability, clock: Clock = monotonic) -> None:
        self._availability = availability
        self._clock = clock
        self._changed = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pause-ends", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._changed.set()

    def notice(self) -> None:
        """Look at the pauses again; one was added."""
        self._changed.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            next_at = self._availability.end_pauses(self._clock())
            self._changed.wait(None if next_at is None else max(0.0, next_at - self._clock()))
            self._changed.clear()
