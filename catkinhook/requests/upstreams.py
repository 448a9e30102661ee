"""Interfaces of the client that sends requests to endpoints, and the answer to the caller."""

from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from catkinhook.requests.routedrequest import Assignment

# Checks whether an endpoint that broke off an answer refuses connections.
DOWN_CHECKS = 2
# Pace of an endpoint whose work takes the normal time.
NORMAL_PACE = 100


class UpstreamAnswer(Protocol):
    """An endpoint's answer, read by one thread.

    :ivar status: HTTP status.
    :ivar headers: headers for the caller.
    :ivar is_to_head: whether this answers a HEAD request and has no body.
    :ivar announced_length: length of the answer to GET that an answer to HEAD announces, if any.
    :ivar length: length of the body that follows the head, None if the head doesn't state it.
    :ivar load: running and waiting requests of the endpoint, and its pace in hundredths if it
        reported one (``NORMAL_PACE`` is normal, twice as much means that work takes twice as long);
        None if it did not report its load.
    :ivar is_delimited: whether a length or chunks mark the end of the body; otherwise it ends with
        its connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_to_head: bool
    announced_length: int | None
    length: int | None
    load: tuple[int, ...] | None
    is_delimited: bool

    def read(self, timeout_s: float, may_leave: Callable[[], bool]) -> bytes:
        """Return the next bytes, empty at the end of the body.

        :param may_leave: as for ``Upstream.open``.
        :raises AttemptError: if the connection broke or the timeout passed.
        """

    def finish(self) -> None:
        """Return the connection to the pool if the answer was read to its end."""

    def close(self) -> None:
        """Close the connection, which makes the endpoint cancel the request."""

    def abort(self) -> None:
        """Shut the connection down from another thread, so that a blocked read returns."""


class Upstream(Protocol):
    """Client that sends one request to the assigned endpoints."""

    def open(
        self,
        assignment: Assignment,
        time_left_s: float,
        timeout_s: float,
        last_event: int | None,
        may_leave: Callable[[], bool],
    ) -> UpstreamAnswer:
        """Send the request and read the head of the answer.

        :param time_left_s: deadline that is sent to the endpoint, in seconds from now.
        :param timeout_s: timeout for the head.
        :param last_event: number of the last event that the caller received, None for none.
        :param may_leave: called while the endpoint sends nothing to any request; returns whether to
            stop before the timeout. It then has reserved a place elsewhere, so the call must end
            with an ``AttemptError``.
        :raises AttemptError: if no answer to this attempt was received.
        """

    def is_endpoint_down(self, assignment: Assignment, checks: int = DOWN_CHECKS) -> bool:
        """Return whether the endpoint of an attempt refuses connections, as one that crashed.

        :param checks: number of connections that are tried before it counts as running. A process
            that crashes may close its connections shortly before its listener.
        """

    def cancel_attempt(self) -> None:
        """Cancel the attempt in progress from another thread; another one may follow."""

    def abort(self) -> None:
        """Cancel an ``open`` from another thread."""


@attrs.frozen(kw_only=True)
class Reply:
    """Answer to the caller.

    :ivar body: chunks; if the iterator raises, the connection is closed. Its method ``close`` must
        be called if it has one.
    :ivar length: length of the body in bytes, None for a stream.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    length: int | None = None


class CallerDisconnectedError(ConnectionAbortedError):
    """The caller closed its connection."""
