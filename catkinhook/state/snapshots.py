"""Snapshots of routing state, published by a host's controller to its gateways."""

import logging
import random
import threading
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import StepError
from catkinhook.operations.burn import MINUTE_S, RETENTION_MINUTES, Bucket
from catkinhook.peering import controllermessages, thriftfields
from catkinhook.peering.peers import CALL_TIMEOUT_S, PeerClient
from catkinhook.state.configurationchanges import Configuration, apply_batch
from catkinhook.state.documents import Catalog
from catkinhook.state.gatewayreports import Demand, GatewayReport, Suspect
from catkinhook.state.views import EndpointView, Snapshot
from catkinhook.thrift_gen import ttypes

MAX_WAIT_S = 5.0
# Number of removals kept for incremental replies; a gateway that missed more gets a full one.
MAX_REMOVALS = 4096
# Seconds after the last report for which a gateway's demand is counted.
REPORT_LIFETIME_S = 5.0
# Maximum number of gateway incarnations whose burn counters are kept. The counters of a stopped
# gateway count until their retention ends.
MAX_BURN_SOURCES = 64

POLL_WAIT_S = 0.5
# Limits the rate of calls when the controller publishes endpoints one by one.
MIN_POLL_INTERVAL_S = 0.1
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
MAX_UNDELIVERED_SUSPECTS = 256

_log = logging.getLogger(__name__)


@attrs.define
class _VersionedView:
    view: EndpointView
    revision: int


@attrs.define
class _TimedReport:
    report: GatewayReport
    received_at: float


