"""waitress with problem documents, back pressure and a stop of its listener alone."""

import contextlib

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask

from catkinhook.errors import PROBLEM_CONTENT_TYPE, Ran, Refusal, render_problem
from catkinhook.units import KIB

# Key of the WSGI environment under which the server tells whether the caller is behind.
OUTPUT_BACKLOGGED = "catkinhook.is_behind"
# Key of the head of the request as its parser keeps it.
PARSED = "catkinhook.parsed"
# A stream whose caller has not taken this much leaves the thread that all streams share.
OUTPUT_BEHIND = 64 * KIB


class Parser(HTTPRequestParser):
    """Parser that keeps the lines of the head, which the environment changes and joins.

    :ivar header_lines: name and value of each header as they came.
    """

    header_lines: tuple[tuple[str, str], ...] = ()

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head.

        :raises ParsingError: if it is no HTTP head.
        """
        super().parse_header(header_plus)
        lines = header_plus.decode("latin-1").split("\r\n")[1:]
        pairs = (line.partition(":") for line in lines if line)
        self.header_lines = tuple((name, value.strip(" \t")) for name, _, value in pairs)


def close_sockets(server: TcpWSGIServer, sockets: dict) -> None:
    """Close all sockets of a server's loop in its own thread, which ends the loop.

    Another pull of the trigger may run the function, and close the trigger's pipe, before this pull
    writes to it.
    """
    with contextlib.suppress(OSError):
        server.trigger.pull_trigger(lambda: wasyncore.close_all(sockets))


class GrowingDispatcher(ThreadedTaskDispatcher):
    """waitress's threads, started only when all others are busy.

    :param limit: most threads.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self.set_thread_count(1)

    def add_task(self, task: HTTPChannel) -> None:
        """Queue a task, and start a thread for it when none is idle."""
        with self.lock:
            busy = self.active_count + len(self.queue)
            count = len(self.threads) - self.stop_count
        if busy >= count and count < self._limit and not self.stop_count:
            self.set_thread_count(count + 1)
        super().add_task(task)


class Task(WSGITask):
    """Request whose environment tells whether its caller is behind."""

    def get_environment(self) -> dict:
        """Return the WSGI environment."""
        environ = super().get_environment()
        environ[OUTPUT_BACKLOGGED] = self._is_behind
        environ[PARSED] = self.request
        return environ

    def _is_behind(self) -> bool:
        return self.channel.total_outbufs_len > OUTPUT_BEHIND


class ProblemTask(ErrorTask):
    """Answers requests that waitress itself refuses, such as an oversized body."""

    def execute(self) -> None:
        """Write a problem document in place of plain text."""
        error = self.request.error
        code = error.reason.lower().replace(" ", "-")
        body = render_problem(Refusal("http", "", error.body, code, error.code, Ran.NO))
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", PROBLEM_CONTENT_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Channel(HTTPChannel):
    """waitress's connection with problem documents for its own refusals."""

    task_class = Task
    error_task_class = ProblemTask
    parser_class = Parser


class Server(TcpWSGIServer):
    """waitress that also drops callers that stopped reading, and can stop only its listener."""

    channel_class = Channel

    def maintenance(self, now: float) -> None:
        """Close idle channels and those whose output has not moved for ``channel_timeout``."""
        super().maintenance(now)
        cutoff = now - self.adj.channel_timeout
        for channel in self.active_channels.values():
            if channel.total_outbufs_len and channel.last_activity < cutoff:
                channel.will_close = True

    def stop_accepting(self) -> None:
        """Take what waits in the backlog and close the listening socket; open channels go on."""
        self.trigger.pull_trigger(self._close_listener)

    def close_idle(self) -> None:
        """Close kept connections on which no request has begun."""
        self.trigger.pull_trigger(self._mark_idle)

    def shut_down(self) -> None:
        """Close all channels and end the loop and its threads."""
        close_sockets(self, self._map)
        self.task_dispatcher.shutdown(timeout=1)

    def _mark_idle(self) -> None:
        for channel in self.active_channels.values():
            if not (channel.requests or channel.request or channel.total_outbufs_len):
                channel.will_close = True

    def _close_listener(self) -> None:
        # Closing the socket resets connections of the backlog, whose requests are on their way.
        for _ in range(self.adj.backlog):
            known = len(self.active_channels)
            self.handle_accept()
            if len(self.active_channels) == known:
                break
        wasyncore.dispatcher.close(self)

    def is_flushed(self) -> bool:
        """Return whether all output has been handed to the network."""
        channels = list(self.active_channels.values())
        return not any(channel.total_outbufs_len or channel.requests for channel in channels)
