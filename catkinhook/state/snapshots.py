"""Snapshots of routing state, from the controller of a host to its gateways."""

import logging
import random
import threading
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import StepError
from catkinhook.operations.burn import MINUTE_S, RETENTION_MINUTES, Bucket
from catkinhook.peering import structs, wire
from catkinhook.peering.peers import CALL_TIMEOUT, PeerClient
from catkinhook.state.changes import Configuration, apply_batch
from catkinhook.state.documents import Catalog
from catkinhook.state.reports import Demand, GatewayReport, Suspect
from catkinhook.state.views import EndpointView, Snapshot
from catkinhook.thrift_gen import ttypes

MAX_WAIT_S = 5.0
# Removals kept for differences; a gateway that missed more gets everything.
MAX_REMOVED = 4096
# Seconds after which a silent gateway's demand no longer counts.
REPORT_LIFETIME = 5.0
# Burn counters outlive a gateway by their retention, for this many gateways.
MAX_BURN_SOURCES = 64

POLL_WAIT_S = 0.5
# Bounds the calls when the controller publishes one endpoint at a time.
MIN_POLL_INTERVAL = 0.1
FIRST_BACKOFF = 0.1
MAX_BACKOFF = 3.0
MAX_UNSENT_SUSPECTS = 256

_log = logging.getLogger(__name__)


@attrs.define
class _Entry:
    view: EndpointView
    revision: int


@attrs.define
class _Received:
    report: GatewayReport
    at: float


