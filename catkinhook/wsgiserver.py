"""Extensions of waitress: problem documents, back pressure, threads on demand and draining."""

import contextlib
import socket
import struct
import threading
from http import HTTPStatus

import attrs
from waitress import wasyncore
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser
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


class Parser(HTTPRequestParser):
    """Parser that keeps the original header lines; the WSGI environment renames and joins them.

    :ivar header_lines: name and value of each header as received.
    """

    header_lines: tuple[tuple[str, str], ...] = ()

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and headers.

        :raises ParsingError: if they are malformed.
        """
        super().parse_header(header_plus)
        lines = header_plus.decode("latin-1").split("\r\n")[1:]
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

    A response that is broken off never looks complete, and one to HEAD has no body.
    """

    @property
    def has_body(self) -> bool:
        """Return whether a body may follow the head of the response."""
        return self.request.command != "HEAD" and super().has_body

    def execute(self) -> None:
        """Write the response; if that fails, reset a connection whose end would complete it."""
        # waitress logs a warning for each body that it drops.
        self.logged_write_no_body = self.request.command == "HEAD"
        try:
            super().execute()
        except Exception:
            has_length = self.chunked_response or self.content_length is not None
            if self.wrote_header and not has_length:
                self.channel.reset_on_close()
            raise

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
        head = (
            f"HTTP/{self.request.version} {status.value} {status.phrase}\r\nConnection: close\r\n"
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

    _is_finishing = False
    # Whether the event loop has answered the first request in place of its thread.
    _is_answered = False
    # The request that a thread serves, and whether that thread has begun its answer.
    _running: Parser | None = None
    _has_begun_answer = False

    def __init__(self, *args: object, **options: object) -> None:
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

    def service(self) -> None:
        """Serve the first queued request; called by a thread of the dispatcher."""
        with self._answer_lock:
            if self._is_answered:
                return
            request = self._running = self.requests[0]
            self._has_begun_answer = False
        super().service()
        with self._answer_lock:
            # Another thread may already serve the next request.
            if self._running is request:
                self._running = None
        if self._is_finishing and not self.requests:
            self.close_when_flushed = True
            self.server.pull_trigger()

    def write_soon(self, data: bytes) -> int:
        """Queue output of the thread that serves a request.

        :raises ClientDisconnected: if the event loop has answered the request.
        """
        with self._answer_lock:
            if self._is_answered:
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
            self._is_answered = True
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

    def reset_on_close(self) -> None:
        """Let the close reset the connection; the caller may then miss bytes that it has not read.

        A caller with HTTP/1.0 gets no chunks, so a stream ends with its connection.
        """
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


class Server(TcpWSGIServer):
    """waitress server that disconnects callers that stopped reading, and supports draining."""

    channel_class = Channel
    _is_finishing = False

    def maintenance(self, now: float) -> None:
        """Close idle channels, and those without output progress for ``channel_timeout``."""
        super().maintenance(now)
        cutoff = now - self.adj.channel_timeout
        for channel in self.active_channels.values():
            if channel.total_outbufs_len and channel.last_activity < cutoff:
                channel.will_close = True

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
