"""Extensions of waitress: problem documents, back pressure, threads on demand and draining."""

import contextlib
import re
import socket
import struct
import threading
import time
from collections.abc import Callable
from http import HTTPStatus

import attrs
from waitress import wasyncore
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask

from catkinhook.errors import PROBLEM_CONTENT_TYPE, Ran, Refusal, render_problem
from catkinhook.units import KIB

# WSGI environment key of a function that returns whether too much output is unsent.
OUTPUT_BACKLOGGED = "catkinhook.is_behind"
# WSGI environment key of the request parser, which keeps the original header lines.
PARSED_REQUEST = "catkinhook.parsed"
# A stream with more unsent output than this is returned from the thread that all streams share to
# the thread of its request.
MAX_BACKLOG_BYTES = 64 * KIB
# Value of SO_LINGER with which closing a socket resets its connection.
_LINGER_RESET = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)
# Pause of the event loop after an unexpected error, which may come back at once.
LOOP_ERROR_PAUSE_S = 0.05

# Line break within a header, which becomes a space. Without the lookbehind, the time is quadratic
# in the length of a run of spaces.
_FOLD = re.compile(r"(?:(?<![ \t])[ \t]+)?\r\n[ \t]+")


@attrs.frozen(kw_only=True)
class UnansweredRequest:
    """A whole request whose connection ends without a complete answer.

    :ivar why: what ended it, one of the constants ``CALLER_CLOSED`` to ``UNHANDLED``.
    :ivar reason: the exception, empty if there was none.
    :ivar header_lines: headers as received.
    :ivar age_s: seconds since its last byte was read.
    """

    why: str
    reason: str
    target: str
    header_lines: tuple[tuple[str, str], ...]
    age_s: float


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


def close_sockets(server: TcpWSGIServer, sockets: dict) -> None:
    """Close all sockets of a server's event loop from the loop's own thread, which ends the loop.

    The loop may run the function, and so close the trigger's pipe, before this call writes to the
    pipe; that ``OSError`` is ignored.
    """
    with contextlib.suppress(OSError):
        server.trigger.pull_trigger(lambda: wasyncore.close_all(sockets))


