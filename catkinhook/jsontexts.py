"""Decoding of JSON from outside this process."""

import json
import re
from typing import Any

# Levels of arrays and objects. The C decoder of later Pythons takes some 10,000 before it raises
# RecursionError, and the stack of a thread may end first, and the process with it.
MAX_DEPTH = 920

_BRACKETS = re.compile(r"[\[\]{}]+")
# Texts, in which brackets don't count. The last alternative is one without an end.
_TEXTS = re.compile(r'"(?:[^"\\]|\\.)*"|"(?:[^"\\]|\\.)*\\?\Z', re.DOTALL)
_STEP_BY_BRACKET = {"[": 1, "{": 1, "]": -1, "}": -1}


class JsonDepthError(ValueError):
    """A JSON text nests deeper than ``MAX_DEPTH``."""


def decode_json(data: bytes | str) -> Any:
    """Return the value of a JSON text.

    :raises ValueError: if it isn't JSON, or nests deeper than ``MAX_DEPTH``.
    :raises TypeError: if it is neither bytes nor a text.
    """
    if isinstance(data, bytes):
        data = data.decode(json.detect_encoding(data))
    elif not isinstance(data, str):
        raise TypeError(f"{type(data).__name__} is no JSON text")
    if is_too_deep(data):
        raise JsonDepthError(f"it nests deeper than {MAX_DEPTH} levels")
    try:
        return json.loads(data)
    except RecursionError as error:
        raise JsonDepthError("it nests too deep for this thread") from error


def is_too_deep(text: str) -> bool:
    """Return whether a text nests deeper than ``MAX_DEPTH``, up to where it is JSON at least."""
    if text.count("[") + text.count("{") <= MAX_DEPTH:
        return False
    depth = 0
    for brackets in _BRACKETS.findall(_TEXTS.sub("", text)):
        for bracket in brackets:
            depth += _STEP_BY_BRACKET[bracket]
            if depth > MAX_DEPTH:
                return True
    return False
