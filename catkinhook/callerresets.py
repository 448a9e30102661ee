"""Connections that their callers reset while no request is in progress."""

import attrs

# States of a connection. The last answer had been passed to the kernel shortly before, so the
# caller may have got only a part of it, or nothing.
RECENT_ANSWER = "recent answer"
# A request had arrived in part.
PARTIAL_REQUEST = "partial request"
IDLE = "idle"

# An answer that was passed to the kernel may need this long to reach its caller.
RECENT_ANSWER_S = 1.0


@attrs.frozen(kw_only=True)
class CallerReset:
    """A connection that its caller reset.

    :ivar state: one of the constants ``RECENT_ANSWER`` to ``IDLE``.
    :ivar header_lines: headers of the last request as received.
    :ivar answered_s_ago: seconds since its answer was complete.
    """

    state: str
    header_lines: tuple[tuple[str, str], ...]
    answered_s_ago: float
