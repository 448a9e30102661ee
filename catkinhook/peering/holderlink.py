"""Service that exchanges reports and views with the holder of the order lease."""

import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from catkinhook.clocks import Clock
from catkinhook.control.coordination import (
    BASELINE_HOSTS,
    EXCHANGE_INTERVAL_S,
    MAX_SILENT_INTERVALS,
    OrderCoordinator,
    exchange_interval,
)
from catkinhook.control.enginerecords import Demand
from catkinhook.control.leasemanager import LeaseManager
from catkinhook.errors import StepError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.peering.hostmessages import (
    MAX_SUSPECTS,
    HolderView,
    Holding,
    HostReport,
    decode_report,
    decode_view,
    encode_report,
    encode_view,
)
from catkinhook.peering.peers import PeerPool
from catkinhook.peering.structs import make_refused
from catkinhook.requests.scheduling import Scheduler
from catkinhook.requests.suspects import SuspectEvent
from catkinhook.state.views import EndpointView
from catkinhook.state.watches import EndpointEntrySet
from catkinhook.stateactor import StateActor
from catkinhook.thrift_hosts import ttypes

# Shortest pause, for what arrives any moment, and the pause while the holder can't tell when.
HURRY_S = 0.01
UNKNOWN_PAUSE_S = 0.1
# Shortest time between exchanges of a host, for each host beyond ``BASELINE_HOSTS``.
GAP_PER_HOST_S = 0.005
# The holder counts as heard for this long after an answer, or ``MAX_SILENT_INTERVALS`` if longer.
HEARD_S = 1.0
# The holder's word on an engine goes before its entry for this long.
VIEW_LIFE_S = 3.0
# Hosts that are asked in turn, for entries of endpoints or the configuration, before the store is
# asked again. Each silent one takes ``PEER_TIMEOUT_S``, which for all of 88 hosts was up to 44 s.
MAX_ASKED = 2
# Suspect events are repeated for this long, and all are sent to a host that is new to a holder.
SUSPECT_REPEAT_S = 1.5
# A host without a view counts the hosts that it saw last.
MIN_HOSTS = 1


class EndpointMerger:
    """Endpoints with what the holder knows of their models and adapters.

    An entry in the store tells nothing new after an adapter was loaded, so the holder's word goes
    first for as long as it is recent. A merged view is made again only when its entry or the
    holder's word on it has changed: on a large deployment both are the same most of the time.
    """

    def __init__(self) -> None:
        self._merged_by_id: dict[str, tuple[EndpointView, Holding, EndpointView]] = {}

    def merge(
        self, endpoint_by_id: dict[str, EndpointView], holdings: Iterable[Holding]
    ) -> dict[str, EndpointView]:
        """Return the endpoints with the holder's word on top."""
        merged = dict(endpoint_by_id)
        for holding in holdings:
            entry = merged.get(holding.endpoint)
            if entry is not None and entry.boot_id == holding.boot_id:
                merged[holding.endpoint] = self._merge_one(entry, holding)
        for endpoint in self._merged_by_id.keys() - merged.keys():
            del self._merged_by_id[endpoint]
        return merged

    def _merge_one(self, entry: EndpointView, holding: Holding) -> EndpointView:
        known = self._merged_by_id.get(entry.endpoint)
        if known is not None and known[0] is entry and known[1] is holding:
            return known[2]
        view = attrs.evolve(
            entry, models=holding.models, adapters=holding.adapters, sequence=holding.sequence
        )
        self._merged_by_id[entry.endpoint] = (entry, holding, view)
        return view


def shortest_pause(hosts: int) -> float:
    """Return the least seconds between two exchanges of a host."""
    return HURRY_S + GAP_PER_HOST_S * max(0, hosts - BASELINE_HOSTS)


def choose_pause(
    missing: set[tuple[str, str]], wait_by_item: dict[tuple[str, str], float], hosts: int = 1
) -> float:
    """Return the seconds until the next exchange.

    :param missing: items that requests wait for.
    :param wait_by_item: seconds until they will be available, as far as the holder knows.
    :param hosts: hosts that share the holder.
    """
    if not missing:
        return exchange_interval(hosts)
    wait = min(wait_by_item.get(item, UNKNOWN_PAUSE_S) for item in missing)
    return min(exchange_interval(hosts), max(shortest_pause(hosts), wait + HURRY_S))


