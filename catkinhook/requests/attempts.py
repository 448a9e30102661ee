"""One attempt at an endpoint, and whether the request may have run there."""

import contextlib
import errno
import http.client
import io
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable, Mapping

import attrs
import urllib3
from urllib3.connection import HTTPConnection

from catkinhook.addresses import split_address
from catkinhook.errors import EngineError, Ran
from catkinhook.httpheads import CheckedResponse, is_delimited
from catkinhook.jsontexts import decode_json
from catkinhook.requests.chunkdecoder import ChunkDecoder, ChunkError
from catkinhook.requests.memorybudget import HeldBody, MemoryBudget, MemoryLimitError
from catkinhook.requests.outcomes import Outcome
from catkinhook.state.views import EndpointView
from catkinhook.units import KIB, MIB

STEP = "attempts"
MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 20.0
# Idle connections over all addresses, of a process whose settings don't state its descriptors.
MAX_IDLE = 1024
# Period in which requests that may use an idle connection are counted. Endpoints keep one for some
# seconds.
USE_PERIOD_S = 4.0
# Idle connections that an address may keep before such a request comes.
UNUSED_IDLE = 2
# Seconds between two searches for connections that are too old.
SWEEP_INTERVAL_S = 1.0
# TCP_USER_TIMEOUT: the kernel closes a connection whose bytes stay unacknowledged for this long.
USER_TIMEOUT_MS = 2000
# A TCP keep-alive probe is sent after KEEP_ALIVE_IDLE_S without data, and the kernel closes the
# connection if nothing comes within KEEP_ALIVE_INTERVAL_S after it. A peer whose process is only
# silent answers the probe; one whose machine stands still for a second or two is not given up.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 1
LAST_CHUNK_TIMEOUT_S = 0.02
MAX_REPORT_BYTES = 4 * MIB
READ_BYTES = 64 << 10
# Larger bodies are not copied to be sent in one write with their head.
MAX_JOINED_BODY_BYTES = 64 * KIB
# Response heads of endpoints take a few hundred bytes.
MAX_HEAD_BYTES = 64 * KIB

# A killed process closes its connections before its listener, so a crash check that still finds the
# listener open is repeated.
CRASH_CHECKS = 3
CRASH_CHECK_INTERVAL_S = 0.1

# Errors of connections that are used without urllib3's pool, which would wrap those of http.client.
CONNECTION_ERRORS = (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException)

# Faults of attempts whose endpoint got no byte of the request.
DOWN_FAULT = "down"
UNAVAILABLE_FAULT = "unavailable"
DESCRIPTORS_FAULT = "no-descriptors"
# Fault of an answer with more bytes than an answer may have, or than the process can hold.
UNBOUNDED_FAULT = "unbounded"

# Errors of this process, which say nothing about a peer.
_LOCAL_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

_BODILESS_STATUS = frozenset({204, 304})


@attrs.define(auto_exc=True)
class AttemptError(EngineError):
    """An attempt that ended without a complete answer.

    :ivar outcome: outcome for the dispatcher.
    :ivar fault: why an answer was discarded, such as ``crossed``.
    """

    outcome: Outcome = Outcome.BROKEN
    fault: str = ""


@attrs.frozen
class AttemptLimits:
    """Timeouts and size limit of one attempt.

    :ivar connect_timeout: seconds to connect.
    :ivar gap_timeout: seconds without a byte after which the connection is considered broken.
    :ivar max_answer: largest answer that is buffered, in bytes.
    """

    connect_timeout: float
    gap_timeout: float
    max_answer: int


@attrs.frozen
class ResponseHead:
    """Status and headers of an endpoint's answer, with lower-case header names."""

    status: int
    headers: dict[str, str]


class TooManyBytesError(ConnectionAbortedError):
    """An answer has more bytes than it may have."""


