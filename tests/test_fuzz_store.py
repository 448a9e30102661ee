"""Fuzz tests of ledger rows, engine reports and answers of the table service."""

import json
import math
import unittest
from types import SimpleNamespace

import urllib3
from hypothesis import example, given, settings
from hypothesis import strategies as st

from catkinhook.control.engineapi import HttpEngineApi
from catkinhook.control.ledger import (
    EndpointRow,
    Order,
    OrderKind,
    Resident,
    decode_row,
    encode_row,
    memory_bound,
)
from catkinhook.errors import EngineError, StoreConflict, StoreError
from catkinhook.state.tableservice import HttpTable

FIELDS = {"memory": 1, "fencing": 1, "incarnation": 1}
ORDER = Order(order_id="o", kind=OrderKind.LOAD_MODEL, item="m", sender="n", **FIELDS)
ROW = EndpointRow(endpoint="e", holder="n", resident={"x": Resident(2)}, orders=(ORDER,), **FIELDS)
ROW_JSON = json.loads(json.dumps(encode_row(ROW)))
REPORT = {"boot_id": "b", "memory": 9, "used": 1, "models": ["m"], "adapters": [], "lag_ms": 5}
REPORT |= {"running": 1, "tokens_per_second": 1.5, "orders": {"o": "done"}, "prefixes": ["p"]}
ACCEPTED = {"boot_id": "b", "accepted": ["o"], "rejected": [{"order_id": 1, "reason": 2}]}
STORED = {"key": "k", "version": 1, "value": {"a": 1}}
VERSIONS = [{"table": "t", "key": "k", "version": 1}]
ANSWER = STORED | {"rows": [STORED], "versions": VERSIONS, "conflicts": VERSIONS}
UNEXPECTED_VALUES = st.sampled_from(
    [10**400, -1, math.inf, math.nan, "\ud800", "failed: x", "load_model"]
)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | UNEXPECTED_VALUES
)
VALUES = st.recursive(LEAVES, lambda v: st.lists(v) | st.dictionaries(st.text(), v), max_leaves=6)
DEEPLY_NESTED = b"[" * 100_000


@st.composite
def mutate(draw: st.DrawFn, value: object) -> object:
    """Return a JSON value with one part replaced or removed."""
    if not isinstance(value, (dict, list)) or not value or draw(st.integers(0, 4)) == 0:
        return draw(VALUES)
    changed = value.copy()
    key = draw(st.sampled_from(list(value) if isinstance(value, dict) else range(len(value))))
    changed[key] = draw(mutate(value[key]))
    if draw(st.integers(0, 5)) == 0:
        del changed[key]
    return changed


def make_pool(body: bytes, status: int = 200) -> SimpleNamespace:
    """Return a connection pool that answers every request with one body."""
    return SimpleNamespace(request=lambda *_, **__: urllib3.HTTPResponse(body, status=status))


class StoreTest(unittest.TestCase):
    @settings(max_examples=300)
    @given(mutate(ROW_JSON))
    @example(ROW_JSON | {"resident": []})
    @example(ROW_JSON | {"memory": "9"})
    @example(ROW_JSON | {"resident": {"x": {"memory": -5, "version": ""}}})
    def test_ledger_rows(self, value: object) -> None:
        """Guards against a row that aborts a control round or lowers the memory bound."""
        try:
            row = decode_row(value)
        except (KeyError, TypeError, ValueError):
            return
        self.assertGreaterEqual(memory_bound(row), 0)
        self.assertIs(type(row.memory), int)
        self.assertEqual(decode_row(json.loads(json.dumps(encode_row(row)))), row)

    @settings(max_examples=300)
    @given(st.binary(max_size=20) | (mutate(REPORT) | mutate(ACCEPTED)).map(json.dumps))
    @example(DEEPLY_NESTED)
    @example(json.dumps(REPORT | {"memory": math.inf}))
    @example(json.dumps(REPORT | {"lag_ms": -60_000}))
    def test_engine_answers(self, body: bytes | str) -> None:
        """Guards against an answer that stops the worker or has a time in the future."""
        engines = HttpEngineApi(1.0, lambda: 100.0)
        engines._pool = make_pool(body if isinstance(body, bytes) else body.encode())
        results = [engines.report("a"), engines.plain_report("a"), engines.send("a", [ORDER])]
        for result in results:
            self.assertTrue(result.is_ok() or isinstance(result.err(), EngineError))
        if results[0].is_ok():
            report = results[0].unwrap()
            self.assertTrue(-math.inf < report.taken_at <= 100.0)
            self.assertTrue(math.isfinite(report.tokens_per_second))
            self.assertTrue("".join(report.models | report.adapters | report.prefixes) is not None)

    @settings(max_examples=300)
    @given(
        st.binary(max_size=20) | mutate(ANSWER).map(json.dumps), st.sampled_from([200, 404, 409])
    )
    @example(DEEPLY_NESTED, 200)
    @example(json.dumps(STORED | {"value": []}), 200)
    @example(json.dumps({"conflicts": [{"table": "t", "key": "k", "version": "x"}]}), 409)
    def test_table_answers(self, body: bytes | str, status: int) -> None:
        """Guards against an answer that stops a loop or produces a row with wrong types."""
        table = HttpTable("http://127.0.0.1:1", 1.0)
        table._pool = make_pool(body if isinstance(body, bytes) else body.encode(), status)
        results = [table.read("t", "k"), table.scan("t"), table.commit([], [])]
        for result in results:
            self.assertTrue(result.is_ok() or isinstance(result.err(), (StoreError, StoreConflict)))
        for row in filter(None, [results[0].ok(), *(results[1].ok() or [])]):
            self.assertEqual((type(row.value), type(row.version)), (dict, int))
