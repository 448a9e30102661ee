"""Exchange of evidence about prompt parts between hosts: lifted quarantines, limits and cost."""

import unittest

from catkinhook.requests.partquarantine import MAX_HOLD_S, Quarantine


class QuarantineExchangeTest(unittest.TestCase):
    """Quarantines that hosts learn from each other."""

    def test_number_of_strikes_in_a_message_is_bounded(self) -> None:
        """Guards against an invalid message after which each decision of a host fails."""
        quarantine = Quarantine(units=("llm/d",), at=0.0, suspected_since=0.0, strikes=2**31 - 1)
        self.assertEqual(quarantine.hold_s, MAX_HOLD_S)


if __name__ == "__main__":
    unittest.main()
