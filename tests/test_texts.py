"""Counts in text from outside."""

import unittest

from catkinhook.addresses import split_address
from catkinhook.platform import front, upstream
from catkinhook.requests.routedrequest import DEFAULT_OUTPUT_TOKENS
from catkinhook.texts import parse_count

# ``str.isdigit`` is true for each of them, but ``int`` fails or gives a number that is too large.
ODD_DIGITS = ("²", "\u0663", "9" * 5000, "9" * 400)


class CountsTest(unittest.TestCase):
    """Text that only looks like a number."""

    def test_only_short_ascii_digits_are_counts(self) -> None:
        """Guards against an exception, or a number that no later step can take."""
        for text in (*ODD_DIGITS, "", "-1", "+1", " 1", "1_0", "1.5"):
            with self.subTest(text=text[:20]):
                self.assertIsNone(parse_count(text))
        self.assertEqual(parse_count("0012"), 12)

    def test_odd_port(self) -> None:
        """Guards against an address whose port raises another error than documented."""
        for text in ODD_DIGITS:
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                split_address(f"10.0.0.1:{text}")

    def test_odd_headers_of_an_endpoint(self) -> None:
        """Guards against a 500 for callers because of a header of an endpoint.

        A load beyond the range of a float also failed each later request to that endpoint.
        """
        for text in ODD_DIGITS:
            with self.subTest(text=text[:20]):
                self.assertIsNone(upstream._parse_load(f"{text},1,8"))
                idle_limit = upstream._parse_idle_limit(f"timeout={text}")
                self.assertEqual(idle_limit, upstream.DEFAULT_IDLE_S)
        self.assertEqual(upstream._parse_load("3, 1,8"), (3, 1))
        self.assertEqual(upstream._parse_idle_limit("max=5, timeout=9"), 8.0)

    def test_odd_headers_of_a_caller(self) -> None:
        """Guards against a 500 for a caller's header."""
        for text in ODD_DIGITS:
            with self.subTest(text=text[:20]):
                self.assertEqual(front._parse_token_counts(f"{text},5"), (0, DEFAULT_OUTPUT_TOKENS))
                inbound = front._InboundRequest(
                    method="GET",
                    target="/",
                    path="/",
                    headers=(),
                    value_by_name={"last-event-id": text},
                    body=b"",
                    arrived=0.0,
                )
                self.assertIsNone(front._parse_last_event_id(inbound))


if __name__ == "__main__":
    unittest.main()
