"""Node liveness: heartbeats, lease expiry on the observer's clock, and ownership of endpoints."""

import hashlib
import logging
import math
import threading
from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import Clock
from catkinhook.errors import StepError, StoreError
from catkinhook.state.tableservice import (
    Check,
    Row,
    Table,
    Write,
    commit_confirmed,
    make_nonce,
    scan_all,
)

NODES_TABLE = "nodes"

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class NodeRow:
    """Liveness row of one node.

    :ivar incarnation: incremented at each start of the node's controller.
    :ivar beat: incremented by each heartbeat.
    :ivar weight: capacity of the node relative to the other nodes.
    :ivar address: ``IP:port`` of the controller's thrift listener.
    :ivar ended: true when this incarnation has stopped and sends no more orders.
    """

    node: str
    incarnation: int
    beat: int = 0
    weight: float = 1.0
    address: str = ""
    ended: bool = False
    nonce: str = ""


@attrs.frozen
class Identity:
    """A node and the incarnation of its controller."""

    node: str
    incarnation: int


@attrs.frozen
class Liveness:
    """Liveness of all nodes from the point of view of one observer.

    :ivar live: nodes whose lease has not expired, by name.
    :ivar known: last row of each node.
    :ivar changed_at: time at which the observer first saw the incarnation or its end, by node.
    """

    live: dict[str, NodeRow] = attrs.Factory(dict)
    known: dict[str, NodeRow] = attrs.Factory(dict)
    changed_at: dict[str, float] = attrs.Factory(dict)

    def is_live(self, node: str, incarnation: int) -> bool:
        """Whether the lease of an incarnation is valid."""
        return node in self.live and self.live[node].incarnation == incarnation

    def ended_at(self, node: str, incarnation: int) -> float | None:
        """Return the time at which the observer learned that an incarnation has ended, or None."""
        row = self.known.get(node)
        if row is None or not (
            row.incarnation > incarnation or (row.incarnation == incarnation and row.ended)
        ):
            return None
        return self.changed_at[node]

    def owner_of(self, endpoint: str) -> str:
        """Return the live node that should hold an endpoint, empty when no node is live."""
        return choose_owner(endpoint, {node: row.weight for node, row in self.live.items()})


def choose_owner(endpoint: str, weight_by_node: dict[str, float]) -> str:
    """Choose an endpoint's owner by weighted rendezvous hashing; empty when there is no node."""
    return max(
        sorted(weight_by_node),
        key=lambda node: _score(node, endpoint, weight_by_node[node]),
        default="",
    )


def _score(node: str, endpoint: str, weight: float) -> float:
    digest = hashlib.blake2b(f"{node}\0{endpoint}".encode(), digest_size=8).digest()
    # The offset of one half and the upper bound keep the value strictly between 0 and 1, where the
    # logarithm is finite and not 0.
    unit_hash = (int.from_bytes(digest) + 0.5) / 2.0**64
    return -weight / math.log(min(unit_hash, 1 - 2**-53))


class LeaseObserver:
    """Derives lease expiry from changes of the liveness rows.

    :param lease_time: seconds without a change of the row after which a lease has expired.
    """

    def __init__(self, lease_time: float) -> None:
        self._lease_time = lease_time
        self._row_by_node: dict[str, NodeRow] = {}
        self._renewed_at: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._observed_at: float | None = None

    def observe(self, rows: Iterable[NodeRow], now: float) -> Liveness:
        """Record the rows read at ``now`` and return the resulting liveness.

        During a store outage nodes can't renew their rows. The part of the time since the last read
        that exceeds half of the lease time therefore doesn't count towards expiry.
        """
        elapsed = 0.0 if self._observed_at is None else now - self._observed_at
        unobserved = max(0.0, elapsed - self._lease_time / 2)
        self._observed_at = now
        for node in self._renewed_at:
            self._renewed_at[node] += unobserved
        for row in rows:
            previous = self._row_by_node.get(row.node)
            if previous is None or (previous.incarnation, previous.ended) != (
                row.incarnation,
                row.ended,
            ):
                self._changed_at[row.node] = now
            if previous is None or previous.nonce != row.nonce:
                self._renewed_at[row.node] = now
            self._row_by_node[row.node] = row
        live = {
            node: row
            for node, row in self._row_by_node.items()
            if not row.ended and now - self._renewed_at[node] < self._lease_time
        }
        return Liveness(live, dict(self._row_by_node), dict(self._changed_at))


