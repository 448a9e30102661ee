"""Parsing of whole numbers in text from other processes."""

import re

# ``str.isdigit`` also accepts digits that ``int`` refuses, and ``int`` refuses very long numbers.
_WHOLE_NUMBER = re.compile("[0-9]{1,18}")


def parse_whole_number(text: str) -> int | None:
    """Return a number of up to 18 decimal digits, None for any other text."""
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None
