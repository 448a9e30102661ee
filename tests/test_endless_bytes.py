"""Memory of a host whose endpoints send bytes without end, or whose callers don't read.

Hosts run as separate processes; the peak of their resident memory is that of the kernel.
"""

import unittest

from tests.memory_host import Measurement, measure

# The smallest memory limit of the users' deployments.
MEMORY_MB = 160
CALLERS = 60


class EndlessBytesTest(unittest.TestCase):
    """A host must stay within its memory limit, and serve other requests meanwhile."""

    def check(self, kind: str, callers: int = CALLERS) -> Measurement:
        """Measure a host under one kind of load."""
        measurement = measure(kind, callers, MEMORY_MB)
        figures = measurement.describe()
        self.assertIsNone(measurement.exit_code, figures)
        self.assertLess(measurement.peak_mb, MEMORY_MB, figures)
        self.assertEqual(set(measurement.calm_statuses), {200}, figures)
        return measurement

    def test_endless_bodies_of_many_callers_stay_within_the_memory_limit(self) -> None:
        """Endless bodies must not fill the memory of the host, though each of them is bounded."""
        for kind in ("body", "chunks", "held body"):
            with self.subTest(kind):
                self.assertNotIn(200, self.check(kind).statuses)

    def test_answers_that_many_callers_do_not_read_stay_within_the_memory_limit(self) -> None:
        """Output that callers don't read must not fill the memory of the host."""
        for kind in ("unread events", "unread large"):
            with self.subTest(kind):
                self.check(kind)

    def test_large_requests_of_many_callers_stay_within_the_memory_limit(self) -> None:
        """Bodies of requests must not fill the memory of the host; those refused have not run."""
        measurement = self.check("request bodies")
        self.assertIn(200, measurement.statuses)
        self.assertLessEqual(set(measurement.statuses), {200, 503})


if __name__ == "__main__":
    unittest.main()