class BoundedReader(io.RawIOBase):
    """Raw stream over a socket with limits on the number of bytes and the total time."""

    def __init__(self, sock: socket.socket, size: int, seconds: float) -> None:
        super().__init__()
        self._socket = sock
        self.set_bounds(size, seconds)

    def set_bounds(self, size: int, seconds: float) -> None:
        """Set the limits for later reads."""
        self._remaining = size
        self._deadline = time.monotonic() + seconds

    def readable(self) -> bool:
        """Tell ``BufferedReader`` that it may read."""
        return True

    def readinto(self, buffer: bytearray) -> int:
        """Read once.

        :raises TooManyBytesError: if the limit on bytes is reached.
        :raises TimeoutError: if the time limit is reached.
        """
        if self._remaining <= 0:
            raise TooManyBytesError("more bytes came than may")
        seconds = self._deadline - time.monotonic()
        if seconds <= 0:
            raise TimeoutError("the time is over")
        self._socket.settimeout(seconds)
        count = self._socket.recv_into(buffer, min(len(buffer), self._remaining))
        self._remaining -= count
        return count


class CountingConnection(HTTPConnection):
    """Connection that counts the bytes sent for the current request.

    :ivar is_reused: whether it carried an earlier request, whose answer may arrive once more.
    """

    def __init__(self, address: str, connect_timeout: float) -> None:
        host, port = split_address(address)
        super().__init__(
            host,
            port,
            timeout=connect_timeout,
            socket_options=[
                *HTTPConnection.default_socket_options,
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            ],
        )
        self.bytes_sent = 0
        self.is_reused = False
        self.idle_since = 0.0
        self.idle_limit = MAX_IDLE_S
        self._buffered: list[bytes] | None = None
        self._keep_open = False
        self._has_probes = False
        self._send_ends_at = float("inf")
        self.raw: http.client.HTTPResponse | None = None
        self.reader: BoundedReader | None = None
        self.response_class = self._make_response

    def send_request(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Send head and body in one write, which saves a system call and a packet."""
        self._buffered = []
        try:
            self.request(
                method,
                path,
                body=body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            buffered, self._buffered = b"".join(self._buffered), None
            self.send(buffered)
        finally:
            self._buffered = None

    def send_raw(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        ends_at: float = float("inf"),
    ) -> None:
        """Send exactly these headers; ``read_head`` returns the answer.

        Unlike this method, ``request`` adds headers and joins those with the same name.

        :param target: path and query as received, not normalized.
        :param ends_at: time at which the request must have been sent.
        :raises TimeoutError: if the peer has not taken the request by then, or nothing of it for
            the timeout of the connection.
        """
        self._send_ends_at = ends_at
        self._buffered = []
        try:
            self.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
            for name, value in headers:
                self.putheader(name, value)
            self.endheaders()
            buffered, self._buffered = b"".join(self._buffered), None
            if len(body) > MAX_JOINED_BODY_BYTES:
                self.send(buffered)
                self.send(body)
            else:
                self.send(buffered + body)
        finally:
            self._buffered = None

    def read_head(self, seconds: float) -> http.client.HTTPResponse:
        """Read the head of the answer to ``send_raw``.

        http.client closes the connection after reading the head of an answer with
        ``Connection: close``. The body still has to be read from the socket, so ``close`` is
        disabled meanwhile. The caller closes response and connection, also after an error.

        :param seconds: timeout for the whole head, which also bounds the number of interim answers
            that are skipped.
        """
        self._keep_open = True
        self.reader = BoundedReader(self.sock, MAX_HEAD_BYTES, seconds)
        try:
            return http.client.HTTPConnection.getresponse(self)
        finally:
            self._keep_open = False

    def close(self) -> None:
        """Close the connection."""
        if not self._keep_open:
            super().close()

    def send(self, data: bytes) -> None:
        """Send and count all bytes; ``sendall`` doesn't report how many it sent before an error."""
        if self._buffered is not None:
            self._buffered.append(data)
            return
        if self.sock is None:
            raise ConnectionResetError("the connection was closed")
        view = memoryview(data)
        while view:
            sent = self.sock.send(view)
            self.bytes_sent += sent
            view = view[sent:]
            if view and self._send_ends_at < float("inf"):
                # A peer that reads a little now and then would prolong each wait.
                time_left_s = self._send_ends_at - time.monotonic()
                if time_left_s <= 0:
                    raise TimeoutError("the peer has not read the request in time")
                self.sock.settimeout(time_left_s)

    def shut_down(self) -> None:
        """Shut the socket down from another thread, so that a blocked read returns."""
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def probe_peer(self) -> None:
        """Let the kernel probe an idle peer, and close the connection if it is gone."""
        if self._has_probes:
            return
        self._has_probes = True
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)

    def set_gap_timeout(self, seconds: float) -> None:
        """Set the read timeout in the kernel; Python's own costs a second system call per read."""
        whole = int(seconds)
        value = struct.pack("@ll", whole, int((seconds - whole) * 1e6))
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)

    def _make_response(self, *args: object, **kwargs: object) -> http.client.HTTPResponse:
        self.raw = CheckedResponse(*args, **kwargs)
        if self.reader is not None:
            self.raw.fp.close()
            self.raw.fp = io.BufferedReader(self.reader)
        return self.raw