class SnapshotPublisher:
    """Controller side: serves revisions of the routing state and collects gateways' reports.

    :param incarnation: incarnation of this controller; when it changes, gateways get a full reply.
    :param read_configuration: returns the configuration in force.
    :param is_configuration_current: returns whether that configuration is known to be current.
    :param on_suspects: called with suspect events that gateways report.
    """

    def __init__(
        self,
        incarnation: int,
        read_configuration: Callable[[], Configuration],
        is_configuration_current: Callable[[], bool],
        on_suspects: Callable[[list[Suspect]], None],
        clock: Clock = monotonic,
    ) -> None:
        self._incarnation = incarnation
        self._read_configuration = read_configuration
        self._is_configuration_current = is_configuration_current
        self._on_suspects = on_suspects
        self._clock = clock
        self._changed = threading.Condition()
        self._revision = 1
        self._entry_by_id: dict[str, _VersionedView] = {}
        self._removed_at_revision: dict[str, int] = {}
        self._last_dropped_revision = 0
        self._suspects: list[Suspect] = []
        self._share = 0.0
        self._members = 0
        self._report_by_gateway: dict[str, _TimedReport] = {}
        self._burn_by_source: dict[tuple[str, int], tuple[tuple[Bucket, ...], float]] = {}
        self._unmet_by_model: Counter[str] = Counter()
        self._closing = False

    def start(self) -> None:
        """Do nothing; the peer server calls ``handle_request``."""

    def close(self) -> None:
        """Reply to all waiting calls."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def publish_endpoints(self, endpoints: list[EndpointView]) -> None:
        """Replace all endpoints; unchanged ones keep their revision and are not sent again."""
        with self._changed:
            revision = self._revision + 1
            entries = {}
            for view in endpoints:
                known = self._entry_by_id.get(view.endpoint)
                is_unchanged = known is not None and known.view == view
                entries[view.endpoint] = known if is_unchanged else _VersionedView(view, revision)
                self._removed_at_revision.pop(view.endpoint, None)
            removed = [endpoint for endpoint in self._entry_by_id if endpoint not in entries]
            self._removed_at_revision.update(dict.fromkeys(removed, revision))
            while len(self._removed_at_revision) > MAX_REMOVALS:
                oldest = next(iter(self._removed_at_revision))
                self._last_dropped_revision = self._removed_at_revision.pop(oldest)
            if removed or any(entry.revision == revision for entry in entries.values()):
                self._increment_revision()
            self._entry_by_id = entries

    def publish_catalog(self, catalog: Catalog) -> None:
        """Reply to waiting gateways, because the configuration has changed."""
        with self._changed:
            self._increment_revision()

    def publish_suspects(self, events: list[Suspect]) -> None:
        """Replace the suspect events that are sent to all gateways."""
        with self._changed:
            if events != self._suspects:
                self._suspects = list(events)
                self._increment_revision()

    def publish_share(self, share: float, members: int) -> None:
        """Set this host's share of service limits and the number of live controllers."""
        with self._changed:
            if (share, members) != (self._share, self._members):
                self._share, self._members = share, members
                self._increment_revision()

    def handle_request(
        self, request: ttypes.SnapshotRequest, peer: str = ""
    ) -> ttypes.SnapshotReply:
        """Record a gateway's report, wait for a change and return the changes (long poll).

        :raises StepError: if the report is incomplete or there is no configuration yet.
        """
        self.record_report(controllermessages.decode_report(request.report, self._clock(), peer))
        known = request.known_revision or 0
        is_unsynced = request.known_incarnation != self._incarnation or not known
        deadline = self._clock() + min(MAX_WAIT_S, (request.wait_ms or 0) / thriftfields.MS_PER_S)
        with self._changed:
            while not (is_unsynced or self._closing or self._revision > known):
                remaining = deadline - self._clock()
                if remaining <= 0 or not self._changed.wait(remaining):
                    break
            full = is_unsynced or not self._last_dropped_revision <= known <= self._revision
            reply = self._build_reply(0 if full else known, full)
        configuration = self._read_configuration()
        if not configuration.loaded:
            raise StepError("snapshots", "", "the controller has no configuration yet")
        batch = configuration.changes_after(request.known_configuration or 0)
        reply.configuration = controllermessages.encode_batch(batch)
        reply.current = self._is_configuration_current()
        return reply

    def record_report(self, report: GatewayReport) -> None:
        """Record a gateway's report and forward its suspect events."""
        now = self._clock()
        with self._changed:
            self._report_by_gateway[report.gateway] = _TimedReport(report, now)
            self._unmet_by_model.update({d.model: d.unmet for d in report.demands if d.unmet})
            if report.burn:
                self._burn_by_source.pop((report.gateway, report.incarnation), None)
                self._burn_by_source[report.gateway, report.incarnation] = (report.burn, now)
                while len(self._burn_by_source) > MAX_BURN_SOURCES:
                    del self._burn_by_source[next(iter(self._burn_by_source))]
        if report.suspects:
            self._on_suspects(list(report.suspects))

    def now(self) -> float:
        """Return the current time of the clock that dates reports."""
        return self._clock()

    def count_endpoints(self) -> int:
        """Return the number of published endpoints."""
        return len(self._entry_by_id)

    def list_reports(self) -> list[GatewayReport]:
        """Return the newest report of each live gateway."""
        with self._changed:
            oldest = self._clock() - REPORT_LIFETIME_S
            expired = [
                gateway
                for gateway, timed in self._report_by_gateway.items()
                if timed.received_at < oldest
            ]
            for gateway in expired:
                del self._report_by_gateway[gateway]
            return [timed.report for timed in self._report_by_gateway.values()]

    def collect_demands(self) -> list[Demand]:
        """Return the total demand of all gateways; each unmet request counts in one call only."""
        live = self.list_reports()
        rate: Counter[str] = Counter()
        running: Counter[str] = Counter()
        for demand in (demand for report in live for demand in report.demands):
            rate[demand.model] += demand.requests_per_second
            running[demand.model] += demand.in_progress
        with self._changed:
            unmet, self._unmet_by_model = self._unmet_by_model, Counter()
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
        """Return the burn counters of this host's gateways, with their current age."""
        with self._changed:
            now = self._clock()
            counters = list(self._burn_by_source.values())
        aged = [
            attrs.evolve(
                bucket, minutes_ago=bucket.minutes_ago + int((now - received_at) // MINUTE_S)
            )
            for buckets, received_at in counters
            for bucket in buckets
        ]
        return [bucket for bucket in aged if bucket.minutes_ago < RETENTION_MINUTES]

    def _increment_revision(self) -> None:
        self._revision += 1
        self._changed.notify_all()

    def _build_reply(self, known: int, full: bool) -> ttypes.SnapshotReply:
        now = self._clock()
        changed = [entry.view for entry in self._entry_by_id.values() if entry.revision > known]
        return ttypes.SnapshotReply(
            revision=self._revision,
            incarnation=self._incarnation,
            endpoints=[controllermessages.encode_endpoint(view, now) for view in changed],
            removed=(
                []
                if full
                else [
                    endpoint
                    for endpoint, revision in self._removed_at_revision.items()
                    if revision > known
                ]
            ),
            suspects=thriftfields.encode_suspects(self._suspects, now),
            share=self._share,
            members=self._members,
            full=full,
        )


@attrs.frozen(eq=False)
class GatewayState:
    """Routing state that a gateway has received from its controller.

    :ivar incarnation: incarnation of the controller that issued ``revision``.
    """

    revision: int = 0
    incarnation: int = 0
    configuration: Configuration = attrs.Factory(Configuration)
    endpoint_by_id: dict[str, EndpointView] = attrs.Factory(dict)
    suspects: tuple[Suspect, ...] = ()
    share: float = 0.0
    current: bool = False

    def build_snapshot(self) -> Snapshot:
        """Return the state as a snapshot for the request path."""
        return Snapshot(
            revision=self.revision,
            catalog=self.configuration.catalog,
            endpoint_by_id=self.endpoint_by_id,
            share=self.share,
            current=self.current,
            suspects=self.suspects,
        )


def apply_reply(
    state: GatewayState, reply: ttypes.SnapshotReply, requested_after: int, now: float, peer: str
) -> GatewayState:
    """Apply a controller's reply; the configuration never reverts to an older one.

    :param requested_after: configuration number that the request gave as known.
    :raises StepError: if the reply's configuration is incomplete.
    """
    endpoint_by_id = {} if reply.full else dict(state.endpoint_by_id)
    for struct in reply.endpoints:
        endpoint_by_id[struct.endpoint] = controllermessages.decode_endpoint(struct, now)
    for endpoint in reply.removed:
        endpoint_by_id.pop(endpoint, None)
    batch = controllermessages.decode_batch(reply.configuration, peer)
    return GatewayState(
        revision=reply.revision,
        incarnation=reply.incarnation,
        configuration=apply_batch(state.configuration, batch, requested_after),
        endpoint_by_id=endpoint_by_id,
        suspects=tuple(thriftfields.decode_suspects(reply.suspects, now)),
        share=reply.share,
        # A restarted controller may have an older configuration than this gateway.
        current=bool(reply.current) and batch.number >= state.configuration.number,
    )


class _SuspectOutbox:
    """Suspect events that are not delivered to the controller yet."""

    def __init__(self, make_report: Callable[[], GatewayReport]) -> None:
        self._make_report = make_report
        self._undelivered: dict[tuple[str, int], Suspect] = {}
        self._lock = threading.Lock()

    def build_report(self) -> GatewayReport:
        """Return a report that includes the events that earlier calls failed to deliver."""
        report = self._make_report()
        with self._lock:
            self._undelivered.update({event.event_id: event for event in report.suspects})
            while len(self._undelivered) > MAX_UNDELIVERED_SUSPECTS:
                del self._undelivered[next(iter(self._undelivered))]
            return attrs.evolve(report, suspects=tuple(self._undelivered.values()))

    def mark_delivered(self, delivered: Iterable[Suspect]) -> None:
        """Remove delivered events."""
        with self._lock:
            for event in delivered:
                self._undelivered.pop(event.event_id, None)


class SnapshotClient:
    """Gateway side: threads that fetch snapshots from the controller and send reports.

    :param address: ``IP:port`` of this host's controller.
    :param staleness_limit: seconds without a reply after which the snapshot is no longer current.
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
        self._poll_client = PeerClient(address, secret, CALL_TIMEOUT_S, clock)
        # Long polls occupy their connection, so urgent reports use a separate one.
        self._report_client = PeerClient(address, secret, CALL_TIMEOUT_S, clock)
        self._staleness_limit = staleness_limit
        self._rng = rng
        self._clock = clock
        self._state = GatewayState()
        self._last_reply_at = clock()
        self._closing = threading.Event()
        self._report_requested = threading.Event()
        self._threads: list[threading.Thread] = []
        self._connected = False

    def start(
        self, on_snapshot: Callable[[Snapshot], None], make_report: Callable[[], GatewayReport]
    ) -> None:
        """Start the threads.

        :param on_snapshot: called with each new snapshot, from one thread.
        :param make_report: returns the gateway's report; each suspect event may be returned once,
            because undelivered events are kept.
        """
        outbox = _SuspectOutbox(make_report)
        targets = (
            lambda: self._run_poll_loop(on_snapshot, outbox),
            lambda: self._send_urgent_reports(outbox),
        )
        for target in targets:
            thread = threading.Thread(target=target, name="snapshots", daemon=True)
            thread.start()
            self._threads.append(thread)

    def close(self) -> None:
        """Stop the threads and wait for them."""
        self._closing.set()
        self._report_requested.set()
        self._poll_client.close()
        self._report_client.close()
        for thread in self._threads:
            thread.join()

    def report_now(self) -> None:
        """Send a report immediately, because of a new suspect."""
        self._report_requested.set()

    def _run_poll_loop(
        self, on_snapshot: Callable[[Snapshot], None], outbox: _SuspectOutbox
    ) -> None:
        failures = 0
        while not self._closing.is_set():
            try:
                failures = 0 if self._poll(on_snapshot, outbox) else failures + 1
            except Exception:
                failures += 1
                _log.exception("snapshot poll failed")
            self._closing.wait(self._compute_delay(failures))

    def _poll(self, on_snapshot: Callable[[Snapshot], None], outbox: _SuspectOutbox) -> bool:
        state = self._state
        report = outbox.build_report()
        request = self._build_request(report, POLL_WAIT_S)
        result = self._poll_client.call("snapshot", request, extra_time=POLL_WAIT_S)
        if result.is_err():
            self._handle_failure(result.unwrap_err(), on_snapshot)
            return False
        outbox.mark_delivered(report.suspects)
        now = self._clock()
        requested_after = state.configuration.number
        self._last_reply_at = now
        self._state = apply_reply(state, result.unwrap(), requested_after, now, self._address)
        if not self._connected:
            self._connected = True
            _log.info("connected to the controller", extra={"peer": self._address})
        if _has_changed(state, self._state):
            on_snapshot(self._state.build_snapshot())
        return True

    def _handle_failure(self, error: StepError, on_snapshot: Callable[[Snapshot], None]) -> None:
        if self._connected:
            self._connected = False
            _log.warning(
                "controller does not reply; keeping the last snapshot", extra={"error": str(error)}
            )
        stale = self._clock() - self._last_reply_at > self._staleness_limit
        if stale and self._state.current:
            self._state = attrs.evolve(self._state, current=False)
            on_snapshot(self._state.build_snapshot())

    def _build_request(self, report: GatewayReport, wait: float) -> ttypes.SnapshotRequest:
        state = self._state
        return ttypes.SnapshotRequest(
            known_revision=state.revision,
            known_configuration=state.configuration.number,
            wait_ms=int(wait * thriftfields.MS_PER_S),
            report=controllermessages.encode_report(report, self._clock()),
            known_incarnation=state.incarnation,
        )

    def _send_urgent_reports(self, outbox: _SuspectOutbox) -> None:
        while not self._closing.is_set():
            self._report_requested.wait()
            self._report_requested.clear()
            if self._closing.is_set():
                return
            try:
                report = outbox.build_report()
                request = self._build_request(report, 0.0)
                if self._report_client.call("snapshot", request).is_ok():
                    outbox.mark_delivered(report.suspects)
            except Exception:
                _log.exception("immediate report failed")

    def _compute_delay(self, failures: int) -> float:
        if not failures:
            return MIN_POLL_INTERVAL_S
        max_delay = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures - 1, 10))
        return self._rng.uniform(max_delay / 2, max_delay)


def _has_changed(old: GatewayState, new: GatewayState) -> bool:
    if (old.revision, old.incarnation, old.current) != (new.revision, new.incarnation, new.current):
        return True
    return old.configuration is not new.configuration
