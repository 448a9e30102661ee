"""Callers' connections: order of requests, answers at the end of a stop, and resets."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from errno import ECONNRESET
from http import HTTPStatus

import attrs
from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected, HTTPChannel

from catkinhook.answertask import ProblemTask, Task
from catkinhook.callerresets import (
    IDLE,
    PARTIAL_REQUEST,
    RECENT_ANSWER,
    RECENT_ANSWER_S,
    CallerReset,
)
from catkinhook.errors import PROBLEM_CONTENT_TYPE, Ran, Refusal, render_problem
from catkinhook.requestparser import Parser
from catkinhook.requests.memorybudget import MemoryLimitError
from catkinhook.unanswered import (
    CALLER_CLOSED,
    EARLIER_ANSWER,
    HOST_CLOSED,
    LOOP_ERROR,
    UNSENT_ANSWER,
    UnansweredRequest,
)

# Value of SO_LINGER with which closing a socket resets its connection.
_LINGER_RESET = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)


@attrs.frozen
class AnsweredRequest:
    """A request that the server answers because the process ends.

    :ivar ran: ``NO`` if no thread had begun to serve it.
    """

    request: Parser
    ran: Ran

    @property
    def status(self) -> HTTPStatus:
        """Status of the answer: 503 promises that the request does not run, 502 does not."""
        return HTTPStatus.SERVICE_UNAVAILABLE if self.ran is Ran.NO else HTTPStatus.BAD_GATEWAY

    def render(self) -> bytes:
        """Return the answer, a problem document."""
        status = self.status
        reason = "the process ends before the answer is complete"
        body = render_problem(Refusal("http", "", reason, "stopping", status, self.ran))
        # A request may have another version or none.
        version = "1.1" if self.request.version == "1.1" else "1.0"
        head = (
            f"HTTP/{version} {status.value} {status.phrase}\r\nConnection: close\r\n"
            f"Content-Type: {PROBLEM_CONTENT_TYPE}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        # A request whose head is malformed has no command.
        has_body = getattr(self.request, "command", "") != "HEAD"
        return head.encode() + (body if has_body else b"")


class Channel(HTTPChannel):
    """waitress channel with the task and parser classes of this module, which supports draining."""

    task_class = Task
    error_task_class = ProblemTask

    # Whether the answer that ``reset_until_whole`` protects was written to its end.
    has_whole_answer = True
    # Whether the socket is set to be reset when it is closed.
    _resets = False
    # Whether the event loop has answered the first request in place of its thread.
    is_answered = False
    # Whether no further request is read, because the process ends.
    _is_finishing = False
    # Time on the monotonic clock after which the thread of a request waits no longer for a caller
    # that doesn't read.
    output_ends_at = float("inf")
    # The request that a thread serves, and whether that thread has begun its answer.
    _running: Parser | None = None
    _has_begun_answer = False
    # The request that was answered last, and the time at which its answer was complete.
    _answered: Parser | None = None
    _answered_at = 0.0
    # Whether the caller reset the connection before its answer was marked as complete.
    _was_reset_in_progress = False

    def __init__(self, *args: object, **options: object) -> None:
        self._has_loop_error = False
        self._seen_activity = 0.0
        self._idle_since = time.monotonic()
        super().__init__(*args, **options)
        self._answer_lock = threading.Lock()
        self._output = self.server.memory.open("output", self.close_from_thread)

    def parser_class(self, adj: Adjustments) -> Parser:
        """Return a parser for the next request."""
        return Parser(adj, self.server.memory, self._refuse_from_thread)

    def readable(self) -> bool:
        """Return whether the event loop reads from the connection."""
        return not self._is_finishing and super().readable()

    def handle_read(self) -> None:
        """Read from the connection, unless it became unreadable after the poll.

        waitress would read a request from a connection that is about to close, and drop it. Bytes
        that stay unread reset the connection, which tells the caller that its request did not run.
        """
        if self.readable():
            super().handle_read()

    def writable(self) -> bool:
        """Whether to wait until output can be sent; not on a closed socket."""
        return self.socket is not None and super().writable()

    def measure_idle(self, now: float) -> float:
        """Return the seconds since the call before which the channel was last active.

        :param now: seconds on the monotonic clock.
        """
        if self.last_activity != self._seen_activity:
            self._seen_activity, self._idle_since = self.last_activity, now
        return now - self._idle_since

    def service(self) -> None:
        """Serve the first queued request; called by a thread of the dispatcher.

        Requests behind it are reported if its answer ends the connection.
        """
        with self._answer_lock:
            if self.is_answered:
                return
            request = self._running = self.requests[0]
            self._has_begun_answer = False
            self._answered = None
            self.output_ends_at = float("inf")
        requests = self.requests
        dropped: list[Parser] = []
        try:
            super().service()
        finally:
            with self._answer_lock:
                # Otherwise another thread already serves the next request.
                if self._running is request:
                    self._running = None
                    # waitress replaces the list when it drops the requests behind the first one.
                    dropped = requests[1:] if self.requests is not requests else []
                    if not self.connected:
                        # waitress starts none of these, and does not close them either.
                        for later_request in self.requests:
                            later_request.close()
        for later_request in dropped:
            self.report_unanswered(later_request, EARLIER_ANSWER, has_begun=False)
        if self._is_finishing and not self.requests:
            self.close_when_flushed = True
            self.server.pull_trigger()

    def write_soon(self, data: bytes) -> int:
        """Queue output of the thread that serves a request; wait if too much is unsent.

        :raises ClientDisconnected: if the event loop has answered the request.
        :raises TimeoutError: if the caller doesn't read until ``output_ends_at``.
        :raises MemoryLimitError: if the process holds too many bytes, most of them for this caller.
        """
        with self._answer_lock:
            if self.is_answered:
                raise ClientDisconnected
            self._has_begun_answer = self._has_begun_answer or bool(data)
        self._wait_for_caller()
        size = len(data)
        try:
            self._output.take(size)
            return super().write_soon(data)
        except MemoryLimitError:
            self.close_from_thread()
            raise
        except BaseException:
            self._output.give_back(size)
            raise

    def _flush_some(self, do_close: bool = True) -> bool:
        unsent = self.total_outbufs_len
        try:
            return super()._flush_some(do_close=do_close)
        finally:
            self._output.give_back(unsent - self.total_outbufs_len)

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Do nothing; waitress would wait for as long as the connection lasts."""

    def _wait_for_caller(self) -> None:
        """Wait until the caller has read enough of the output, or left.

        :raises TimeoutError: at ``output_ends_at``; the connection is then closed.
        """
        with self.outbuf_lock:
            if self.total_outbufs_len > self.adj.outbuf_high_watermark:
                self._flush_exception(self._flush_some, do_close=False)
            while self.connected and self.total_outbufs_len > self.adj.outbuf_high_watermark:
                seconds = self.output_ends_at - time.monotonic()
                if seconds <= 0:
                    break
                self.server.pull_trigger()
                self.outbuf_lock.wait(min(seconds, threading.TIMEOUT_MAX))
            else:
                return
        self.close_from_thread()
        raise TimeoutError("the caller did not read its answer in time")

    def close_from_thread(self) -> None:
        """Close the connection; called by any thread.

        The event loop would otherwise close it only when it can be written to, which a connection
        whose caller reads nothing never can.
        """
        self.will_close = True
        self._run_in_loop(self.handle_close)

    def _run_in_loop(self, function: Callable[[], object]) -> None:
        # The trigger of a server that was shut down is closed, and all connections with it.
        with contextlib.suppress(OSError):
            self.server.trigger.pull_trigger(function)

    def _refuse_from_thread(self, request: Parser) -> None:
        """Refuse a request that is not whole; called by any thread."""
        reason = "the process holds too many bytes, most of them this request"
        self._run_in_loop(lambda: request.refuse(reason))

    def answer_unfinished(self) -> AnsweredRequest | None:
        """Answer the first request unless its thread has begun to, and close the connection.

        Called by the event loop's thread. It doesn't wait for output of earlier requests.

        :returns: the request and its answer, None if there is none to answer.
        """
        # A thread removes its request under the first lock.
        with self.requests_lock, self._answer_lock:
            if not self.requests or not self.connected or self.total_outbufs_len:
                return None
            request = self.requests[0]
            is_running = request is self._running
            if is_running and self._has_begun_answer:
                return None
            self.is_answered = True
        answered = AnsweredRequest(request, Ran.UNKNOWN if is_running else Ran.NO)
        super().write_soon(answered.render())
        self.close_when_flushed = True
        return answered

    def finish(self) -> None:
        """Read no more, and close the connection when the requests that were read are answered.

        Called by the event loop's thread, so that no request is being read.
        """
        self._is_finishing = True
        if not self.requests:
            self.close_when_flushed = True

    def reset_until_whole(self) -> None:
        """Let each close reset the connection until all of the present answer was sent.

        The end of its connection completes an answer without length and chunks, such as a stream to
        a caller with HTTP/1.0. The kernel also resets the connection if the process ends. The
        caller may then miss bytes that it has not read.
        """
        self.has_whole_answer, self._resets = False, True
        self._set_linger(_LINGER_RESET)

    def _set_linger(self, value: bytes) -> None:
        # The event loop sets it to None when it closes the connection.
        sock = self.socket
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def send_continue(self) -> None:
        """Ask for the body of a request; one without a body, or a refused one, stays complete."""
        request = self.request
        is_complete = request.completed
        super().send_continue()
        request.completed = is_complete

    def handle_error(self) -> None:
        """Close the connection after an exception in the event loop."""
        self._has_loop_error = True
        super().handle_error()

    def handle_close(self) -> None:
        """Close the connection, and report its requests if no thread serves them."""
        if (
            self.connected
            and self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == ECONNRESET
        ):
            # While a request is in progress, the event loop closes without reading.
            self._report_reset()
        if self._resets and self.has_whole_answer and not self.total_outbufs_len:
            self._set_linger(_LINGER_OFF)
        if self.connected and self._running is None:
            why = HOST_CLOSED if self.will_close else CALLER_CLOSED
            # The event loop answers only the first request.
            for request in self.requests[1:] if self.is_answered else list(self.requests):
                why = LOOP_ERROR if self._has_loop_error else why
                self.report_unanswered(request, why, has_begun=False)
        is_answered = self._answered is not None and self._running in (None, self._answered)
        if self.connected and self.total_outbufs_len and is_answered:
            self.report_unanswered(self._answered, UNSENT_ANSWER)
        super().handle_close()
        self._output.close()
        if self.request is not None:
            self.request.close()

    def mark_answered(self, request: Parser) -> None:
        """Note that the answer to a request is complete."""
        with self._answer_lock:
            self._answered, self._answered_at = request, time.monotonic()
            was_reset = self._was_reset_in_progress
        if was_reset:
            self._report_reset_state(RECENT_ANSWER)

    def recv(self, buffer_size: int) -> bytes:
        """Read from the connection, and close it if the caller has ended it."""
        try:
            data = self.socket.recv(buffer_size)
        except ConnectionResetError:
            self._report_reset()
            data = b""
        if not data:
            self.handle_close()
        return data

    def _report_reset(self) -> None:
        """Report a reset, unless a request in progress or an unsent answer is reported for it."""
        with self._answer_lock:
            # The thread may still hold a request whose answer is complete.
            is_in_progress = any(request is not self._answered for request in self.requests)
            # Its answer may have been sent without being marked as complete yet.
            self._was_reset_in_progress = is_in_progress
        if is_in_progress or self.total_outbufs_len:
            return
        answered_s_ago = time.monotonic() - self._answered_at
        is_recent = self._answered is not None and answered_s_ago < RECENT_ANSWER_S
        state = PARTIAL_REQUEST if self.request else RECENT_ANSWER if is_recent else IDLE
        self._report_reset_state(state)

    def _report_reset_state(self, state: str) -> None:
        lines = () if self._answered is None else self._answered.header_lines
        self.server.on_reset(
            CallerReset(
                state=state,
                header_lines=lines,
                answered_s_ago=time.monotonic() - self._answered_at,
            )
        )

    def report_unanswered(
        self, request: Parser, why: str, reason: str = "", has_begun: bool = True
    ) -> None:
        """Report a request that gets no complete answer.

        :param has_begun: whether a thread had begun to serve it.
        """
        age_s = time.monotonic() - request.completed_at
        self.server.on_unanswered(
            UnansweredRequest(
                why=why,
                reason=reason,
                target=request.request_uri,
                header_lines=request.header_lines,
                age_s=age_s,
                has_begun=has_begun,
            )
        )
