"""Decoder of HTTP chunked transfer coding that returns all chunks of one read at once.

``http.client`` returns one chunk per call and reads its buffer several times for each, which takes
longer than all other steps of relaying a token.
"""

import re

from catkinhook.units import KIB

MAX_LINE_BYTES = 1024
# Sizes, extensions and trailers may take this many bytes, and ``MAX_FRAMING_RATIO`` times those of
# the content. A chunk of one byte without extensions needs five.
MAX_FRAMING_BYTES = 64 * KIB
MAX_FRAMING_RATIO = 16

_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")


class ChunkError(ValueError):
    """The bytes are not valid chunked transfer coding."""


class FramingSizeError(ChunkError):
    """There are too many bytes of framing, which could go on without end."""


class ExtraBytesError(ChunkError):
    """Bytes follow the last chunk.

    :ivar content: content that was decoded together with them.
    """

    def __init__(self, content: bytes) -> None:
        super().__init__("there are bytes after the last chunk")
        self.content = content


class ChunkDecoder:
    """Incremental decoder.

    :ivar ended: true after the last chunk and its trailer were read.
    """

    def __init__(self) -> None:
        self.ended = False
        self._pending = b""
        self._remaining = 0
        self._in_trailer = False
        self._framing_bytes = 0
        self._content_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Decode bytes and return their content.

        :raises ChunkError: if the coding is invalid.
        :raises FramingSizeError: if there are far more bytes of framing than of content.
        :raises ExtraBytesError: if bytes follow its end.
        """
        data = self._pending + data if self._pending else data
        self._pending = b""
        parts: list[bytes] = []
        start, size = 0, len(data)
        while start < size:
            if self.ended:
                raise ExtraBytesError(b"".join(parts))
            if self._remaining > 2:
                # The line end after a chunk is included in ``_remaining``.
                part = data[start : start + self._remaining - 2]
                parts.append(part)
                self._content_bytes += len(part)
                start += len(part)
                self._remaining -= len(part)
                continue
            if self._remaining:
                skipped = data[start : start + self._remaining]
                if skipped != b"\r\n"[2 - self._remaining :][: len(skipped)]:
                    raise ChunkError("a chunk is longer than its size")
                start += len(skipped)
                self._remaining -= len(skipped)
                continue
            end = data.find(b"\r\n", start)
            if end < 0:
                self._pending = data[start:]
                if len(self._pending) > MAX_LINE_BYTES:
                    raise ChunkError("a chunk header is too long")
                break
            self._count_framing(end + 2 - start)
            self._parse_line(data[start:end])
            start = end + 2
        return b"".join(parts)

    def _count_framing(self, count: int) -> None:
        self._framing_bytes += count
        if self._framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._content_bytes:
            raise FramingSizeError(f"there are more than {self._framing_bytes} bytes of framing")

    def _parse_line(self, line: bytes) -> None:
        if self._in_trailer:
            self.ended = not line
            return
        digits = line.partition(b";")[0].strip(b" \t")
        # int() also accepts signs, "_" and "0x", which other decoders interpret differently.
        if not _SIZE.fullmatch(digits):
            raise ChunkError(f"{line[:40]!r} is not a chunk size")
        size = int(digits, 16)
        self._in_trailer = size == 0
        self._remaining = size + 2 if size else 0
