"""HTTP client of the platform's metadata store."""

import base64
import binascii
import reprlib
import socket
import threading
from collections.abc import Callable
from typing import Any

import attrs
import urllib3
from result import Err, Ok, Result

from catkinhook.errors import Effect, StoreConflict, StoreError
from catkinhook.httpheads import CheckedPool
from catkinhook.jsontexts import decode_json
from catkinhook.platform import protocolnames
from catkinhook.state.storeinterfaces import TableChanges, VersionedRow
from catkinhook.state.storeversions import MAX_ERA, find_era, join_version, version_in_era
from catkinhook.texts import is_encodable, parse_count
from catkinhook.units import MIB

STEP = "store"
# The store usually responds in about 4 ms; it is considered unavailable after this timeout.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Closes a connection on which sent bytes stay unacknowledged, such as when it was lost without a
# reset.
TCP_USER_TIMEOUT_MS = 1500
# Rows requested in one page; this is the maximum that the store allows.
PAGE_ROWS = 500
# A page of rows has at most 1 MB.
MAX_ANSWER_BYTES = 4 * MIB
# Versions are sent to other hosts in i64 fields.
MAX_VERSION = 2**63 - 1

# Tries to read all pages of a table within one era.
MAX_READS = 3

_OK, _CONFLICT, _HISTORY_EXPIRED = 200, 412, 410
# Statuses of responses to requests that the store has not executed.
_NOT_EXECUTED_STATUSES = frozenset({400, 403, 404, 410, 429, 503, 507})

_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


@attrs.frozen
class StoreAnswer:
    """Answer of the store.

    :ivar era: era of the answer, None for a store without eras.
    """

    status: int
    body: dict
    era: int | None = None

    def join(self, version: Any) -> int | None:
        """Return the store version of a version in this answer, None if it is not valid."""
        return join_version(self.era, version) if _is_version(version) else None


