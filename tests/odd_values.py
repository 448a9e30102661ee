"""Odd values that another writer may have written, as JSON texts, and their use in records."""

import io
import json
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import urllib3
from hypothesis import strategies as st
from thrift.transport.TTransport import TMemoryBuffer

from catkinhook.peering.hostmessages import HolderView, encode_view
from catkinhook.peering.peers import COMPACT_PROTOCOL

MAX_I32 = 2**31 - 1
MAX_I64 = 2**63 - 1

NESTED = "[" * 900 + "]" * 900
TOO_NESTED = "[" * 100_000
ODD_ADDRESSES = (
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:²",
    "10.0.0.1:٣",
    "10.0.0.1: 80",
    f"10.0.0.1:{'9' * 5000}",
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "[::1]:80",
    "::1:80",
    "fe80::1%a\r\nb:80",
    "[[10.0.0.1]]:80",
    "host.example:80",
)
ODD_TEXTS = (
    "",
    " ",
    "²",
    "\ud800",
    "a\r\nb: c",
    "a/b",
    "/",
    "@1",
    "\0",
    "x" * 100_000,
    *ODD_ADDRESSES,
)
# JSON texts, since some of these values can't be written by an encoder.
ODD_VALUES = (
    "null",
    "true",
    "false",
    "0",
    "-0.0",
    "0.5",
    "-1",
    "1e308",
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    str(2**31),
    str(2**63 - 1),
    str(2**63),
    str(10**300),
    str(10**400),
    str(-(10**400)),
    "9" * 5000,
    "{}",
    "[]",
    "[[]]",
    "[{}]",
    "[null]",
    "[1]",
    '["a",["b"]]',
    '["a","a"]',
    '{"a":[]}',
    '[{"name":["a"]}]',
    '[{"name":"a","adapters":7}]',
    '[{"name":"a","adapters":"bc"}]',
    '[{"name":"a","adapters":[["b"]]}]',
    '[{"name":"a","adapters":[{"name":["b"]}]}]',
    '[{"name":"a"},{"name":"a"}]',
    "[" + ",".join(f'{{"name":"m{i}"}}' for i in range(17_000)) + "]",
    "[" + ",".join(f'"m{i}"' for i in range(17_000)) + "]",
    '{"on_disk":[["a"]],"in_memory":5}',
    '{"on_disk":"abc"}',
    NESTED,
    TOO_NESTED,
    *map(json.dumps, ODD_TEXTS),
)
ODD_ROWS = (
    b"",
    b"\xff\xfe\x00",
    b"\xed\xa0\x80",
    b"{",
    b"\x00" * 100,
    b'"\xff"',
    *(text.encode() for text in ODD_VALUES),
)
RANDOM_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(10**300, 10**400)
    | st.floats()
    | st.text(st.characters(), max_size=5),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
).map(json.dumps)


def replace_each_part(value: Any, replacement: str) -> Iterator[str]:
    """Yield the JSON text with each part of a value replaced in turn, and with each key removed."""
    marker = "<replaced>"

    def replace(part: Any) -> Iterator[Any]:
        yield marker
        pairs = part.items() if isinstance(part, dict) else ()
        pairs = enumerate(part) if isinstance(part, list) else pairs
        for key, inner in pairs:
            for changed in replace(inner):
                copy = part.copy()
                copy[key] = changed
                yield copy

    for changed in replace(value):
        yield json.dumps(changed).replace(json.dumps(marker), replacement)


def encode_on_wire(view: HolderView) -> bytes:
    """Return a holder's view as it is sent to the other hosts."""
    buffer = TMemoryBuffer()
    encode_view(view, 0.0).write(COMPACT_PROTOCOL.getProtocol(buffer))
    return buffer.getvalue()


def make_pool(body: bytes, status: int) -> SimpleNamespace:
    """Return a connection pool that answers every request with one body."""

    def request(*_: object, preload_content: bool = True, **__: object) -> urllib3.HTTPResponse:
        return urllib3.HTTPResponse(
            io.BytesIO(body), status=status, preload_content=preload_content
        )

    return SimpleNamespace(request=request)