class SnapshotPublisher:
    """Controller side: revisions of the routing state, and the reports of gateways.

    :param incarnation: of this controller; gateways ask for everything when it changes.
    :param read_configuration: returns the configuration in force.
    :param read_current: tells whether that is known to be current.
    :param on_suspects: takes suspect events as gateways report them.
    """

    def __init__(
        self,
        incarnation: int,
        read_configuration: Callable[[], Configuration],
        read_current: Callable[[], bool],
        on_suspects: Callable[[list[Suspect]], None],
        clock: Clock = monotonic,
    ) -> None:
        self._incarnation = incarnation
        self._read_configuration = read_configuration
        self._read_current = read_current
        self._on_suspects = on_suspects
        self._clock = clock
        self._changed = threading.Condition()
        self._revision = 1
        self._entry_by_id: dict[str, _Entry] = {}
        self._removed: dict[str, int] = {}
        self._oldest_removal = 0
        self._suspects: list[Suspect] = []
        self._share = 0.0
        self._members = 0
        self._received: dict[str, _Received] = {}
        self._burn: dict[tuple[str, int], tuple[tuple[Bucket, ...], float]] = {}
        self._unmet: Counter[str] = Counter()
        self._closing = False

    def start(self) -> None:
        """Do nothing; the peer server calls ``answer``."""

    def close(self) -> None:
        """Answer all calls that wait."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def publish_endpoints(self, endpoints: list[EndpointView]) -> None:
        """Replace all endpoints; those that are equal to the last ones are not sent again."""
        with self._changed:
            revision = self._revision + 1
            entries = {}
            for view in endpoints:
                known = self._entry_by_id.get(view.endpoint)
                same = known is not None and known.view == view
                entries[view.endpoint] = known if same else _Entry(view, revision)
                self._removed.pop(view.endpoint, None)
            gone = [endpoint for endpoint in self._entry_by_id if endpoint not in entries]
            self._removed.update(dict.fromkeys(gone, revision))
            while len(self._removed) > MAX_REMOVED:
                oldest = next(iter(self._removed))
                self._oldest_removal = self._removed.pop(oldest)
            if gone or any(entry.revision == revision for entry in entries.values()):
                self._advance()
            self._entry_by_id = entries

    def publish_catalog(self, catalog: Catalog) -> None:
        """Wake the gateways that wait, since the configuration has changed."""
        with self._changed:
            self._advance()

    def publish_suspects(self, events: list[Suspect]) -> None:
        """Replace the suspect events that all gateways hear of."""
        with self._changed:
            if events != self._suspects:
                self._suspects = list(events)
                self._advance()

    def publish_share(self, share: float, members: int) -> None:
        """Set this host's share of service limits and the number of live controllers."""
        with self._changed:
            if (share, members) != (self._share, self._members):
                self._share, self._members = share, members
                self._advance()

    def handle_request(
        self, request: ttypes.SnapshotRequest, peer: str = ""
    ) -> ttypes.SnapshotReply:
        """Take a gateway's report, wait for a change and return what is new.

        :raises StepError: if the report is incomplete or there is no configuration yet.
        """
        self.record_report(wire.decode_report(request.report, self._clock(), peer))
        known = request.known_revision or 0
        fresh = request.known_incarnation != self._incarnation or not known
        deadline = self._clock() + min(MAX_WAIT_S, (request.wait_ms or 0) / structs.MS_PER_S)
        with self._changed:
            while not (fresh or self._closing or self._revision > known):
                remaining = deadline - self._clock()
                if remaining <= 0 or not self._changed.wait(remaining):
                    break
            full = fresh or not self._oldest_removal <= known <= self._revision
            reply = self._render(0 if full else known, full)
        configuration = self._read_configuration()
        if not configuration.loaded:
            raise StepError("snapshots", "", "the controller has no configuration yet")
        batch = configuration.changes_after(request.known_configuration or 0)
        reply.configuration = wire.encode_batch(batch)
        reply.current = self._read_current()
        return reply

    def record_report(self, report: GatewayReport) -> None:
        """Record a gateway's report and pass its suspects on."""
        now = self._clock()
        with self._changed:
            self._received[report.gateway] = _Received(report, now)
            self._unmet.update({d.model: d.unmet for d in report.demands if d.unmet})
            if report.burn:
                self._burn.pop((report.gateway, report.incarnation), None)
                self._burn[report.gateway, report.incarnation] = (report.burn, now)
                while len(self._burn) > MAX_BURN_SOURCES:
                    del self._burn[next(iter(self._burn))]
        if report.suspects:
            self._on_suspects(list(report.suspects))

    def now(self) -> float:
        """Return the time on the clock that reports were received by."""
        return self._clock()

    def count_endpoints(self) -> int:
        """Return the number of published endpoints."""
        return len(self._entry_by_id)

    def list_reports(self) -> list[GatewayReport]:
        """Return the newest report of each live gateway."""
        with self._changed:
            oldest = self._clock() - REPORT_LIFETIME
            for name in [n for n, got in self._received.items() if got.at < oldest]:
                del self._received[name]
            return [got.report for got in self._received.values()]

    def take_demands(self) -> list[Demand]:
        """Return demand summed over gateways; unmet requests count once, in the next call."""
        live = self.list_reports()
        rate: Counter[str] = Counter()
        running: Counter[str] = Counter()
        for demand in (demand for report in live for demand in report.demands):
            rate[demand.model] += demand.requests_per_second
            running[demand.model] += demand.in_progress
        with self._changed:
            unmet, self._unmet = self._unmet, Counter()
        return [
            Demand(
                model=model,
                requests_per_second=rate[model],
                in_progress=running[model],
                unmet=unmet[model],
            )
            for model in sorted(rate.keys() | unmet.keys())
        ]

    def list_burn(self) -> list[Bucket]:
        """Return the burn counters of this host's gateways, aged since they were reported."""
        with self._changed:
            now = self._clock()
            sources = list(self._burn.values())
        aged = [
            attrs.evolve(bucket, minutes_ago=bucket.minutes_ago + int((now - at) // MINUTE_S))
            for buckets, at in sources
            for bucket in buckets
        ]
        return [bucket for bucket in aged if bucket.minutes_ago < RETENTION_MINUTES]

    def _advance(self) -> None:
        self._revision += 1
        self._changed.notify_all()

    def _render(self, known: int, full: bool) -> ttypes.SnapshotReply:
        now = self._clock()
        changed = [entry.view for entry in self._entry_by_id.values() if entry.revision > known]
        return ttypes.SnapshotReply(
            revision=self._revision,
            incarnation=self._incarnation,
            endpoints=[wire.encode_endpoint(view, now) for view in changed],
            removed=[] if full else [e for e, at in self._removed.items() if at > known],
            suspects=structs.encode_suspects(self._suspects, now),
            share=self._share,
            members=self._members,
            full=full,
        )


@attrs.frozen(eq=False)
class GatewayState:
    """What a gateway knows from its controller.

    :ivar incarnation: of the controller that ``revision`` belongs to.
    """

    revision: int = 0
    incarnation: int = 0
    configuration: Configuration = attrs.Factory(Configuration)
    endpoint_by_id: dict[str, EndpointView] = attrs.Factory(dict)
    suspects: tuple[Suspect, ...] = ()
    share: float = 0.0
    current: bool = False

    def build_snapshot(self) -> Snapshot:
        """Return the snapshot for the request path."""
        return Snapshot(
            revision=self.revision,
            catalog=self.configuration.catalog,
            endpoint_by_id=self.endpoint_by_id,
            share=self.share,
            current=self.current,
            suspects=self.suspects,
        )


def apply_reply(
    state: GatewayState, reply: ttypes.SnapshotReply, asked: int, now: float, peer: str
) -> GatewayState:
    """Apply a controller's reply; the configuration only moves forward.

    :param asked: configuration number that the call named as known.
    :raises StepError: if the reply's configuration is incomplete.
    """
    endpoint_by_id = {} if reply.full else dict(state.endpoint_by_id)
    for struct in reply.endpoints:
        endpoint_by_id[struct.endpoint] = wire.decode_endpoint(struct, now)
    for endpoint in reply.removed:
        endpoint_by_id.pop(endpoint, None)
    batch = wire.decode_batch(reply.configuration, peer)
    return GatewayState(
        revision=reply.revision,
        incarnation=reply.incarnation,
        configuration=apply_batch(state.configuration, batch, asked),
        endpoint_by_id=endpoint_by_id,
        suspects=tuple(structs.decode_suspects(reply.suspects, now)),
        share=reply.share,
        # A controller that restarted may know an older configuration than this gateway.
        current=bool(reply.current) and batch.number >= state.configuration.number,
    )


class _Outbox:
    """Suspect events that no call has delivered yet."""

    def __init__(self, make_report: Callable[[], GatewayReport]) -> None:
        self._make_report = make_report
        self._unsent: dict[tuple[str, int], Suspect] = {}
        self._lock = threading.Lock()

    def fill(self) -> GatewayReport:
        """Return a report that also carries what earlier calls failed to deliver."""
        report = self._make_report()
        with self._lock:
            self._unsent.update({event.event_id: event for event in report.suspects})
            while len(self._unsent) > MAX_UNSENT_SUSPECTS:
                del self._unsent[next(iter(self._unsent))]
            return attrs.evolve(report, suspects=tuple(self._unsent.values()))

    def settle(self, delivered: Iterable[Suspect]) -> None:
        """Forget events that a call delivered."""
        with self._lock:
            for event in delivered:
                self._unsent.pop(event.event_id, None)


class SnapshotClient:
    """Gateway side: threads that keep the last snapshot and report to the controller.

    :param address: ``IP:port`` of this host's controller.
    :param staleness_limit: seconds without an answer after which the snapshot isn't current.
    """

    def __init__(
        self,
        address: str,
        secret: bytes,
        staleness_limit: float,
        rng: random.Random,
        clock: Clock = monotonic,
    ) -> None:
        self._address = address
        self._poller = PeerClient(address, secret, CALL_TIMEOUT, clock)
        # Long calls occupy their connection, so urgent reports have their own.
        self._pusher = PeerClient(address, secret, CALL_TIMEOUT, clock)
        self._staleness_limit = staleness_limit
        self._rng = rng
        self._clock = clock
        self._state = GatewayState()
        self._answered_at = clock()
        self._closing = threading.Event()
        self._urgent = threading.Event()
        self._threads: list[threading.Thread] = []
        self._connected = False

    def start(
        self, on_snapshot: Callable[[Snapshot], None], make_report: Callable[[], GatewayReport]
    ) -> None:
        """Begin to poll.

        :param on_snapshot: takes each new snapshot, from one thread.
        :param make_report: returns the gateway's state; suspects need to be returned once only.
        """
        outbox = _Outbox(make_report)
        targets = (lambda: self._poll_until_closed(on_snapshot, outbox), lambda: self._push(outbox))
        for target in targets:
            thread = threading.Thread(target=target, name="snapshots", daemon=True)
            thread.start()
            self._threads.append(thread)

    def close(self) -> None:
        """Stop and wait for the threads."""
        self._closing.set()
        self._urgent.set()
        self._poller.close()
        self._pusher.close()
        for thread in self._threads:
            thread.join()

    def report_now(self) -> None:
        """Report now, because of a new suspect."""
        self._urgent.set()

    def _poll_until_closed(self, on_snapshot: Callable[[Snapshot], None], outbox: _Outbox) -> None:
        failures = 0
        while not self._closing.is_set():
            try:
                failures = 0 if self._poll(on_snapshot, outbox) else failures + 1
            except Exception:
                failures += 1
                _log.exception("snapshot poll failed")
            self._closing.wait(self._choose_delay(failures))

    def _poll(self, on_snapshot: Callable[[Snapshot], None], outbox: _Outbox) -> bool:
        state = self._state
        report = outbox.fill()
        request = self._make_request(report, POLL_WAIT_S)
        result = self._poller.call("snapshot", request, extra_time=POLL_WAIT_S)
        if result.is_err():
            self._note_failure(result.unwrap_err(), on_snapshot)
            return False
        outbox.settle(report.suspects)
        now = self._clock()
        asked = state.configuration.number
        self._answered_at = now
        self._state = apply_reply(state, result.unwrap(), asked, now, self._address)
        if not self._connected:
            self._connected = True
            _log.info("controller answers", extra={"peer": self._address})
        if _differs(state, self._state):
            on_snapshot(self._state.build_snapshot())
        return True

    def _note_failure(self, error: StepError, on_snapshot: Callable[[Snapshot], None]) -> None:
        if self._connected:
            self._connected = False
            _log.warning("controller doesn't answer", extra={"error": str(error)})
        stale = self._clock() - self._answered_at > self._staleness_limit
        if stale and self._state.current:
            self._state = attrs.evolve(self._state, current=False)
            on_snapshot(self._state.build_snapshot())

    def _make_request(self, report: GatewayReport, wait: float) -> ttypes.SnapshotRequest:
        state = self._state
        return ttypes.SnapshotRequest(
            known_revision=state.revision,
            known_configuration=state.configuration.number,
            wait_ms=int(wait * structs.MS_PER_S),
            report=wire.encode_report(report, self._clock()),
            known_incarnation=state.incarnation,
        )

    def _push(self, outbox: _Outbox) -> None:
        while not self._closing.is_set():
            self._urgent.wait()
            self._urgent.clear()
            if self._closing.is_set():
                return
            try:
                report = outbox.fill()
                request = self._make_request(report, 0.0)
                if self._pusher.call("snapshot", request).is_ok():
                    outbox.settle(report.suspects)
            except Exception:
                _log.exception("urgent report failed")

    def _choose_delay(self, failures: int) -> float:
        if not failures:
            return MIN_POLL_INTERVAL
        longest = min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** min(failures - 1, 10))
        return self._rng.uniform(longest / 2, longest)


def _differs(old: GatewayState, new: GatewayState) -> bool:
    if (old.revision, old.incarnation, old.current) != (new.revision, new.incarnation, new.current):
        return True
    return old.configuration is not new.configuration