class StoreClient:
    """HTTP client of the store; thread-safe.

    :param address: ``IP:port``.
    :ivar on_era: called with the previous and the new era after each rise, by the thread whose call
        was answered.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._lock = threading.Lock()
        # Calls since the start, by what they are for.
        self.calls_by_purpose: dict[str, int] = {}
        self.on_era: Callable[[int, int], object] = lambda previous, era: None
        self._era: int | None = None
        host, _, port = address.rpartition(":")
        self._pool = CheckedPool(host, int(port), maxsize=4, retries=False, socket_options=_OPTIONS)

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any],
        wait_s: float = 0.0,
        purpose: str = "",
        may_repeat: bool = False,
    ) -> Result[StoreAnswer, StoreError]:
        """Send one request.

        :param fields: query parameters of a GET, otherwise the body.
        :param wait_s: seconds that the store may hold the call, in addition to the timeout.
        :param purpose: what the call is counted under.
        :param may_repeat: whether to send the request once more, on a new connection and without a
            wait, if it got no answer. Its connection may be lost while the store serves others.
        :returns: the answer, for status 200, 410 and 412 only.
        """
        with self._lock:
            self.calls_by_purpose[purpose] = self.calls_by_purpose.get(purpose, 0) + 1
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=CALL_TIMEOUT_S + wait_s)
        try:
            options = {"fields" if method == "GET" else "json": fields}
            answer = self._pool.request(
                method, path, timeout=timeout, preload_content=False, **options
            )
            data = self._read_bounded(answer)
            body = decode_json(data.decode()) if data else {}
        except urllib3.exceptions.NewConnectionError as error:
            return Err(self._error(str(error), Effect.NONE))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            if may_repeat:
                # The pool opens a new connection for the call after one that failed.
                fields = {**fields, "wait_ms": 0} if wait_s else fields
                return self.call(method, path, fields, purpose=purpose)
            return Err(self._error(f"{method} {path} failed: {error}", Effect.UNKNOWN))
        except (ValueError, RecursionError) as error:
            return Err(self._error(f"{method} {path} failed: {error}", Effect.UNKNOWN))
        era = _parse_era(answer.headers)
        if not self._accept_era(era):
            if may_repeat:
                return self.call(method, path, fields, purpose=purpose)
            reason = f"{method} {path} was answered in era {era}, which has ended"
            return Err(self._error(reason, Effect.UNKNOWN))
        if answer.status in _NOT_EXECUTED_STATUSES and answer.status != _HISTORY_EXPIRED:
            reason = f"{method} {path} was answered with status {answer.status}"
            return Err(self._error(reason, Effect.NONE))
        if answer.status not in (_OK, _CONFLICT, _HISTORY_EXPIRED) or not isinstance(body, dict):
            reason = f"{method} {path} was answered with status {answer.status}"
            return Err(self._error(reason, Effect.UNKNOWN))
        return Ok(StoreAnswer(answer.status, body, self._era if era is None else era))

    def is_current(self, store_version: int) -> bool:
        """Return whether a version belongs to the latest era."""
        era = self._era
        return era is None or find_era(store_version) == era

    def local_version(self, store_version: int) -> int:
        """Return the store's own version, which calls state."""
        return store_version if self._era is None else version_in_era(store_version)

    def _accept_era(self, era: int | None) -> bool:
        """Record the era of an answer; return whether the answer is of the latest one."""
        if era is None:
            return True
        with self._lock:
            previous = self._era
            if previous is not None and era < previous:
                return False
            self._era = era
        if previous is not None and era > previous:
            self.on_era(previous, era)
        return True

    def _read_bounded(self, answer: urllib3.BaseHTTPResponse) -> bytes:
        """Return the body of an answer.

        :raises ConnectionAbortedError: if it exceeds the limit.
        """
        # The connection goes back to the pool at the end of the body.
        data = answer.read(MAX_ANSWER_BYTES + 1)
        if len(data) > MAX_ANSWER_BYTES:
            answer.close()
            raise ConnectionAbortedError(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
        return data

    def _error(self, reason: str, effect: Effect) -> StoreError:
        return StoreError(STEP, self._address, reason, effect)


class TableFeed:
    """Change feed of one table, in which the field ``part`` of all rows is empty."""

    def __init__(self, client: StoreClient, table: str) -> None:
        self._client = client
        self._table = table

    def read_changes(self, after: int | None, wait_s: float) -> Result[TableChanges, StoreError]:
        """Return the changes after a version, or all rows if the store has no history for it."""
        if after is None:
            return self._read_all()
        if not self._client.is_current(after):
            return self._read_all()
        version = self._client.local_version(after)
        fields = {"table": self._table, "after": version, "wait_ms": int(wait_s * 1000)}
        result = self._read("/rows-feed", fields, wait_s)
        if result.is_err():
            return result
        answer = result.unwrap()
        # The store may have the version again, with other changes before it.
        is_other_era = answer.era is not None and answer.era != find_era(after)
        if answer.status == _HISTORY_EXPIRED or is_other_era:
            return self._read_all()
        return _decode_changes(answer, False)

    def _read(
        self, path: str, fields: dict[str, Any], wait_s: float = 0.0
    ) -> Result[StoreAnswer, StoreError]:
        return self._client.call("GET", path, fields, wait_s, self._table, may_repeat=True)

    def _read_all(self) -> Result[TableChanges, StoreError]:
        for _ in range(MAX_READS):
            result = self._read_pages()
            if result.is_err() or self._client.is_current(result.unwrap().version):
                return result
        return Err(StoreError(STEP, "", "the era of the store rose in each read of a table"))

    def _read_pages(self) -> Result[TableChanges, StoreError]:
        """Read all pages; the version is that of an earlier era if the era rose between them."""
        value_by_key: dict[str, bytes] = {}
        version: int | None = None
        ignored: tuple[str, ...] = ()
        start_key = ""
        while True:
            fields = {"table": self._table, "part": "", "limit": PAGE_ROWS}
            if start_key:
                fields["from"] = start_key
            result = self._read("/rows-get", fields)
            if result.is_err():
                return result
            answer = result.unwrap()
            page = _decode_changes(answer, True)
            if page.is_err():
                return page
            changes = page.unwrap()
            value_by_key |= changes.value_by_key
            # Pages may be read at different versions. The first page's version is kept, so that the
            # feed then returns all changes since that page.
            version = changes.version if version is None else version
            ignored += changes.ignored
            last_key = max(changes.value_by_key, default="")
            # A page that doesn't advance would be read again and again.
            if not answer.body.get("more_pages") or last_key < start_key or not last_key:
                return Ok(TableChanges(version, value_by_key, is_full=True, ignored=ignored))
            # The next key in byte order after the last one of this page.
            start_key = last_key + "\0"


class TableRow:
    """Row of the system's own table with conditional writes."""

    def __init__(self, client: StoreClient, table: str, key: str) -> None:
        self._client = client
        self._row_id = {"table": table, "part": "", "key": key}

    def read(self) -> Result[VersionedRow, StoreError]:
        """Return the row, with version 0 if it doesn't exist."""
        fields = {
            "table": self._row_id["table"],
            "part": "",
            "from": self._row_id["key"],
            "limit": 1,
        }
        purpose = self._row_id["key"]
        result = self._client.call("GET", "/rows-get", fields, purpose=purpose)
        return result.and_then(self._decode)

    def write(self, expected: int, value: bytes) -> Result[int, StoreConflict | StoreError]:
        """Write the row if its version is the expected one; return the new version."""
        if not self._client.is_current(expected):
            return Err(self._make_conflict(expected, "the store has a new era"))
        encoded = base64.b64encode(value).decode()
        fields = {
            "expected": [{**self._row_id, "ver": self._client.local_version(expected)}],
            "writes": [{**self._row_id, "value": encoded}],
            "remove": [],
        }
        purpose = self._row_id["key"]
        result = self._client.call("POST", "/rows-tx", fields, purpose=purpose)
        if result.is_err():
            return result
        answer = result.unwrap()
        if answer.status == _CONFLICT:
            current = self._find_row(answer).version
            reason = f"the row has version {current} instead of {expected}"
            return Err(self._make_conflict(current, reason))
        if answer.era is not None and answer.era != find_era(expected):
            reason = "another row had the version in a new era of the store"
            return Err(StoreError(STEP, "", reason, Effect.UNKNOWN))
        version = answer.join(answer.body.get("ver"))
        if version is None:
            return Err(StoreError(STEP, "", "the answer has no version", Effect.UNKNOWN))
        return Ok(version)

    def _make_conflict(self, current: int, reason: str) -> StoreConflict:
        key = (self._row_id["table"], self._row_id["key"])
        return StoreConflict(STEP, "", reason, {key: current})

    def _decode(self, answer: StoreAnswer) -> Result[VersionedRow, StoreError]:
        # An answer that is no list of rows does not show that the row doesn't exist.
        newest = answer.join(answer.body.get("ver"))
        if newest is None or not isinstance(answer.body.get("rows"), list):
            return Err(_make_rows_error(answer.body))
        row = self._find_row(answer)
        return Ok(row if answer.era is None else attrs.evolve(row, newest=newest))

    def _find_row(self, answer: StoreAnswer) -> VersionedRow:
        rows, now_ms = answer.body.get("rows"), answer.body.get("now_ms")
        read_at = now_ms / 1000 if _is_version(now_ms) else 0.0
        for row in rows if isinstance(rows, list) else ():
            if _find_key(row) == self._row_id["key"]:
                version = answer.join(row.get("ver"))
                # Version 0 stands for a row that doesn't exist.
                if version is not None and row["ver"] > 0:
                    return VersionedRow(version, _decode_value(row), read_at)
        return VersionedRow(join_version(answer.era, 0), b"", read_at)


def _parse_era(headers: urllib3.HTTPHeaderDict) -> int | None:
    """Return the era of an answer, None if it states none that can be read."""
    values = {value.strip() for value in headers.getlist(protocolnames.STORE_ERA)}
    era = parse_count(values.pop()) if len(values) == 1 else None
    return era if era is not None and era <= MAX_ERA else None


def _decode_changes(answer: StoreAnswer, is_full: bool) -> Result[TableChanges, StoreError]:
    version, rows = answer.join(answer.body.get("ver")), answer.body.get("rows")
    if version is None or not isinstance(rows, list):
        return Err(_make_rows_error(answer.body))
    value_by_key: dict[str, bytes] = {}
    removed: set[str] = set()
    ignored: list[str] = []
    for row in rows:
        key = _find_key(row)
        if key is None:
            ignored.append(reprlib.repr(row))
        # Rows are in the order of their changes, so later ones override earlier ones.
        elif row.get("tombstone"):
            value_by_key.pop(key, None)
            removed.add(key)
        else:
            removed.discard(key)
            value_by_key[key] = _decode_value(row)
    return Ok(TableChanges(version, value_by_key, frozenset(removed), is_full, tuple(ignored)))


def _make_rows_error(body: dict) -> StoreError:
    return StoreError(STEP, "", f"the answer has no valid rows: {reprlib.repr(body)}")


def _is_version(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_VERSION


def _find_key(row: Any) -> str | None:
    """Return the key of a row, or None if it isn't a row of the empty part.

    A feed also returns the rows of other parts, whose keys may be those of rows of the empty part.
    """
    key = row.get("key") if isinstance(row, dict) and row.get("part", "") == "" else None
    return key if isinstance(key, str) and is_encodable(key) else None


def _decode_value(row: dict) -> bytes:
    """Return the value of a row, empty if it can't be decoded."""
    try:
        return base64.b64decode(row.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        return b""
