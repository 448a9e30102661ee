"""Validation errors in documents and settings files."""

import attrs


@attrs.frozen
class Fault:
    """One validation error in a file.

    :ivar line: 1-based line, 0 if the whole text is invalid.
    :ivar key: path of the key, such as ``models[0].memory``.
    """

    file: str
    line: int
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key or '(document)'}: {self.reason}"
