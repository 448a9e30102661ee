"""Checks of HTTP answers for completeness, for all HTTP clients of this project."""

import http.client
import re
from typing import Any, BinaryIO

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from catkinhook.texts import parse_count

# Longest part of an odd status line in an error.
MAX_LOGGED_LINE_BYTES = 80
# ``http.client`` reads the status as any integer from 100 to 999, such as "0200" or "2_00".
_STATUS_LINE = re.compile(rb"HTTP/\S+[ \t]+[1-5][0-9]{2}(?:\s|$)")


def is_delimited(headers: urllib3.HTTPHeaderDict) -> bool:
    """Return whether a length or chunks mark the end of a body that has these headers.

    Otherwise the body ends with its connection, so that a truncation can't be detected. urllib3
    ignores a length that it can't read.
    """
    codings = [value.strip().lower() for value in headers.getlist("Transfer-Encoding")]
    lengths = {value.strip() for value in headers.getlist("Content-Length")}
    if codings:
        return codings == ["chunked"]
    return len(lengths) == 1 and parse_count(lengths.pop()) is not None


class CheckedResponse(http.client.HTTPResponse):
    """Response that refuses an incomplete head or an odd status, and skips all interim answers.

    ``http.client`` takes the end of the connection for the end of the head, whose length or other
    headers are then missing or cut, and skips only interim answers with status 100.
    """

    def begin(self) -> None:
        """Read the head of the final answer.

        :raises ConnectionResetError: if the connection ends before the head does.
        :raises http.client.BadStatusLine: if the status is not one of HTTP, from 100 to 599.
        """
        file, self.fp = self.fp, _HeadLines(self.fp)
        try:
            super().begin()
            while 100 <= self.status < 200:
                self.headers = None
                super().begin()
        finally:
            # http.client closes the file and sets it to None after an invalid status line.
            self.fp = file if self.fp is not None else None

    def _read_status(self) -> tuple[str, int, str]:
        parsed = super()._read_status()
        line = self.fp.latest_line
        if _STATUS_LINE.match(line) is None:
            raise http.client.BadStatusLine(line[:MAX_LOGGED_LINE_BYTES].decode("latin-1"))
        return parsed


class _HeadLines:
    """Reads the lines of a head from a file.

    :ivar latest_line: the line that was read last.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self.latest_line = b""
        self.close = file.close

    def readline(self, limit: int) -> bytes:
        """Return the next line; one that is too long is returned in part.

        :raises ConnectionResetError: if the connection ends before the line does.
        """
        line = self._file.readline(limit)
        if not line.endswith(b"\n") and len(line) < limit:
            raise ConnectionResetError(
                "the connection was closed before the answer's head was complete"
            )
        self.latest_line = line
        return line


class _CheckedConnection(HTTPConnection):
    response_class = CheckedResponse


class _CheckedTlsConnection(HTTPSConnection):
    response_class = CheckedResponse


class CheckedPool(urllib3.HTTPConnectionPool):
    """Connection pool of one server, with checked responses."""

    ConnectionCls = _CheckedConnection


class _CheckedTlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _CheckedTlsConnection


def make_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return a pool manager with checked responses.

    :param options: options of ``urllib3.PoolManager``.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": CheckedPool, "https": _CheckedTlsPool}
    return manager