@attrs.define
class _AddressPool:
    """Idle connections to one address.

    :ivar uses: requests that could take an idle connection since ``began_at``.
    :ivar uses_before: the same in the period before.
    """

    began_at: float
    idle: list[CountingConnection] = attrs.Factory(list)
    uses: int = 0
    uses_before: int = 0

    def advance(self, now: float) -> None:
        """Begin a new period when one is over."""
        periods = (now - self.began_at) // USE_PERIOD_S
        if periods >= 1:
            self.uses_before = self.uses if periods < 2 else 0
            self.uses, self.began_at = 0, now


class ConnectionPool:
    """Pool of idle connections by address; thread-safe.

    Requests that may run only once use new connections and leave them here, so an address keeps as
    many as requests that may use an idle one came in a period, and a few for the next ones.

    :param max_idle: idle connections over all addresses.
    """

    def __init__(self, max_idle: int = MAX_IDLE) -> None:
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._pool_by_address: dict[str, _AddressPool] = {}
        # Limits of the addresses that may have idle connections, None if all may.
        self._limit_by_address: Mapping[str, int] | None = None
        self._count = 0
        self._swept_at = float("-inf")
        self._is_closed = False

    def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    def acquire(self, address: str, limits: AttemptLimits, fresh: bool) -> CountingConnection:
        """Return an open connection on which no byte of a request was sent.

        :param fresh: true to open a new connection. The peer may just have closed an idle one, in
            which case it is unknown whether the request ran.
        :raises OSError: if the connection can't be opened.
        """
        connection = None if fresh else self._acquire_idle(address)
        if connection is None:
            connection = self._connect(address, limits)
        connection.bytes_sent = 0
        # urllib3 sets the socket's timeout to this value for each request and response.
        connection.timeout = limits.gap_timeout
        connection.sock.settimeout(limits.gap_timeout)
        return connection

    def release(self, address: str, connection: CountingConnection) -> None:
        """Return a connection to the pool; its last answer must be read to the end."""
        now = time.monotonic()
        connection.is_reused = True
        connection.idle_since = now
        with self._lock:
            surplus = self._sweep(now) if now - self._swept_at >= SWEEP_INTERVAL_S else []
            if self._may_keep(address, now):
                self._find_pool(address, now).idle.append(connection)
                self._count += 1
            else:
                surplus.append(connection)
        _close_all(surplus)

    def set_limits(self, limit_by_address: Mapping[str, int]) -> None:
        """Set how many idle connections each address may have, and close those that are surplus.

        Other addresses may have none: their endpoints are gone or leaving.
        """
        now = time.monotonic()
        with self._lock:
            self._limit_by_address = limit_by_address
            surplus = self._sweep(now)
        _close_all(surplus)

    def count_idle(self) -> int:
        """Return the number of idle connections over all addresses."""
        return self._count

    def close_idle(self) -> int:
        """Close all idle connections, so that their descriptors are free; return their number."""
        with self._lock:
            idle = [item for pool in self._pool_by_address.values() for item in pool.idle]
            for pool in self._pool_by_address.values():
                pool.idle.clear()
            self._count = 0
        _close_all(idle)
        return len(idle)

    def close(self) -> None:
        """Close all idle connections; those released later are closed at once."""
        with self._lock:
            self._is_closed = True
        self.close_idle()

    def _connect(self, address: str, limits: AttemptLimits) -> CountingConnection:
        connection = CountingConnection(address, limits.connect_timeout)
        try:
            connection.connect()
        except CONNECTION_ERRORS as error:
            if not is_local_error(error) or not self.close_idle():
                raise
            connection = CountingConnection(address, limits.connect_timeout)
            connection.connect()
        return connection

    def _acquire_idle(self, address: str) -> CountingConnection | None:
        now = time.monotonic()
        with self._lock:
            pool = self._find_pool(address, now)
            pool.uses += 1
        while True:
            with self._lock:
                if not pool.idle:
                    return None
                connection = pool.idle.pop()
                self._count -= 1
            is_recent = now - connection.idle_since <= connection.idle_limit
            if is_recent and connection.is_connected:
                return connection
            connection.close()

    def _find_pool(self, address: str, now: float) -> _AddressPool:
        pool = self._pool_by_address.setdefault(address, _AddressPool(now))
        pool.advance(now)
        return pool

    def _find_limit(self, address: str) -> int:
        if self._is_closed:
            return 0
        if self._limit_by_address is None:
            return MAX_IDLE_PER_ADDRESS
        return min(MAX_IDLE_PER_ADDRESS, self._limit_by_address.get(address, 0))

    def _may_keep(self, address: str, now: float) -> bool:
        """Return whether one more idle connection of an address may be used in time."""
        pool = self._find_pool(address, now)
        uses = max(UNUSED_IDLE, pool.uses, pool.uses_before)
        limit = min(self._find_limit(address), uses)
        return len(pool.idle) < limit and self._count < self._max_idle

    def _sweep(self, now: float) -> list[CountingConnection]:
        """Remove and return the connections that are too old or beyond the limit of an address."""
        self._swept_at = now
        surplus: list[CountingConnection] = []
        for address, pool in list(self._pool_by_address.items()):
            pool.advance(now)
            fresh = [c for c in pool.idle if now - c.idle_since <= c.idle_limit]
            limit = self._find_limit(address)
            # The newest are at the end, and are used first.
            kept = fresh[-limit:] if limit else []
            surplus += [connection for connection in pool.idle if connection not in kept]
            pool.idle[:] = kept
            if not (kept or pool.uses or pool.uses_before):
                del self._pool_by_address[address]
        self._count -= len(surplus)
        return surplus


