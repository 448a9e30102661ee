"""Gossip service: periodic digest exchanges with peers, and broadcasts of urgent updates."""

import logging
import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import StepError
from catkinhook.peering import controllermessages, thriftfields
from catkinhook.peering.membership import Digest, Member, Membership, is_valid
from catkinhook.peering.peers import PeerPool
from catkinhook.peering.suspectlog import MAX_EVENTS, SuspectLog
from catkinhook.state.configurationchanges import ChangeBatch
from catkinhook.state.gatewayreports import Suspect
from catkinhook.state.hostlist import HostList
from catkinhook.thrift_gen import ttypes

# Service name of controllers in the host list.
CONTROLLER_SERVICE = "catkinhook"
SEED_REFRESH_INTERVAL_S = 10.0
SUSPECTS_PER_DIGEST = 8
BROADCAST_WORKERS = 8
FETCH_ATTEMPTS = 3
# Maximum number of peers whose configuration number is kept.
MAX_CONFIGURATION_NUMBERS = 64
# The interval between exchanges is varied at random by up to this share.
INTERVAL_JITTER = 0.2

_log = logging.getLogger(__name__)


def list_seeds(peers: list[str], hosts: HostList | None) -> list[str]:
    """Return addresses of other controllers from the settings and the platform's host list."""
    if hosts is None:
        return list(peers)
    listed = hosts.list_hosts().unwrap_or([])
    return [
        *peers,
        *(h.address for h in listed if h.service == CONTROLLER_SERVICE and not h.leaving),
    ]