def decode_nodes(rows: Iterable[Row]) -> list[NodeRow]:
    """Decode liveness rows, skipping malformed ones."""
    nodes = []
    for row in rows:
        try:
            nodes.append(NodeRow(**row.value))
        except TypeError:
            _log.warning("skipped a malformed liveness row", extra={"node": row.key})
    return nodes


def claim_incarnation(table: Table, template: NodeRow) -> Result[NodeRow, StepError]:
    """Write the liveness row of a starting controller with the next incarnation."""
    read = table.read(NODES_TABLE, template.node)
    if read.is_err():
        return Err(read.unwrap_err())
    current = read.unwrap()
    incarnation = current.value["incarnation"] + 1 if current else 1
    row = attrs.evolve(template, incarnation=incarnation, nonce=make_nonce())
    return _write(table, row, current.version if current else 0)


def _write(table: Table, row: NodeRow, version: int) -> Result[NodeRow, StepError]:
    committed = commit_confirmed(
        table,
        [Check(NODES_TABLE, row.node, version)],
        [Write(NODES_TABLE, row.node, attrs.asdict(row))],
    )
    return Ok(row) if committed.is_ok() else Err(committed.unwrap_err())


def renew(table: Table, row: NodeRow, ended: bool = False) -> Result[NodeRow, StepError]:
    """Renew this node's lease by incrementing the beat of its row.

    :returns: the written row, or an error of step ``leases`` when a later incarnation has started.
    """
    read = table.read(NODES_TABLE, row.node)
    if read.is_err():
        return Err(read.unwrap_err())
    current = read.unwrap()
    if current and current.value["incarnation"] > row.incarnation:
        reason = f"incarnation {current.value['incarnation']} has replaced {row.incarnation}"
        return Err(StepError("leases", row.node, reason))
    renewed = attrs.evolve(row, beat=row.beat + 1, ended=ended, nonce=make_nonce())
    return _write(table, renewed, current.version if current else 0)


def record_node_end(table: Table, node: str) -> Result[NodeRow, StepError]:
    """Record that a node has ended for good, so that its open orders can be closed.

    Only an operator can know that no process of the node will run again; an expired lease is no
    proof of it.
    """
    read = table.read(NODES_TABLE, node)
    if read.is_err():
        return Err(read.unwrap_err())
    current = read.unwrap()
    if current is None:
        return Err(StepError("leases", node, f"node {node!r} has no liveness row"))
    row = attrs.evolve(NodeRow(**current.value), ended=True, nonce=make_nonce())
    return _write(table, row, current.version)


class Heartbeat:
    """Thread that renews this node's lease and observes the leases of all nodes.

    :param template: this node's row; the incarnation is claimed from the store.
    :param interval: seconds between heartbeats.
    """

    def __init__(
        self, table: Table, template: NodeRow, interval: float, lease_time: float, clock: Clock
    ) -> None:
        self._table = table
        self._template = template
        self._interval = interval
        self._clock = clock
        self._leases = LeaseObserver(lease_time)
        self._row: NodeRow | None = None
        self._liveness = Liveness()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="heartbeat", daemon=True)

    @property
    def identity(self) -> Identity | None:
        """Return this node's identity, or None until the incarnation is claimed."""
        row = self._row
        return Identity(row.node, row.incarnation) if row else None

    @property
    def liveness(self) -> Liveness:
        """Return the result of the last observation."""
        return self._liveness

    def start(self) -> None:
        """Claim the incarnation if the store is available, and start the thread."""
        self.send_heartbeat()
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and record the end of the incarnation.

        All senders of orders must be closed before.
        """
        self._stop.set()
        self._thread.join()
        if self._row and renew(self._table, self._row, ended=True).is_err():
            _log.warning(
                "failed to record the end of the incarnation", extra={"node": self._row.node}
            )

    def send_heartbeat(self) -> None:
        """Renew this node's lease and observe the leases of all nodes."""
        if self._row is None:
            self._row = claim_incarnation(self._table, self._template).ok()
        else:
            renewed = renew(self._table, self._row)
            self._row = renewed.unwrap_or(self._row)
            if renewed.is_err() and not isinstance(renewed.unwrap_err(), StoreError):
                _log.error("heartbeat refused", extra={"reason": str(renewed.unwrap_err())})
        rows = scan_all(self._table, NODES_TABLE)
        if rows.is_ok():
            self._liveness = self._leases.observe(decode_nodes(rows.unwrap()), self._clock())

    def _run(self) -> None:
        while not self._stop.wait(self._interval):
            try:
                self.send_heartbeat()
            except Exception:
                _log.exception("heartbeat failed")
