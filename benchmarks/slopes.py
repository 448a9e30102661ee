"""Unit costs for docs/CAPACITY.md: bytes, CPU time and memory per unit of work or state.

``python -m benchmarks.slopes`` prints a table. Times are the minimum of several repeats.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

import attrs
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TMemoryBuffer

from benchmarks.microbenchmarks import measure_pick, measure_placement_round
from catkinhook.control.ledger import (
    EndpointRow,
    Report,
    ReportContext,
    Resident,
    apply_report,
    decode_row,
    encode_row,
)
from catkinhook.durable.claimanswers import Answer, AnswerStore
from catkinhook.durable.claims import ClaimStore
from catkinhook.durable.claimtypes import ClaimAcquired
from catkinhook.durable.claimwriter import ConditionalWrite, commit_group, make_single_commit
from catkinhook.emulators.inmemory import MemoryObjectStore, MemoryTable
from catkinhook.operations.burn import Bucket
from catkinhook.peering import controllermessages
from catkinhook.peering.membership import Member, Membership
from catkinhook.state.configurationchanges import ChangeBatch, Configuration, apply_batch
from catkinhook.state.documents import build_catalog, parse_document
from catkinhook.state.gatewayreports import Demand, GatewayReport
from catkinhook.state.snapshots import SnapshotPublisher
from catkinhook.state.tableservice import Check, Write
from catkinhook.state.views import EndpointView, LoadReport
from catkinhook.thrift_gen import ttypes

REPEATS = 5
GIB = 1 << 30
US_PER_S = 1e6
MODELS_PER_REPLICA = 4
ADAPTERS_PER_REPLICA = 8
CLAIMS = 64


@attrs.frozen
class UnitCost:
    """One measured cost per unit."""

    name: str
    value: float
    unit: str


def _min_us(function: Callable[[], object], calls: int = 1) -> float:
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(calls):
            function()
        best = min(best, time.process_time() - started)
    return best / calls * US_PER_S


def _count_bytes(struct: object) -> int:
    buffer = TMemoryBuffer()
    struct.write(TBinaryProtocol(buffer))
    return len(buffer.getvalue())


def _measure_allocation(make: Callable[[], object]) -> tuple[int, object]:
    tracemalloc.start()
    # Holding the value keeps its memory allocated during the measurement.
    value = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, value


def _make_member(index: int) -> Member:
    return Member(
        node=f"entry-{index:03}",
        incarnation=1_790_000_000_000 + index,
        heartbeat=1000,
        address=f"10.0.{index // 250}.{index % 250}:7100",
        zone=f"zone-{index % 16:02}",
        region=f"region-{index % 5}",
        weight=1.0,
        configuration=100_000,
    )


def _make_view(index: int) -> EndpointView:
    models = frozenset(f"model-{(index * 7 + k) % 480:03}" for k in range(MODELS_PER_REPLICA))
    model = next(iter(models))
    return EndpointView(
        endpoint=f"service/replica-{index:04}",
        address=f"10.1.{index // 250}.{index % 250}:8000",
        service="service",
        zone=f"zone-{index % 16:02}",
        boot_id=f"{index:032x}",
        models=models,
        adapters=frozenset(f"{model}/adapter-{k}" for k in range(ADAPTERS_PER_REPLICA)),
        report=LoadReport(8, 0, 60.0, 0.0),
    )


def measure_gossip(count: int) -> list[UnitCost]:
    """Return bytes and CPU time of one gossip exchange, and memory per member."""
    own, other = (Membership(_make_member(i), random.Random(i)) for i in (0, 1))

    def fill() -> None:
        for index in range(2, count):
            own.merge(Membership(_make_member(index), random.Random(index)).make_digest(0.0), 0.0)

    memory, _ = _measure_allocation(fill)
    for index in range(2, count):
        other.merge(Membership(_make_member(index), random.Random(index)).make_digest(0.0), 0.0)
    sent = controllermessages.encode_digest(own.make_digest(1.0), [], 1.0)
    digest = controllermessages.decode_digest(sent, "peer")
    answer = controllermessages.encode_digest(other.make_digest(1.0, digest), [], 1.0)

    def exchange() -> None:
        struct = controllermessages.encode_digest(own.make_digest(1.0), [], 1.0)
        _count_bytes(struct)
        other.merge(controllermessages.decode_digest(struct, "peer"), 1.0)

    return [
        UnitCost(
            f"gossip exchange, {count} nodes", _count_bytes(sent) + _count_bytes(answer), "bytes"
        ),
        UnitCost(f"one side of an exchange, {count} nodes", _min_us(exchange, 20), "us"),
        UnitCost(f"member, {count} nodes", memory / max(1, count - 2), "bytes of memory"),
    ]


def measure_snapshots(count: int) -> list[UnitCost]:
    """Return the cost of publishing endpoints to a gateway."""
    views = [_make_view(index) for index in range(count)]
    structs = [controllermessages.encode_endpoint(view, 0.0) for view in views]
    size = sum(_count_bytes(struct) for struct in structs) / count
    configuration = apply_batch(Configuration(), ChangeBatch(1), 0)
    publisher = SnapshotPublisher(
        1, lambda: configuration, lambda: True, lambda events: None, lambda: 0.0
    )
    publisher.publish_endpoints(views)
    report = controllermessages.encode_report(
        GatewayReport(
            gateway="entry-000/0123",
            incarnation=1,
            demands=tuple(Demand(model=f"model-{index:03}") for index in range(100)),
            burn=tuple(Bucket("service", "live", age, 10, 9) for age in range(200)),
        ),
        0.0,
    )
    full_request = ttypes.SnapshotRequest(0, 0, 0, report, 1)
    memory, _ = _measure_allocation(lambda: [_make_view(index) for index in range(count)])
    return [
        UnitCost("endpoint in a snapshot", size, "bytes"),
        UnitCost(
            "whole snapshot, for each endpoint",
            _min_us(lambda: publisher.handle_request(full_request)) / count,
            "us",
        ),
        UnitCost(
            "equal publication, for each endpoint",
            _min_us(lambda: publisher.publish_endpoints(views)) / count,
            "us",
        ),
        UnitCost("endpoint view", memory / count, "bytes of memory"),
        UnitCost("gateway's report, 100 models", _count_bytes(report), "bytes"),
    ]


def measure_ledger() -> list[UnitCost]:
    """Return the size of a ledger row and the cost of applying a report."""
    resident = {f"model-{k:03}": Resident(14 * GIB, "1") for k in range(MODELS_PER_REPLICA)}
    resident |= {f"model-000/adapter-{k}": Resident(GIB >> 4) for k in range(ADAPTERS_PER_REPLICA)}
    row = EndpointRow(
        endpoint="service/replica-0001",
        memory=80 * GIB,
        holder="entry-001",
        incarnation=12,
        boot_id="0" * 32,
        resident=resident,
    )
    report = Report(
        boot_id="0" * 32,
        taken_at=1.0,
        memory=80 * GIB,
        models=frozenset(k for k in resident if "/" not in k),
        adapters=frozenset(k for k in resident if "/" in k),
    )
    context = ReportContext(send_ended_at=lambda order: None, max_delay=30.0, row_changed_at=0.0)
    size = len(repr(encode_row(row)))
    return [
        UnitCost("ledger row", size, "bytes"),
        UnitCost(
            "report applied to a row",
            _min_us(lambda: apply_report(row, report, context), 200),
            "us",
        ),
        UnitCost("row decoded", _min_us(lambda: decode_row(encode_row(row)), 200), "us"),
    ]


def measure_claims() -> list[UnitCost]:
    """Return transactions and time per claim, alone and in group commits."""
    table = MemoryTable()
    answers = AnswerStore(MemoryObjectStore(), "claims")
    claims = ClaimStore(table, answers, make_single_commit(table), 5.0, 3600.0)

    def run(key: str) -> None:
        started = claims.try_acquire(key, "hash").unwrap()
        assert isinstance(started, ClaimAcquired)
        sent = claims.mark_sent(started.claim).unwrap()
        claims.complete(sent, Answer(status=200, headers={}, body=b"{}")).unwrap()

    key_numbers = iter(range(1 << 30))
    alone = _min_us(lambda: run(f"key-{next(key_numbers)}"), 50)
    counted = _CountingTable(table)
    changes = [
        ConditionalWrite(
            Check("claims", f"group-{k}", 0), Write("claims", f"group-{k}", {"nonce": str(k)})
        )
        for k in range(CLAIMS)
    ]
    commit_group(counted, changes)
    return [
        UnitCost("claim from begin to stored answer, without I/O", alone, "us"),
        UnitCost("transactions for a request alone", 3, "writes"),
        UnitCost(
            f"transactions for a step of {CLAIMS} claims in a group", counted.commits, "writes"
        ),
    ]


class _CountingTable:
    def __init__(self, table: MemoryTable) -> None:
        self._table = table
        self.commits = 0

    def commit(self, checks: list[Check], writes: list[Write]):
        self.commits += 1
        return self._table.commit(checks, writes)

    def __getattr__(self, name: str):
        return getattr(self._table, name)


def measure_documents(models: int) -> list[UnitCost]:
    """Return the cost of a document with many models."""
    lines = "".join(f"  - {{name: model-{k:03}, memory: 14GiB}}\n" for k in range(models))
    text = f"service: service\nowner: owner\nmodels:\n{lines}"
    document = parse_document(text).unwrap()
    memory, _ = _measure_allocation(lambda: build_catalog(1, [parse_document(text).unwrap()]))
    return [
        UnitCost(
            f"document of {models} models parsed", _min_us(lambda: parse_document(text)), "us"
        ),
        UnitCost("catalog, for each model", memory / len(document.models), "bytes of memory"),
        UnitCost("document, for each model", len(text) / models, "bytes"),
    ]


def measure_decisions() -> list[UnitCost]:
    """Return the cost of choosing an endpoint and of a placement round."""
    choices = [
        UnitCost(f"choice among {count} candidates", measure_pick(count) * US_PER_S, "us")
        for count in (10, 100, 1000)
    ]
    rounds = ((18, 5), (480, 100))
    return choices + [
        UnitCost(
            f"placement round, {m} models, {r} replicas", measure_placement_round(m, r) * 1000, "ms"
        )
        for m, r in rounds
    ]


def measure() -> list[UnitCost]:
    """Return all unit costs."""
    return [
        *measure_gossip(8),
        *measure_gossip(420),
        *measure_snapshots(780),
        *measure_ledger(),
        *measure_claims(),
        *measure_documents(100),
        *measure_decisions(),
    ]


def main() -> None:
    """Print the unit costs as a Markdown table."""
    print("| slope | value | unit |\n| --- | --- | --- |")
    for cost in measure():
        print(f"| {cost.name} | {cost.value:,.1f} | {cost.unit} |")


if __name__ == "__main__":
    main()
