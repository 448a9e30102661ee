"""Checks of text from outside that code must not assume to be well-formed."""

# Digits of the largest count that is read from text; the result fits into 64 bits and a float.
MAX_COUNT_DIGITS = 18


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
