"""Decoder of HTTP chunked transfer coding that returns all chunks of one read at once.

``http.client`` returns one chunk per call and reads its buffer several times for each, which takes
longer than all other steps of relaying a token.
"""

import re

MAX_LINE_BYTES = 1024

_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")


class ChunkError(ValueError):
    """The bytes are not valid chunked transfer coding."""


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

    def feed(self, data: bytes) -> bytes:
        """Decode bytes and return their content.

        :raises ChunkError: if the coding is invalid.
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
            self._parse_line(data[start:end])
            start = end + 2
        return b"".join(parts)

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
