"""Client of the platform's transactional table service."""

import uuid
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import quote

import attrs
import urllib3
from result import Err, Ok, Result

from catkinhook.errors import Effect, StoreConflict, StoreError
from catkinhook.httpheads import make_pool_manager
from catkinhook.jsontexts import decode_json

ABSENT = 0
SCAN_LIMIT = 1000
NONCE_KEY = "nonce"


@attrs.frozen
class Row:
    """One row; ``version`` starts at 1 and increases by one with each write."""

    table: str
    key: str
    version: int
    value: dict[str, Any]


@attrs.frozen
class Check:
    """Requires that a row has a version; ``ABSENT`` requires that the row does not exist."""

    table: str
    key: str
    version: int


@attrs.frozen
class Write:
    """Writes a row, or deletes it when ``value`` is None."""

    table: str
    key: str
    value: dict[str, Any] | None


Versions = dict[tuple[str, str], int]


class Table(Protocol):
    """Calls of the table service that the system uses; thread-safe."""

    def read(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Return a row, or None when it is absent."""

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> Result[list[Row], StoreError]:
        """Return the rows with a key prefix that follow a key, in key order."""

    def commit(
        self, checks: list[Check], writes: list[Write]
    ) -> Result[Versions, StoreConflict | StoreError]:
        """Apply all writes if all checks hold; return the new version by ``(table, key)``."""


def make_nonce() -> str:
    """Return a unique value that identifies one write."""
    return uuid.uuid4().hex


def scan_all(table: Table, name: str, prefix: str = "") -> Result[list[Row], StoreError]:
    """Return all rows of a table with a prefix, page by page."""
    rows: list[Row] = []
    while True:
        page = table.scan(name, prefix, rows[-1].key if rows else "")
        if page.is_err():
            return page
        rows += page.unwrap()
        if len(page.unwrap()) < SCAN_LIMIT:
            return Ok(rows)


def commit_confirmed(
    table: Table, checks: list[Check], writes: list[Write]
) -> Result[Versions, StoreConflict | StoreError]:
    """Commit and, if the answer is lost, read back by nonce whether the writes took effect.

    The value of the first write must have a unique nonce under ``NONCE_KEY``.

    :returns: as ``Table.commit``. An error with effect ``UNKNOWN`` remains if the row can't be read
        back or does not have the nonce. After a lost answer the versions of rows written without a
        check are omitted, because they are unknown.
    """
    result = table.commit(checks, writes)
    if result.is_ok() or not isinstance(result.err(), StoreError):
        return result
    if result.unwrap_err().effect is Effect.NONE:
        return result
    first = writes[0]
    assert first.value is not None
    read_back = table.read(first.table, first.key)
    if read_back.is_err():
        return result
    row = read_back.unwrap()
    if row is None or row.value.get(NONCE_KEY) != first.value[NONCE_KEY]:
        # The transaction may still reach the store later, so its effect stays unknown.
        return result
    # The writes of a transaction take effect atomically, so the nonce of one confirms all.
    version_by_key = {(check.table, check.key): check.version for check in checks}
    versions = {
        (w.table, w.key): ABSENT if w.value is None else version_by_key[w.table, w.key] + 1
        for w in writes
        if w.value is None or (w.table, w.key) in version_by_key
    }
    versions[first.table, first.key] = row.version
    return Ok(versions)


class HttpTable:
    """Client of the table service over HTTP.

    :param url: base URL of the platform, for example ``http://127.0.0.1:7000``.
    :param timeout: timeout of one call in seconds.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._pool = make_pool_manager(
            maxsize=16, retries=False, timeout=urllib3.Timeout(total=timeout)
        )

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def read(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Return a row, or None when it is absent."""
        answer = self._call("GET", f"/tables/{quote(table, safe='')}/{quote(key, safe='')}")
        return answer.and_then(
            lambda response: self._decode(response, lambda: _decode_row(table, response))
        )

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> Result[list[Row], StoreError]:
        """Return the rows with a key prefix that follow a key, in key order."""
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        answer = self._call("GET", f"/tables/{quote(table, safe='')}", fields=query)
        return answer.and_then(
            lambda response: self._decode(response, lambda: _decode_rows(table, response))
        )

    def commit(
        self, checks: list[Check], writes: list[Write]
    ) -> Result[Versions, StoreConflict | StoreError]:
        """Apply all writes if all checks hold."""
        body = {
            "checks": [attrs.asdict(check) for check in checks],
            "writes": [attrs.asdict(write) for write in writes],
        }
        answer = self._call("POST", "/transactions", json=body)
        if answer.is_err():
            return Err(answer.unwrap_err())
        status, content = answer.unwrap()
        if status == 409:
            return self._decode((status, content), lambda: _decode_conflict(self._url, content))
        return self._decode((status, content), lambda: _decode_versions(content), Effect.UNKNOWN)

    def _call(self, method: str, path: str, **options: Any) -> Result[tuple, StoreError]:
        is_write = method == "POST"
        try:
            response = self._pool.request(method, self._url + path, **options)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            return Err(StoreError("tables", self._url, f"cannot connect: {e}"))
        except urllib3.exceptions.HTTPError as e:
            effect = Effect.UNKNOWN if is_write else Effect.NONE
            return Err(StoreError("tables", self._url, f"no answer: {e}", effect))
        if response.status == 503:
            return Err(StoreError("tables", self._url, "is unavailable"))
        if response.status >= 400 and response.status not in (404, 409):
            effect = Effect.UNKNOWN if is_write and response.status >= 500 else Effect.NONE
            return Err(StoreError("tables", self._url, f"answered {response.status}", effect))
        return Ok((response.status, response.data))

    def _decode(
        self, response: tuple, decode: Callable[[], Result], effect: Effect = Effect.NONE
    ) -> Result:
        try:
            return decode()
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            reason = f"answer {response[0]} can't be decoded: {error}"
            return Err(StoreError("tables", self._url, reason, effect))


def _decode_row(table: str, response: tuple) -> Result[Row | None, StoreError]:
    status, content = response
    if status == 404:
        return Ok(None)
    return Ok(_make_row(table, decode_json(content)))


def _decode_rows(table: str, response: tuple) -> Result[list[Row], StoreError]:
    rows = decode_json(response[1])["rows"]
    return Ok([_make_row(table, row) for row in rows])


def _make_row(table: str, body: dict[str, Any]) -> Row:
    key, version, value = body["key"], body["version"], body["value"]
    if not isinstance(key, str) or not isinstance(value, dict):
        raise TypeError("a row needs a text as key and an object as value")
    return Row(table, key, _check_version(version), value)


def _check_version(version: Any) -> int:
    if not isinstance(version, int) or isinstance(version, bool) or version < ABSENT:
        raise TypeError(f"{version!r} is not a version")
    return version


def _decode_conflict(url: str, content: bytes) -> Result[Versions, StoreConflict]:
    conflicts = decode_json(content)["conflicts"]
    current = {(item["table"], item["key"]): _check_version(item["version"]) for item in conflicts}
    return Err(StoreConflict("tables", url, "a checked row has changed", current))


def _decode_versions(content: bytes) -> Result[Versions, StoreConflict]:
    versions = decode_json(content)["versions"]
    return Ok({(item["table"], item["key"]): _check_version(item["version"]) for item in versions})