class OnDemandDispatcher(ThreadedTaskDispatcher):
    """waitress task dispatcher that starts a thread only when all others are busy.

    :param max_threads: maximum number of threads.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self.set_thread_count(1)

    def start_new_thread(self, target: Callable, thread_no: int) -> None:
        """Start a thread; if that fails, the tasks wait for the threads that run.

        An exception would leave the task out of the queue, and its connection would be closed.

        :raises RuntimeError: if no thread runs.
        """
        try:
            super().start_new_thread(target, thread_no)
        except (RuntimeError, MemoryError) as error:
            # The caller, which holds the lock, has counted the thread, and counts it as busy next.
            self.threads.discard(thread_no)
            self.active_count -= 1
            if not self.threads:
                raise
            self.logger.warning("no thread was started: %r", error)

    def add_task(self, task: HTTPChannel) -> None:
        """Queue a task, and start a thread if none is idle."""
        with self.lock:
            busy = self.active_count + len(self.queue)
            count = len(self.threads) - self.stop_count
        if busy >= count and count < self._max_threads and not self.stop_count:
            self.set_thread_count(count + 1)
        super().add_task(task)


class Task(WSGITask):
    """WSGI task that adds ``OUTPUT_BACKLOGGED`` and ``PARSED_REQUEST`` to the environment.

    A response that is broken off never looks complete, one to HEAD has no body, and one that is not
    complete is reported; waitress drops each ``OSError`` silently.
    """

    @property
    def has_body(self) -> bool:
        """Return whether a body may follow; that of an answer to HEAD is only announced."""
        if self.request.command == "HEAD":
            return self.content_length is not None and not self.wrote_header
        return super().has_body

    def service(self) -> None:
        """Run the application and write its answer."""
        self._error: Exception | None = None
        self._is_finished = False
        try:
            super().service()
        finally:
            if not self._is_complete() and not self.channel.is_answered:
                reason = "" if self._error is None else repr(self._error)
                self.channel.report_unanswered(self.request, self._find_why(), reason)

    def execute(self) -> None:
        """Write the response."""
        # waitress logs a warning for each body that it drops.
        self.logged_write_no_body = self.request.command == "HEAD"
        try:
            super().execute()
        except Exception as error:
            self._error = error
            raise

    def build_response_header(self) -> bytes:
        """Return the head; if the end of the connection ends the body, let it be a reset first."""
        head = super().build_response_header()
        has_end = self.chunked_response or self.content_length is not None
        if self.has_body and not has_end:
            self.channel.reset_until_whole()
        return head

    def finish(self) -> None:
        """Write the end of the answer."""
        super().finish()
        self._is_finished = self.channel.has_whole_answer = True

    def _find_why(self) -> str:
        if not self.channel.connected:
            return HOST_CLOSED if self.channel.will_close else CALLER_CLOSED
        is_answered = self._error and not self.wrote_header and not isinstance(self._error, OSError)
        return UNHANDLED if is_answered else APPLICATION

    def _is_complete(self) -> bool:
        is_short = (
            self.content_length is not None
            and self.has_body
            and self.content_bytes_written < self.content_length
        )
        return self._is_finished and not is_short

    def get_environment(self) -> dict:
        """Return the WSGI environment."""
        environ = super().get_environment()
        environ[OUTPUT_BACKLOGGED] = self._is_backlogged
        environ[PARSED_REQUEST] = self.request
        return environ

    def _is_backlogged(self) -> bool:
        return self.channel.total_outbufs_len > MAX_BACKLOG_BYTES


class ProblemTask(ErrorTask):
    """Task for requests that waitress itself rejects, such as an oversized body."""

    def execute(self) -> None:
        """Write a problem document instead of plain text."""
        error = self.request.error
        code = error.reason.lower().replace(" ", "-")
        body = render_problem(Refusal("http", "", error.body, code, error.code, Ran.NO))
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", PROBLEM_CONTENT_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


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
    parser_class = Parser

    # Whether the answer that ``reset_until_whole`` protects was written to its end.
    has_whole_answer = True
    _resets = False
    # Whether the event loop has answered the first request in place of its thread.
    is_answered = False
    _is_finishing = False
    # The request that a thread serves, and whether that thread has begun its answer.
    _running: Parser | None = None
    _has_begun_answer = False

    def __init__(self, *args: object, **options: object) -> None:
        self._has_loop_error = False
        self._seen_activity = 0.0
        self._idle_since = time.monotonic()
        super().__init__(*args, **options)
        self._answer_lock = threading.Lock()

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
        for later_request in dropped:
            self.report_unanswered(later_request, EARLIER_ANSWER)
        if self._is_finishing and not self.requests:
            self.close_when_flushed = True
            self.server.pull_trigger()

    def write_soon(self, data: bytes) -> int:
        """Queue output of the thread that serves a request.

        :raises ClientDisconnected: if the event loop has answered the request.
        """
        with self._answer_lock:
            if self.is_answered:
                raise ClientDisconnected
            self._has_begun_answer = self._has_begun_answer or bool(data)
        return super().write_soon(data)

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
        if self._resets and self.has_whole_answer and not self.total_outbufs_len:
            self._set_linger(_LINGER_OFF)
        if self.connected and self._running is None:
            why = HOST_CLOSED if self.will_close else CALLER_CLOSED
            # The event loop answers only the first request.
            for request in self.requests[1:] if self.is_answered else list(self.requests):
                self.report_unanswered(request, LOOP_ERROR if self._has_loop_error else why)
        super().handle_close()

    def report_unanswered(self, request: Parser, why: str, reason: str = "") -> None:
        """Report a request that gets no complete answer."""
        age_s = time.monotonic() - request.completed_at
        self.server.on_unanswered(
            UnansweredRequest(
                why=why,
                reason=reason,
                target=request.request_uri,
                header_lines=request.header_lines,
                age_s=age_s,
            )
        )


def _ignore(unanswered: UnansweredRequest) -> None:
    pass


class Server(TcpWSGIServer):
    """waitress server that disconnects callers that stopped reading, and supports draining.

    :ivar on_unanswered: called for each whole request that gets no complete answer, by the thread
        of the event loop or of the request; must not raise.
    """

    channel_class = Channel
    _is_finishing = False
    on_unanswered: Callable[[UnansweredRequest], None] = staticmethod(_ignore)

    def run(self) -> None:
        """Run the event loop until all its sockets are closed, also after an unexpected error."""
        while True:
            try:
                super().run()
                return
            except Exception:
                self.logger.exception("error in the event loop")
                time.sleep(LOOP_ERROR_PAUSE_S)

    def handle_error(self) -> None:
        """Log an error while a connection is accepted; the default closes the listening socket."""
        self.logger.exception("a connection was not accepted")

    def maintenance(self, now: float) -> None:
        """Close idle channels, and those without output progress for ``channel_timeout``.

        waitress compares times of day, and a step of the clock would close connections that are in
        use.
        """
        monotonic_now = time.monotonic()
        for channel in list(self.active_channels.values()):
            is_unused = not channel.requests or channel.total_outbufs_len
            idle_s = channel.measure_idle(monotonic_now)
            if is_unused and idle_s >= self.adj.channel_timeout:
                channel.will_close = True
                # The event loop closes a channel when it can be written to, which one whose
                # caller reads nothing never can.
                channel.handle_close()

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog, then close the listening socket.

        Open channels are still served.
        """
        self.trigger.pull_trigger(self._close_listener)

    def close_idle(self) -> None:
        """Close keep-alive connections without a request in progress."""
        self.trigger.pull_trigger(self._mark_idle)

    def answer_unfinished(self, timeout_s: float) -> list[AnsweredRequest]:
        """Answer all requests whose answers have not begun, because the process ends.

        :param timeout_s: longest wait for the event loop.
        """
        answered: list[AnsweredRequest] = []
        is_done = threading.Event()

        def answer() -> None:
            results = [channel.answer_unfinished() for channel in self.active_channels.values()]
            answered.extend(result for result in results if result is not None)
            is_done.set()

        self.trigger.pull_trigger(answer)
        is_done.wait(timeout_s)
        return answered

    def finish(self) -> None:
        """Close the listening socket, and each connection once its requests are answered.

        Requests that were not read yet are never read, so that the exit of the process cuts none.
        """
        self.trigger.pull_trigger(self._finish)

    def is_finished(self) -> bool:
        """Return whether all connections are closed after ``finish``."""
        return self._is_finishing and not self.active_channels

    def shut_down(self) -> None:
        """Close all channels, end the event loop and stop the threads."""
        close_sockets(self, self._map)
        self.task_dispatcher.shutdown(timeout=1)

    def _mark_idle(self) -> None:
        for channel in self.active_channels.values():
            if not (channel.requests or channel.request or channel.total_outbufs_len):
                channel.will_close = True

    def _finish(self) -> None:
        wasyncore.dispatcher.close(self)
        for channel in self.active_channels.values():
            channel.finish()
        self._is_finishing = True

    def _close_listener(self) -> None:
        # Closing the socket resets the connections in its backlog, whose requests may already have
        # been sent, so these are accepted first.
        for _ in range(self.adj.backlog):
            count = len(self.active_channels)
            self.handle_accept()
            if len(self.active_channels) == count:
                break
        wasyncore.dispatcher.close(self)

    def is_flushed(self) -> bool:
        """Return whether all requests are answered and all output was passed to the kernel."""
        channels = list(self.active_channels.values())
        return not any(channel.total_outbufs_len or channel.requests for channel in channels)
