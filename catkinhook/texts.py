"""Checks of text from outside that code must not assume to be well-formed."""

import re

# Digits of the largest count that is read from text; the result fits into 64 bits and a float.
MAX_COUNT_DIGITS = 18


_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)


def is_encodable(text: str) -> bool:
    """Whether a text can be encoded as UTF-8, which lone surrogates in JSON can't."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_count(text: str) -> int | None:
    """Return the number that a text of ASCII digits gives, None for any other text.

    ``str.isdigit`` also accepts digits that ``int`` does not, such as "²", and texts of more digits
    than ``int`` converts.
    """
    if len(text) > MAX_COUNT_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def parse_decimal(text: str) -> float | None:
    """Return the number that a text of ASCII digits with an optional fraction gives, else None.

    ``float`` also accepts signs, exponents, "nan" and "inf".
    """
    return float(text) if _DECIMAL.fullmatch(text) else None
