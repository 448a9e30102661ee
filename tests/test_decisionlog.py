"""Decision log: lines about values from outside."""

import contextlib
import io
import json
import unittest

from catkinhook.operations.decisionlog import MAX_LISTED_ITEMS, MAX_TEXT_CHARS, DecisionLog


class DecisionLogTest(unittest.TestCase):
    """Lines that are written for any text."""

    def test_any_text_gives_one_short_line(self) -> None:
        """Guards against a line of the size of an odd row, and against one that isn't written."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            log = DecisionLog("h")
        log.start()
        for text in ("x" * 1_000_000, "\ud800", "a\r\nb", "\0", "²"):
            log.record("endpoint", outcome=f"unusable: {text}", endpoint=text)
        log.close()
        lines = output.getvalue().splitlines()
        self.assertEqual(len(lines), 5)
        for line in lines:
            self.assertLess(len(line), 3 * MAX_TEXT_CHARS)
            self.assertEqual(json.loads(line)["kind"], "endpoint")

    def test_long_list_gives_a_short_line(self) -> None:
        """Guards against a line with all names of an engine that reports thousands of them."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            log = DecisionLog("h")
        log.start()
        log.record("order", outcome="accepted", counted=tuple(f"{n:0200d}" for n in range(4096)))
        log.close()
        line = json.loads(output.getvalue())
        self.assertLess(len(output.getvalue()), 10 * MAX_TEXT_CHARS)
        self.assertEqual(line["counted"][-1], f"{4096 - MAX_LISTED_ITEMS} more")


if __name__ == "__main__":
    unittest.main()
