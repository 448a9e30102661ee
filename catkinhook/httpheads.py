"""Checks of HTTP answers for completeness, for all HTTP clients of this project."""

import http.client
from typing import Any, BinaryIO

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from catkinhook.texts import parse_count


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
    """Response that refuses an incomplete head and skips all interim answers.

    ``http.client`` takes the end of the connection for the end of the head, whose length or other
    headers are then missing or cut, and skips only interim answers with status 100.
    """

    def begin(self) -> None:
        """Read the head of the final answer.

        :raises ConnectionResetError: if the connection ends before the head does.
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


class _HeadLines:
    """Reads the lines of a head from a file."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
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