def is_local_error(error: Exception) -> bool:
    """Return whether this process could not open a connection, whatever its peer does."""
    return getattr(error.__cause__ or error, "errno", None) in _LOCAL_ERRORS


def _close_all(connections: Iterable[CountingConnection]) -> None:
    for connection in connections:
        connection.close()


class Attempt:
    """One attempt at one endpoint; used by one thread, except for ``abort``.

    :param attempt_id: sent as ``X-Request-Id``, which the endpoint must echo.
    :param fresh: true to use a new connection.
    :param memory: account of the bytes that requests hold, None for one without a limit.
    :ivar boot_id: boot id of the endpoint that received the request, empty if unknown.
    :ivar aborted: whether ``abort`` was called.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        endpoint: EndpointView,
        attempt_id: str,
        limits: AttemptLimits,
        fresh: bool = False,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory or MemoryBudget()
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.boot_id = endpoint.boot_id
        self._connections = connections
        self._limits = limits
        self._fresh = fresh
        self._connection: CountingConnection | None = None
        self._response: urllib3.response.BaseHTTPResponse | None = None
        self._chunks: ChunkDecoder | None = None
        self._has_sent_bytes = False
        self.aborted = False

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        may_send: Callable[[], bool] | None = None,
    ) -> ResponseHead:
        """Send the request and read the head of the answer.

        :param may_send: called just before the first byte is sent; if it returns false, nothing is
            sent. None to send unconditionally.
        :raises AttemptError: if no answer to this attempt was received; ``ran`` is ``NO`` only if
            no byte was sent or the endpoint reported that it did not run the request.
        """
        all_headers = {**headers, "X-Request-Id": self.attempt_id}
        try:
            self._open(self._fresh)
            if may_send is not None and not may_send():
                raise ConnectionAbortedError("the time in which it may be sent is over")
            head = self._exchange(method, path, all_headers, body)
        except CONNECTION_ERRORS as error:
            raise self._make_send_error(f"{method} failed: {error}") from error
        self._check_head(head)
        return head

    def resume(self, last_sequence: int) -> ResponseHead:
        """Ask the same endpoint for the events of a stream after a sequence number.

        :raises AttemptError: if the stream can't be resumed; outcome ``CRASHED`` when the
            endpoint refuses connections or has restarted.
        """
        self.close()
        headers = {
            "X-Request-Id": self.attempt_id,
            "Last-Event-ID": f"{self.attempt_id}:{last_sequence}",
        }
        try:
            self._open(fresh=True)
            head = self._exchange("GET", f"/v1/streams/{self.attempt_id}", headers, b"")
        except ConnectionRefusedError as error:
            raise self._make_error("refuses connections", outcome=Outcome.CRASHED) from error
        except CONNECTION_ERRORS as error:
            raise self._make_error(f"could not resume the stream: {error}") from error
        if "x-request-id" in head.headers:
            # An engine that doesn't know the attempt answers without an id.
            self._check_request_id()
        if self._has_restarted(head.headers.get("x-boot-id", "")):
            raise self._make_error("has restarted", outcome=Outcome.CRASHED)
        if head.status != 200:
            raise self._make_error(f"answered {head.status} to a resume", status=head.status)
        self._check_request_id()
        self.begin_stream()
        return head

    def begin_stream(self) -> None:
        """Prepare to read events as they arrive."""
        if self._response.headers.get("transfer-encoding", "").lower() == "chunked":
            self._chunks = ChunkDecoder()
            self._connection.set_gap_timeout(self._limits.gap_timeout)

    def fileno(self) -> int:
        """Return the file descriptor of a stream that ``read_once`` reads, -1 if there is none."""
        return -1 if self._chunks is None else self._connection.sock.fileno()

    def read_once(self) -> bytes:
        """Read once from a stream and return the content, which may be empty.

        :raises AttemptError: if the stream ended, or nothing arrived within the gap timeout.
        """
        if self._chunks is None:
            if data := self.read_some():
                return data
            raise self._make_error("ended the stream without its end mark")
        try:
            if self._chunks.ended:
                raise ConnectionResetError("the stream ended without its end mark")
            data = self._connection.raw.fp.read1(READ_BYTES)
            if not data:
                raise ConnectionResetError("it was closed, or nothing came in time")
            return self._chunks.feed(data)
        except (ChunkError, *CONNECTION_ERRORS) as error:
            raise self._make_error(f"connection lost: {error}") from error

    def read_some(self) -> bytes:
        """Return the next bytes of an answer that is not a stream, empty at its end.

        :raises AttemptError: if the connection broke or nothing arrived within the gap timeout.
        """
        try:
            return self._response.read1(READ_BYTES)
        except CONNECTION_ERRORS as error:
            raise self._make_error(f"connection lost: {error}") from error

    def read_answer(self) -> bytes:
        """Return the rest of the answer.

        :raises AttemptError: if it was truncated, exceeds the size limit or what the process can
            hold, or has neither a content length nor chunked coding, so that a truncation can't be
            detected.
        """
        if not self._has_framed_body():
            raise self._make_error("sent an answer whose end can't be told from a lost connection")
        limit = self._limits.max_answer
        # An eviction needn't end a read: the gap timeout does, and nothing is held meanwhile.
        held = HeldBody(self._memory, lambda: None)
        with contextlib.closing(held):
            try:
                while part := self.read_some():
                    held.append(part)
                    if held.size > limit:
                        reason = f"sent more than {limit} bytes"
                        raise self._make_error(reason, fault=UNBOUNDED_FAULT)
                body = b"".join(held)
            except MemoryLimitError as error:
                reason = "sent more bytes than this process can hold"
                raise self._make_error(reason, fault=UNBOUNDED_FAULT) from error
        self.finish()
        return body

    def finish(self) -> None:
        """Return the connection to the pool if the answer was read to its end."""
        connection, response = self._connection, self._response
        if connection is None or response is None or self.aborted:
            self.close()
            return
        will_close = response.headers.get("connection", "").lower() == "close"
        if not will_close and self._is_read_to_end():
            connection.raw.close()
            self._connection = self._response = self._chunks = None
            self._connections.release(self.endpoint.address, connection)
        else:
            self.close()

    def _is_read_to_end(self) -> bool:
        if self._chunks is None:
            return self._response.closed
        if not self._chunks.ended:
            # The last chunk immediately follows the end marker of the stream.
            self._connection.sock.settimeout(LAST_CHUNK_TIMEOUT_S)
            with contextlib.suppress(ChunkError, *CONNECTION_ERRORS):
                self._chunks.feed(self._connection.raw.fp.read1(READ_BYTES))
        return self._chunks.ended

    def abort(self) -> None:
        """Shut the connection down from another thread, so that a blocked read returns."""
        self.aborted = True
        connection = self._connection
        if connection is not None:
            connection.shut_down()

    def close(self) -> None:
        """Close the connection; bytes that arrive later are discarded."""
        connection, self._connection = self._connection, None
        self._response = self._chunks = None
        if connection is not None:
            connection.close()

    def cancel(self) -> None:
        """Cancel the request on an engine; errors are ignored, as the engine may be down."""
        self.close()
        with contextlib.suppress(*CONNECTION_ERRORS):
            connection = self._connections.acquire(self.endpoint.address, self._limits, fresh=True)
            try:
                connection.sock.settimeout(self._limits.connect_timeout)
                connection.request("DELETE", f"/v1/streams/{self.attempt_id}")
                connection.getresponse()
            finally:
                connection.close()

    def has_crashed(self) -> bool:
        """Return whether a connection was lost because the endpoint is down or has restarted."""
        for check in range(CRASH_CHECKS):
            if check:
                time.sleep(CRASH_CHECK_INTERVAL_S)
            try:
                boot_id = self._read_boot_id()
            except ConnectionRefusedError:
                return True
            except TimeoutError:
                return False
            except (ValueError, *CONNECTION_ERRORS):
                continue
            return self._has_restarted(boot_id)
        return False

    def _open(self, fresh: bool) -> None:
        address = self.endpoint.address
        try:
            self._connection = self._connections.acquire(address, self._limits, fresh)
        except urllib3.exceptions.NewConnectionError as error:
            # urllib3 wraps the refused connection; only that error shows that the process is down,
            # while others may be caused by packet loss.
            raise error.__cause__ if isinstance(error.__cause__, OSError) else error from error
        if self.aborted:
            raise ConnectionAbortedError("the caller left")

    def _exchange(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> ResponseHead:
        connection = self._connection
        try:
            connection.send_request(method, path, headers, body)
        finally:
            self._has_sent_bytes = self._has_sent_bytes or connection.bytes_sent > 0
        self._response = connection.getresponse()
        lowered = {name.lower(): value for name, value in self._response.headers.items()}
        return ResponseHead(self._response.status, lowered)

    def _check_head(self, head: ResponseHead) -> None:
        self._check_request_id()
        self.boot_id = head.headers.get("x-boot-id") or self.boot_id
        if head.headers.get("x-not-run") == "1":
            raise self._make_error(
                f"answered {head.status} and did not run the request",
                outcome=Outcome.NOT_RUN,
                ran=Ran.NO,
                status=head.status,
            )

    def _check_request_id(self) -> None:
        # ``ResponseHead`` has only the last one of several headers with the same name.
        echoed = ", ".join(sorted(set(self._response.headers.getlist("X-Request-Id"))))
        if echoed != self.attempt_id:
            reason = f"sent the answer of another request {echoed[:64]!r}"
            raise self._make_error(reason, fault="crossed")

    def _has_framed_body(self) -> bool:
        """Return whether a truncation of the body can be detected."""
        response = self._response
        return response.status in _BODILESS_STATUS or is_delimited(response.headers)

    def _has_restarted(self, boot_id: str) -> bool:
        return bool(boot_id and self.boot_id and boot_id != self.boot_id)

    def _read_boot_id(self) -> str:
        path = "/v1/report" if self.endpoint.kind == "engine" else "/report"
        connection = CountingConnection(self.endpoint.address, self._limits.connect_timeout)
        try:
            try:
                connection.connect()
            except urllib3.exceptions.NewConnectionError as error:
                raise error.__cause__ if isinstance(error.__cause__, OSError) else error from error
            connection.request("GET", path, preload_content=False)
            response = connection.getresponse()
            if boot_id := response.headers.get("x-boot-id"):
                return boot_id
            # The header takes precedence: the body may still describe the process before a restart.
            report = decode_json(response.read(MAX_REPORT_BYTES))
            return str(report.get("boot_id", "")) if isinstance(report, dict) else ""
        finally:
            connection.close()

    def _make_send_error(self, reason: str) -> AttemptError:
        if not self._has_sent_bytes:
            return self._make_error(reason, outcome=Outcome.NOT_RUN, ran=Ran.NO)
        return self._make_error(reason)

    def _make_error(
        self,
        reason: str,
        outcome: Outcome = Outcome.BROKEN,
        ran: Ran = Ran.UNKNOWN,
        status: int = 0,
        fault: str = "",
    ) -> AttemptError:
        self.close()
        address = self.endpoint.address
        return AttemptError(STEP, address, f"endpoint {reason}", ran, status, outcome, fault)
