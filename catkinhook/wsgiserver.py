"""waitress server that survives errors in its event loop, closes idle connections and drains."""

import threading
import time
from collections.abc import Callable

from waitress import wasyncore
from waitress.server import TcpWSGIServer

from catkinhook.callerresets import CallerReset
from catkinhook.channel import AnsweredRequest, Channel
from catkinhook.eventloop import run_after_wake
from catkinhook.requests.memorybudget import MemoryBudget
from catkinhook.unanswered import UnansweredRequest

# Time after a connection that could not be accepted in which the server counts as full.
FULL_TTL_S = 2.0
# Pause of the event loop after an unexpected error, which may come back at once.
LOOP_ERROR_PAUSE_S = 0.05


def close_sockets(server: TcpWSGIServer, sockets: dict) -> None:
    """Close all sockets of a server's event loop from the loop's thread, which ends the loop."""
    run_after_wake(server, lambda: wasyncore.close_all(sockets))


def _ignore(report: UnansweredRequest | CallerReset) -> None:
    pass


class Server(TcpWSGIServer):
    """waitress server that disconnects callers that stopped reading, and supports draining.

    :ivar on_unanswered: called for each whole request that gets no complete answer, by the thread
        of the event loop or of the request; must not raise.
    :ivar on_reset: called by the thread of the event loop or of a request for each connection that
        its caller reset while no request was in progress; must not raise.
    :ivar on_accept_error: called when a connection can't be accepted, such as for lack of
        descriptors, by the thread of the event loop; must not raise.
    :ivar memory: account of the bytes that connections hold; to be set before the first connection.
    """

    channel_class = Channel
    _is_finishing = False
    memory = MemoryBudget()
    on_unanswered: Callable[[UnansweredRequest], None] = staticmethod(_ignore)
    on_reset: Callable[[CallerReset], None] = staticmethod(_ignore)
    on_accept_error: Callable[[], object] = staticmethod(lambda: None)
    _accept_failed_at = float("-inf")

    def run(self) -> None:
        """Run the event loop until all its sockets are closed, also after an unexpected error."""
        while True:
            try:
                super().run()
                return
            except Exception:
                self.logger.exception("error in the event loop")
                time.sleep(LOOP_ERROR_PAUSE_S)

    def accept(self) -> tuple | None:
        """Accept a connection; return None if there is none."""
        try:
            return super().accept()
        except OSError:
            self._accept_failed_at = time.monotonic()
            self.on_accept_error()
            raise

    def is_full(self) -> bool:
        """Return whether no connection can be accepted at present."""
        has_failed = time.monotonic() - self._accept_failed_at < FULL_TTL_S
        return has_failed or self.in_connection_overflow

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