class Gossip:
    """Membership and suspect events of a controller, exchanged with its peers.

    :param find_seeds: returns addresses of other controllers, possibly out of date.
    :param interval: seconds between exchanges in a small group.
    :param on_configuration_number: called with the configuration number in each received digest.
    :param on_suspects: called with all suspect events when there are new ones.
    :param read_configuration_number: returns the number of the configuration in force here.
    """

    def __init__(
        self,
        own: Member,
        pool: PeerPool,
        find_seeds: Callable[[], list[str]],
        interval: float,
        on_configuration_number: Callable[[int], None],
        on_suspects: Callable[[list[Suspect]], None],
        read_configuration_number: Callable[[], int],
        rng: random.Random,
        clock: Clock = monotonic,
    ) -> None:
        self._membership = Membership(own, rng)
        self._suspects = SuspectLog()
        self._pool = pool
        self._find_seeds = find_seeds
        self._seeds: list[str] = []
        self._seeds_refreshed_at = -SEED_REFRESH_INTERVAL_S
        self._interval = interval
        self._on_configuration_number = on_configuration_number
        self._on_suspects = on_suspects
        self._read_configuration_number = read_configuration_number
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._leaving = False
        self._configuration_by_address: dict[str, int] = {}
        self._closing = threading.Event()
        self._broadcast_requested = threading.Event()
        self._executor = ThreadPoolExecutor(BROADCAST_WORKERS, "gossip-spread")
        self._threads: list[threading.Thread] = []

    def set_address(self, address: str) -> None:
        """Set the address of this node's peer server; call it before ``start``."""
        with self._lock:
            self._membership.set_address(address)

    def start(self) -> None:
        """Start the threads for exchanges and broadcasts."""
        for target in (self._run_exchanges, self._run_broadcasts):
            thread = threading.Thread(target=target, name="gossip", daemon=True)
            thread.start()
            self._threads.append(thread)

    def close(self) -> None:
        """Broadcast that this node is leaving, and stop the threads."""
        with self._lock:
            self._leaving = True
        self._broadcast(self._choose_targets())
        self._closing.set()
        self._broadcast_requested.set()
        for thread in self._threads:
            thread.join()
        self._executor.shutdown(wait=True)

    def live_members(self) -> list[Member]:
        """Return the live members, this one included."""
        with self._lock:
            return self._membership.live_members(self._clock())

    def own_member(self) -> Member:
        """Return the description of this node that its peers receive."""
        with self._lock:
            return self._membership.own

    def limit_share(self) -> float:
        """Return this host's share of service limits, between 0 and 1."""
        with self._lock:
            own = self._membership.own.address
            seeds = len(set(self._seeds) - {own})
            return self._membership.limit_share(self._clock(), seeds)

    def announce_configuration(self) -> None:
        """Broadcast the number of the configuration in force here."""
        self._broadcast_requested.set()

    def add_suspects(self, events: list[Suspect]) -> None:
        """Store suspect events, and broadcast if any of them is new."""
        with self._lock:
            new = self._suspects.add(events, self._clock())
            all_events = self._suspects.newest(MAX_EVENTS)
        if new:
            self._broadcast_requested.set()
            self._on_suspects(all_events)

    def handle_exchange(self, struct: ttypes.Digest, peer: str = "") -> ttypes.Digest:
        """Merge the digest of a peer that started an exchange, and return the answer to it.

        :raises StepError: if a field is absent or the heartbeats are malformed.
        """
        digest = controllermessages.decode_digest(struct, peer)
        self._merge(digest, struct)
        return self._make_digest(digest)

    def fetch_changes(self, after: int) -> Result[ChangeBatch, StepError]:
        """Request configuration changes from a few peers, those with the highest number first."""
        with self._lock:
            addresses = [m.address for m in self._membership.live_members(self._clock())][1:]
            self._rng.shuffle(addresses)
            addresses.sort(key=lambda address: -self._configuration_by_address.get(address, 0))
            if not addresses:
                addresses = self._rng.sample(self._seeds, min(FETCH_ATTEMPTS, len(self._seeds)))
        result: Result[ChangeBatch, StepError] = Err(StepError("gossip", "", "no peers are known"))
        for address in addresses[:FETCH_ATTEMPTS]:
            result = self._pool.call(address, "changes_after", after).and_then(
                lambda struct, address=address: _decode_batch(struct, address)
            )
            if result.is_ok():
                return result
        return result

    def exchange(self) -> str | None:
        """Exchange digests with one peer; return its address, None if no peer is known."""
        self._refresh_seeds()
        with self._lock:
            self._membership.advance_heartbeat(self._read_configuration_number(), self._leaving)
            address = self._membership.choose_peer(self._seeds, self._clock())
        if address is not None:
            self._exchange_with(address, sender_only=False)
        return address

    def _run_exchanges(self) -> None:
        while not self._closing.is_set():
            try:
                self.exchange()
            except Exception:
                _log.exception("gossip exchange failed")
            with self._lock:
                interval = self._membership.exchange_interval(self._interval)
            self._closing.wait(
                interval * self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            )

    def _run_broadcasts(self) -> None:
        while True:
            self._broadcast_requested.wait()
            self._broadcast_requested.clear()
            if self._closing.is_set():
                return
            try:
                self._broadcast(self._choose_targets())
            except Exception:
                _log.exception("broadcast to peers failed")

    def _choose_targets(self) -> list[str]:
        with self._lock:
            self._membership.advance_heartbeat(self._read_configuration_number(), self._leaving)
            return self._membership.choose_broadcast_targets(self._clock())

    def _broadcast(self, addresses: list[str]) -> None:
        # Waits for the slowest peer; one further broadcast then covers all updates made meanwhile.
        for future in [self._executor.submit(self._exchange_with, a, True) for a in addresses]:
            future.result()

    def _exchange_with(self, address: str, sender_only: bool) -> None:
        result = self._pool.call(address, "exchange", self._make_digest(None, sender_only))
        if result.is_err():
            with self._lock:
                self._membership.record_failure(address, self._clock())
            return
        try:
            self._merge(controllermessages.decode_digest(result.unwrap(), address), result.unwrap())
        except StepError as error:
            _log.warning("peer sent an invalid digest", extra={"error": str(error)})

    def _make_digest(self, request: Digest | None, sender_only: bool = False) -> ttypes.Digest:
        with self._lock:
            now = self._clock()
            digest = self._membership.make_digest(now, request, sender_only)
            return controllermessages.encode_digest(
                digest, self._suspects.newest(SUSPECTS_PER_DIGEST), now
            )

    def _merge(self, digest: Digest, struct: ttypes.Digest) -> None:
        now = self._clock()
        events = thriftfields.decode_suspects(struct.suspects, now)
        with self._lock:
            self._membership.merge(digest, now)
            number = digest.sender.configuration
            if is_valid(digest.sender):
                self._configuration_by_address[digest.sender.address] = number
            if len(self._configuration_by_address) > MAX_CONFIGURATION_NUMBERS:
                del self._configuration_by_address[next(iter(self._configuration_by_address))]
        self.add_suspects(events)
        self._on_configuration_number(number)

    def _refresh_seeds(self) -> None:
        if self._clock() - self._seeds_refreshed_at < SEED_REFRESH_INTERVAL_S:
            return
        self._seeds_refreshed_at = self._clock()
        self._seeds = list(dict.fromkeys(self._find_seeds())) or self._seeds


def _decode_batch(struct: ttypes.ChangeBatch, peer: str) -> Result[ChangeBatch, StepError]:
    try:
        return Ok(controllermessages.decode_batch(struct, peer))
    except StepError as error:
        return Err(error)