class HolderLink:
    """Thread that reports to the holder and applies its view.

    :param clock: seconds that also count while the host is suspended.
    """

    def __init__(
        self,
        node: str,
        address: str,
        incarnation: str,
        scheduler: StateActor[Scheduler],
        holder: OrderCoordinator,
        pool: PeerPool,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self._node = node
        self._address = address
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._holder = holder
        self._pool = pool
        self._log = log
        self._clock = clock
        self._lease: LeaseManager | None = None
        self._find_version: Callable[[], int] = lambda: 0
        self._fetch_newer: Callable[[str], None] = lambda address: None
        self._newer_at = ""
        self._wake = threading.Event()
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._endpoint_by_id: dict[str, EndpointView] = {}
        self._entries_at = float("-inf")
        self._holding_by_id: dict[str, Holding] = {}
        self._endpoint_merger = EndpointMerger()
        self._known = (0, 0)
        self._view_at = float("-inf")
        self._was_heard = False
        self._addresses: tuple[str, ...] = ()
        self._next_at = float("-inf")
        self.is_stopping = False
        self._thread = threading.Thread(target=self._run, name="holder-link", daemon=True)

    def connect(
        self,
        lease: LeaseManager,
        find_version: Callable[[], int],
        fetch_newer: Callable[[str], None],
    ) -> None:
        """Name the services that are made after this one, before the start.

        :param fetch_newer: asks the host at an address for a newer configuration.
        """
        self._lease = lease
        self._find_version = find_version
        self._fetch_newer = fetch_newer

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread, without waiting for a call in progress."""
        self._stop.set()
        self._wake.set()

    def hurry(self) -> None:
        """Report at once, because a request waits."""
        self._wake.set()

    def is_heard(self) -> bool:
        """Whether the holder answered lately."""
        pause = exchange_interval(len(self._addresses))
        return self._clock() - self._view_at < max(HEARD_S, MAX_SILENT_INTERVALS * pause)

    def peers(self) -> tuple[str, ...]:
        """Return the addresses of the hosts that reported to the holder lately."""
        return self._addresses

    def set_endpoints(self, endpoint_by_id: dict[str, EndpointView]) -> None:
        """Take over the endpoints and what their entries say."""
        with self._lock:
            self._endpoint_by_id, self._entries_at = endpoint_by_id, self._clock()
        self._holder.set_endpoints(endpoint_by_id)
        self._apply()

    def make_report(self) -> HostReport:
        """Return what this host tells the holder."""
        now = time.monotonic()

        life = SUSPECT_REPEAT_S if self._known[0] else float("inf")

        def summarise(scheduler: Scheduler) -> tuple[dict, dict, set[str], list[SuspectEvent]]:
            events = scheduler.suspects.events(now, MAX_SUSPECTS, life)
            return scheduler.demand(now), scheduler.running(), scheduler.down(now), events

        demand, running, down, events = self._scheduler.ask(summarise)
        return HostReport(
            node=self._node,
            address=self._address,
            incarnation=self._incarnation,
            configuration=self._find_version(),
            demand_by_item={
                key: Demand(rate=rate, unmet=unmet, waiting=waiting, running=count)
                for key, (rate, unmet, waiting, count) in demand.items()
            },
            running_by_use=running,
            down=frozenset(down),
            suspects=tuple(events),
            stopping=self.is_stopping,
            known_fence=self._known[0],
            known_revision=self._known[1],
        )

    def answer(self, report: HostReport) -> HolderView:
        """Answer another host's report, or this host's own."""
        if not self._lease.is_held():
            return HolderView(node=self._node, fence=0, holds=False)
        view = self._holder.handle_report(report)
        if report.configuration > self._find_version():
            # All hosts hear of it from this one, which the store may not answer.
            self._newer_at = report.address
            self._wake.set()
        self._merge_suspects(report.suspects)
        now = time.monotonic()
        life = SUSPECT_REPEAT_S if report.known_fence == view.fence else float("inf")
        events = self._scheduler.ask(lambda s: s.suspects.events(now, MAX_SUSPECTS, life))
        return attrs.evolve(
            view,
            configuration=self._find_version(),
            suspects=tuple(events),
            lease_version=self._lease.version(),
        )

    def _run(self) -> None:
        pause = EXCHANGE_INTERVAL_S
        while not self._stop.is_set():
            self._wake.wait(pause)
            self._stop.wait(max(0.0, self._next_at - time.monotonic()))
            self._wake.clear()
            if self._stop.is_set():
                return
            self._next_at = time.monotonic() + shortest_pause(len(self._addresses))
            try:
                pause = self._exchange()
            except Exception as error:
                # A message that can't be used must not end the exchange.
                self._log.record("exchange", outcome=f"failed: {error!r}")
                pause = EXCHANGE_INTERVAL_S

    def _exchange(self) -> float:
        """Exchange once; return the seconds until the next time."""
        newer_at, self._newer_at = self._newer_at, ""
        if newer_at:
            self._fetch_newer(newer_at)
        view = self._ask_holder()
        if view is not None and view.holds:
            with self._lock:
                if view.fence != self._known[0]:
                    self._holding_by_id.clear()
                self._holding_by_id |= {h.endpoint: h for h in view.holdings}
                self._known, self._view_at = (view.fence, view.revision), self._clock()
            self._addresses = view.addresses
            self._lease.confirm(view.lease_version, view.fence)
            self._merge_suspects(view.suspects)
            if view.configuration > self._find_version():
                self._fetch_newer(self._holder_address())
            self._apply(view)
        elif view is not None:
            # The lease was given back, so that another host can take it at once.
            self._view_at = float("-inf")
        is_heard = self.is_heard()
        if is_heard != self._was_heard:
            self._was_heard = is_heard
            outcome = "regained" if is_heard else "lost"
            self._log.record("dependency", outcome=outcome, name="holder")
        missing = self._scheduler.ask(lambda scheduler: scheduler.missing(time.monotonic()))
        waits = view.wait_by_item if view is not None else {}
        return choose_pause(missing, waits, len(self._addresses))

    def _ask_holder(self) -> HolderView | None:
        if self._lease.is_held():
            return self.answer(self.make_report())
        record = self._lease.holder()
        if record is None or record.address == self._address:
            self._scheduler.ask(lambda scheduler: scheduler.dispatch_waiting(time.monotonic()))
            return None
        now = time.monotonic()
        struct = encode_report(self.make_report(), now)
        called = self._pool.call(record.address, "exchange", struct)
        if called.is_err():
            self._scheduler.ask(lambda scheduler: scheduler.dispatch_waiting(time.monotonic()))
            return None
        return decode_view(called.unwrap(), time.monotonic())

    def _holder_address(self) -> str:
        record = self._lease.holder()
        return record.address if record is not None else ""

    def _merge_suspects(self, events: Iterable[SuspectEvent]) -> None:
        now = time.monotonic()
        events = list(events)
        if events:
            self._scheduler.tell(lambda scheduler: scheduler.suspects.merge(events, now))

    def _apply(self, view: HolderView | None = None) -> None:
        with self._lock:
            is_recent = self._clock() - self._view_at < VIEW_LIFE_S
            # During an outage of the store, an old word of the holder is newer than the entries.
            is_newer = self._view_at > self._entries_at
            holdings = self._holding_by_id.values() if is_recent or is_newer else ()
            endpoints = self._endpoint_merger.merge(self._endpoint_by_id, holdings)
        hosts = max(MIN_HOSTS, len(self._addresses))
        now = time.monotonic()

        def change(scheduler: Scheduler) -> None:
            scheduler.hosts = hosts
            if view is not None:
                for endpoint in endpoints:
                    scheduler.record_load(endpoint, view.running_by_id.get(endpoint, 0), 0, now)
                scheduler.set_expected(view.wait_by_item, now)
            scheduler.set_endpoints(endpoints, now)

        self._scheduler.tell(change)


class HostHandler:
    """Thrift handler of a host.

    :param answer: answers a report.
    :param find_configuration: returns version and text of the configuration in force.
    :param find_entries: returns the entries of endpoints.
    """

    def __init__(
        self,
        answer: Callable[[HostReport], HolderView],
        find_configuration: Callable[[], tuple[int, bytes]],
        find_entries: Callable[[], EndpointEntrySet],
    ) -> None:
        self._answer = answer
        self._find_configuration = find_configuration
        self._find_entries = find_entries

    def exchange(self, report: ttypes.HostReport) -> ttypes.HolderView:
        """Answer a host's report."""
        now = time.monotonic()
        try:
            return encode_view(self._answer(decode_report(report, now)), now)
        except StepError as error:
            raise make_refused(error) from error

    def configuration(self, known: int) -> ttypes.ConfigurationText:
        """Return the configuration in force, without its text when the caller knows it."""
        version, text = self._find_configuration()
        return ttypes.ConfigurationText(version=version, text=text if version > known else b"")

    def endpoints(self, known: int) -> ttypes.EndpointEntries:
        """Return the entries of endpoints, none when the caller knows this version."""
        entries = self._find_entries()
        values = entries.value_by_id if entries.version > known else {}
        return ttypes.EndpointEntries(version=entries.version, entry_by_id=values)


def choose_peers(addresses: Iterable[str], rng: random.Random, first: str = "") -> list[str]:
    """Return the few hosts that are asked in one step.

    :param first: host to ask before all others, empty for none.
    """
    others = [address for address in addresses if address != first]
    chosen = rng.sample(others, min(len(others), MAX_ASKED))
    return [first, *chosen][:MAX_ASKED] if first else chosen


def ask_for_entries(
    pool: PeerPool, addresses: Iterable[str], known: int, rng: random.Random
) -> EndpointEntrySet | None:
    """Return newer entries of endpoints that one of a few hosts has.

    :param addresses: ``IP:port`` of other hosts.
    """
    for address in choose_peers(addresses, rng):
        called: Any = pool.call(address, "endpoints", known)
        if called.is_ok() and called.unwrap().version > known:
            answer = called.unwrap()
            return EndpointEntrySet(version=answer.version, value_by_id=answer.entry_by_id)
    return None


def ask_for_configuration(
    pool: PeerPool, addresses: Iterable[str], known: int, rng: random.Random, first: str = ""
) -> bytes | None:
    """Return a newer configuration that one of a few hosts has.

    :param addresses: ``IP:port`` of other hosts.
    :param first: host that is known to have one, empty for none.
    """
    for address in choose_peers(addresses, rng, first):
        called: Any = pool.call(address, "configuration", known)
        if called.is_ok() and called.unwrap().version > known and called.unwrap().text:
            return called.unwrap().text
    return None
