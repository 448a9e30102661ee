"""Whole requests whose connections end without a complete answer."""

import attrs


@attrs.frozen(kw_only=True)
class UnansweredRequest:
    """A whole request whose connection ends without a complete answer.

    :ivar why: what ended it, one of the constants ``CALLER_CLOSED`` to ``UNHANDLED``.
    :ivar reason: the exception, empty if there was none.
    :ivar header_lines: headers as received.
    :ivar age_s: seconds since its last byte was read.
    :ivar has_begun: whether a thread had begun to serve it.
    """

    why: str
    reason: str
    target: str
    header_lines: tuple[tuple[str, str], ...]
    age_s: float
    has_begun: bool


# Reasons in ``UnansweredRequest``. The caller closed its connection.
CALLER_CLOSED = "caller closed"
# An exception in the event loop closed the connection.
LOOP_ERROR = "event loop"
# The host closed the connection while the request was queued or running.
HOST_CLOSED = "host closed"
# The application raised an exception or returned too few bytes.
APPLICATION = "application"
# The application raised an exception before its answer began, which waitress answers with 500.
UNHANDLED = "unhandled error"
# The request was sent behind one whose answer ends the connection.
EARLIER_ANSWER = "earlier answer"
# The connection ended before all of the answer was passed to the kernel.
UNSENT_ANSWER = "unsent answer"
