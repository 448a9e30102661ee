"""Error budget report: sums over gateways, windows, alerts and missing instances."""

import json
import unittest

from catkinhook.operations.burn import RETENTION_MINUTES, BurnCounters, build_report
from catkinhook.operations.burnpage import render_html, render_json, render_text
from catkinhook.state.documents import build_catalog, parse_document

DOCUMENT = """\
service: levelezo
owner: kegyelet
classes:
  counter: {objective: 0.95}
default_class: counter
"""


def _catalog():
    return build_catalog(1, [parse_document(DOCUMENT).unwrap()])


class BurnTest(unittest.TestCase):
    def test_sums_gateways_whose_clocks_differ(self) -> None:
        """Guards against comparing clock readings of two hosts."""
        first, second = BurnCounters(), BurnCounters()
        for step in range(100):
            first.record("levelezo", "counter", step % 10 != 0, 1_000.0)
            second.record("levelezo", "counter", True, 900_000.0)
        buckets = first.export(1_030.0) + second.export(900_010.0)
        burn = build_report(_catalog(), buckets, []).classes[0]
        self.assertEqual((burn.total, burn.met), (200, 190))
        self.assertAlmostEqual(burn.rate_by_minutes[5], 1.0)
        self.assertAlmostEqual(burn.budget_left, 0.0)

    def test_alert_needs_both_windows(self) -> None:
        """Guards against a page from the one-hour window after the incident has ended."""
        ongoing, ended = BurnCounters(), BurnCounters()
        for minute in range(60):
            for _ in range(10):
                ongoing.record("levelezo", "counter", False, minute * 60.0)
                ended.record("levelezo", "counter", minute >= 50, minute * 60.0)
        long_windows = {}
        for name, counters in (("ongoing", ongoing), ("ended", ended)):
            burn = build_report(_catalog(), counters.export(59 * 60.0), []).classes[0]
            self.assertGreater(burn.rate_by_minutes[60], 14.4)
            long_windows[name] = {alert.long_minutes for alert in burn.alerts}
        self.assertIn(60, long_windows["ongoing"])
        self.assertNotIn(60, long_windows["ended"])

    def test_old_counts_are_deleted(self) -> None:
        """Guards against memory that grows with uptime."""
        counters = BurnCounters()
        for minute in range(3 * RETENTION_MINUTES):
            counters.record("levelezo", "counter", True, minute * 60.0)
            buckets = counters.export(minute * 60.0) if minute % 100 == 0 else []
        self.assertLessEqual(len(buckets), 60 + RETENTION_MINUTES // 10)

    def test_renders_missing_instances(self) -> None:
        counters = BurnCounters()
        counters.record("levelezo", "counter", False, 0.0)
        report = build_report(_catalog(), counters.export(0.0), ["entry-3"])
        self.assertIn("entry-3", render_text(report))
        self.assertIn("entry-3", render_html(report))
        self.assertEqual(json.loads(render_json(report))["missing"], ["entry-3"])


if __name__ == "__main__":
    unittest.main()
