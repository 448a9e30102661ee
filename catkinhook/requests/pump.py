"""Relay of all event streams by a single thread, instead of one thread for each stream."""

import contextlib
import logging
import select
import socket
import threading
import time
from collections.abc import Callable

import attrs

from catkinhook.requests.relay import StreamRelay

GAP_CHECK_INTERVAL_S = 0.5

_log = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Stream:
    relay: StreamRelay
    fd: int
    write: Callable[[bytes], object]
    is_behind: Callable[[], bool]
    last_read: float
    done: threading.Event = attrs.Factory(threading.Event)


class Pump:
    """Background thread that polls the connections of all engines.

    Waking a request's thread for each token would cost several times as much in context switches as
    relaying the token. A stream is returned to the thread of its request when it ends, when its
    connection breaks or when its caller reads too slowly, so this thread never blocks.

    :param gap_timeout: seconds without a byte after which a stream is considered broken.
    """

    def __init__(self, gap_timeout: float) -> None:
        self._gap_timeout = gap_timeout
        self._stream_by_fd: dict[int, _Stream] = {}
        self._closing = False
        self._epoll = select.epoll()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._epoll.register(self._wake_receiver.fileno(), select.EPOLLIN)
        self._thread = threading.Thread(target=self._run, name="pump", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Return all streams to the threads of their requests and stop."""
        self._closing = True
        self._wake_sender.send(b"x")
        self._thread.join()
        for resource in (self._epoll, self._wake_receiver, self._wake_sender):
            resource.close()

    def relay(
        self, relay: StreamRelay, write: Callable[[bytes], object], is_behind: Callable[[], bool]
    ) -> None:
        """Relay a stream; block until it ends, its connection breaks or its caller is too slow.

        :param write: sends bytes to the caller.
        :param is_behind: returns whether too many written bytes are unsent.
        """
        fd = relay.fileno()
        if fd < 0 or self._closing:
            return
        stream = _Stream(relay, fd, write, is_behind, time.monotonic())
        self._stream_by_fd[fd] = stream
        self._epoll.register(fd, select.EPOLLIN)
        # If the pump's thread has stopped, the calling thread reads the stream itself.
        while not stream.done.wait(GAP_CHECK_INTERVAL_S) and self._thread.is_alive():
            continue

    def _run(self) -> None:
        checked_at = time.monotonic()
        while not self._closing:
            ready = self._epoll.poll(GAP_CHECK_INTERVAL_S)
            now = time.monotonic()
            for fd, _ in ready:
                if stream := self._stream_by_fd.get(fd):
                    self._relay_available(stream, now)
            if now - checked_at >= GAP_CHECK_INTERVAL_S:
                checked_at = now
                self._fail_gap_timeouts(now)
        for stream in list(self._stream_by_fd.values()):
            self._return_stream(stream)

    def _relay_available(self, stream: _Stream, now: float) -> None:
        stream.last_read = now
        is_readable = False
        try:
            if data := stream.relay.read():
                stream.write(data)
            is_readable = stream.relay.is_readable and not stream.is_behind()
        except Exception as error:
            # The thread of the request gets the same error on its next write and ends the stream.
            _log.debug(
                "stream returned to the thread of its request after an error",
                extra={"error": repr(error)},
            )
        if not is_readable:
            self._return_stream(stream)

    def _fail_gap_timeouts(self, now: float) -> None:
        for stream in list(self._stream_by_fd.values()):
            if now - stream.last_read > self._gap_timeout:
                stream.relay.fail_on_gap_timeout()
                self._return_stream(stream)

    def _return_stream(self, stream: _Stream) -> None:
        del self._stream_by_fd[stream.fd]
        with contextlib.suppress(OSError):
            self._epoll.unregister(stream.fd)
        stream.done.set()
