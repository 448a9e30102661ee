"""Counters and log lines of retries, by which the causes of an exceeded budget are told apart."""

import unittest

from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.requests.retrycounts import RetryBudgetState, RetryCause, RetryCounts


class _Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def record(self, kind: str, outcome: str, **inputs: object) -> None:
        self.lines.append((outcome, inputs))


class RetryCountsTest(unittest.TestCase):
    """Retries of one service, granted and denied."""

    def setUp(self) -> None:
        self.log, self.metrics = _Log(), HostMetrics()
        self.counts = RetryCounts(self.metrics, self.log, lambda: 1.0)

    def test_retries_are_counted_by_cause_and_result(self) -> None:
        """Guards against a budget of which nothing shows what used it up."""
        state = RetryBudgetState(3.25, 8)
        for cause in (RetryCause.REFUSED, RetryCause.REFUSED, RetryCause.MOVED):
            self.counts.record("llm", cause, True, state)
        text = self.metrics.render().decode()
        line = 'catkinhook_retries_total{cause="refused",result="granted",service="llm"} 2.0'
        self.assertIn(line, text)

    def test_changes_of_state_are_logged(self) -> None:
        """Guards against a line for each retry of a storm."""
        for _ in range(50):
            self.counts.record("llm", RetryCause.REFUSED, True, RetryBudgetState(2.0, 8))
        for _ in range(50):
            self.counts.record("llm", RetryCause.RESUMED, False, RetryBudgetState(0.1, 8))
        self.assertEqual([outcome for outcome, _ in self.log.lines], ["available", "used up"])
        inputs = self.log.lines[1][1]
        self.assertEqual(inputs["granted"], {RetryCause.REFUSED: 50})
        self.assertEqual((inputs["balance"], inputs["hosts"]), (0.1, 8))
