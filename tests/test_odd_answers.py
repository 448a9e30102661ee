"""Answers of the store in which fields are odd."""

import base64
import json
import unittest

from result import Result

from catkinhook.errors import StoreConflict, StoreError
from catkinhook.platform import protocolnames
from catkinhook.platform.storeclient import StoreClient, TableFeed, TableRow
from tests.odd_values import MAX_I64, ODD_ROWS, ODD_VALUES, TOO_NESTED, make_pool, replace_each_part

MAX_REASON_CHARS = 400
SOUND_VALUE = base64.b64encode(b"{}").decode()


def make_row(key: str) -> dict:
    """Return a sound row in an answer of the store."""
    return {"table": "servers", "part": "", "key": key, "value": SOUND_VALUE, "ver": 5}


ANSWER = {
    "rows": [make_row("a"), make_row("b"), make_row("c")],
    "ver": 9,
    "now_ms": 1,
    "more_pages": False,
}


class OddAnswersTest(unittest.TestCase):
    """Answers of the store in which fields are odd."""

    def read(self, body: bytes, status: int) -> list[Result]:
        """Return the results of all calls with one answer."""
        client = StoreClient("127.0.0.1:1")
        client._pool = make_pool(body, status)
        row = TableRow(client, protocolnames.OWN_TABLE, "b")
        feed = TableFeed(client, protocolnames.ENDPOINT_TABLE)
        self.changes = [feed.read_changes(None, 0.0), feed.read_changes(4, 0.0)]
        return [*self.changes, row.read(), row.write(5, b"x")]

    def check_answer(self, body: bytes, status: int = 200) -> None:
        """Check that each call gives values in bounds or an error of the store."""
        results = self.read(body, status)
        for result in results:
            if result.is_err():
                self.assertIsInstance(result.err(), (StoreError, StoreConflict))
                self.assertLess(len(str(result.err())), MAX_REASON_CHARS)
        for result in self.changes:
            if result.is_ok():
                changes = result.unwrap()
                self.assertIs(type(changes.version), int)
                self.assertTrue(0 <= changes.version <= MAX_I64)
                "".join([*changes.value_by_key, *changes.removed]).encode()
        row = results[2].ok()
        if row is not None:
            self.assertIs(type(row.version), int)
            self.assertTrue(0 <= row.version <= MAX_I64)
            self.assertTrue(row.version > 0 or not row.value)
        written = results[3].ok()
        if written is not None:
            self.assertIs(type(written), int)
            self.assertTrue(0 <= written <= MAX_I64)

    def test_any_odd_field_of_an_answer(self) -> None:
        """An odd answer must not end the thread that reads it."""
        for raw in ODD_ROWS:
            with self.subTest(raw=raw[:80]):
                self.check_answer(raw)
        for value in ODD_VALUES:
            for text in replace_each_part(ANSWER, value):
                with self.subTest(value=value[:60], text=text[:200]):
                    self.check_answer(text.encode())
                    self.check_answer(text.encode(), 412)

    def test_odd_row_leaves_the_others(self) -> None:
        """One odd row of an answer must cost that row alone."""
        for value in ODD_VALUES:
            if value == TOO_NESTED or len(value) > 4300 and value.isdigit():
                # The whole answer can't be read.
                continue
            for odd_row in replace_each_part(make_row("b"), value):
                rows = ",".join([json.dumps(make_row("a")), odd_row, json.dumps(make_row("c"))])
                body = f'{{"rows":[{rows}],"ver":9,"now_ms":1}}'
                with self.subTest(value=value[:60], row=odd_row[:200]):
                    self.read(body.encode(), 200)
                    for result in self.changes:
                        values = result.unwrap().value_by_key
                        self.assertEqual((values["a"], values["c"]), (b"{}", b"{}"))

    def test_row_of_another_part_hides_no_entry(self) -> None:
        """A row of another part must neither replace nor remove the entry with the same key."""
        for change in ({"value": ""}, {"tombstone": True, "value": ""}):
            odd_row = {**make_row("b"), "part": "x", **change}
            body = json.dumps({**ANSWER, "rows": [*ANSWER["rows"], odd_row]})
            self.read(body.encode(), 200)
            for result in self.changes:
                changes = result.unwrap()
                self.assertEqual(changes.value_by_key.get("b"), b"{}")
                self.assertFalse(changes.removed)


if __name__ == "__main__":
    unittest.main()
