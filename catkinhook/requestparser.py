"""Parser of HTTP requests that keeps their original header lines."""

import re
import time
from collections.abc import Callable

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error

from catkinhook.requests.memorybudget import MemoryBudget, MemoryLimitError

# Line break within a header, which becomes a space. Without the lookbehind, the time is quadratic
# in the length of a run of spaces.
_FOLD = re.compile(r"(?:(?<![ \t])[ \t]+)?\r\n[ \t]+")


class _MemoryRefusal(Error):
    """Refusal of a request that the process can't hold; it was not passed on."""

    code = 503
    reason = "Service Unavailable"


class _DiscardingBuffer:
    """Buffer for the rest of a body that is read only to be dropped."""

    def __len__(self) -> int:
        return 0

    def append(self, data: bytes) -> None:
        """Drop bytes."""

    def close(self) -> None:
        """Do nothing."""


class Parser(HTTPRequestParser):
    """Parser that keeps the original header lines; the WSGI environment renames and joins them.

    :param memory: account of the bytes that requests hold.
    :param on_evict: called with this request if it is not whole and holds too many bytes, in any
        thread; must not block.
    :ivar header_lines: name and value of each header as received.
    :ivar completed_at: time at which the request was whole.
    """

    header_lines: tuple[tuple[str, str], ...] = ()
    request_uri = ""
    completed_at = 0.0

    def __init__(
        self,
        adj: Adjustments,
        memory: MemoryBudget | None = None,
        on_evict: Callable[["Parser"], None] = lambda parser: None,
    ) -> None:
        super().__init__(adj)
        self._held = (memory or MemoryBudget()).open("request", lambda: on_evict(self))

    def received(self, data: bytes) -> int:
        """Parse the next bytes and return how many belong to this request."""
        count = super().received(data)
        try:
            # Without effect on a request that was refused.
            self._held.take(count)
            if self.completed:
                # From now on, it may be passed on.
                self._held.pin()
        except MemoryLimitError as error:
            self.refuse(str(error))
        if self.completed and self.empty:
            # The channel drops empty lines without closing them.
            self.close()
        if self.completed:
            self.completed_at = time.monotonic()
        return count

    def refuse(self, reason: str) -> None:
        """Drop the body and refuse the request, which was not passed on, when all of it has come.

        A connection that is closed with unread bytes is reset, and the caller may not get the
        refusal.
        """
        self.close()
        if not self.headers_finished:
            # The answer needs a version and a method.
            self.parse_header(b"GET / HTTP/1.0\r\n")
            self.completed = True
        elif self.body_rcv is not None:
            self.body_rcv.buf = _DiscardingBuffer()
        self.error = _MemoryRefusal(reason)

    def close(self) -> None:
        """Drop the body."""
        super().close()
        self._held.close()

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and headers.

        :raises ParsingError: if they are malformed.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            # Raised for targets such as "http://[". In the event loop, it would close the
            # connection without an answer.
            raise ParsingError(f"Bad URI: {error}") from error
        # http.client would refuse to send a target with control characters.
        if not (self.request_uri.isascii() and self.request_uri.isprintable()):
            raise ParsingError("Bad URI: it is not printable ASCII")
        # waitress reads chunks only in HTTP/1.1. In other versions it would take the request for
        # one without a body, and the body for the next request.
        if "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")
        lines = _FOLD.sub(" ", header_plus.decode("latin-1")).split("\r\n")[1:]
        pairs = (line.partition(":") for line in lines if line)
        self.header_lines = tuple((name, value.strip(" \t")) for name, _, value in pairs)
