"""Parser of HTTP requests that keeps their original header lines."""

import re
import time

from waitress.parser import HTTPRequestParser, ParsingError

# Line break within a header, which becomes a space. Without the lookbehind, the time is quadratic
# in the length of a run of spaces.
_FOLD = re.compile(r"(?:(?<![ \t])[ \t]+)?\r\n[ \t]+")


class Parser(HTTPRequestParser):
    """Parser that keeps the original header lines; the WSGI environment renames and joins them.

    :ivar header_lines: name and value of each header as received.
    :ivar completed_at: time at which the request was whole.
    """

    header_lines: tuple[tuple[str, str], ...] = ()
    request_uri = ""
    completed_at = 0.0

    def received(self, data: bytes) -> int:
        """Parse the next bytes and return how many belong to this request."""
        count = super().received(data)
        if self.completed:
            self.completed_at = time.monotonic()
        return count

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
