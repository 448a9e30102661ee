"""HTTP client that forwards one caller's request to the platform's endpoints."""

import contextlib
import errno
import http.client
import re
import socket
import time
from collections.abc import Callable

from catkinhook.addresses import split_address
from catkinhook.errors import Ran, Refusal
from catkinhook.platform import protocolnames
from catkinhook.platform.loadheader import LOAD_FAULTS, parse_load
from catkinhook.requests.attempts import (
    CONNECTION_ERRORS,
    DESCRIPTORS_FAULT,
    DOWN_FAULT,
    UNAVAILABLE_FAULT,
    UNBOUNDED_FAULT,
    AttemptError,
    AttemptLimits,
    ConnectionPool,
    CountingConnection,
    TooManyBytesError,
    is_local_error,
)
from catkinhook.requests.chunkdecoder import (
    ChunkDecoder,
    ChunkError,
    ExtraBytesError,
    FramingSizeError,
)
from catkinhook.requests.endpointactivity import EndpointActivity, read_until_silent
from catkinhook.requests.endpointavailability import OWN_SOURCE, EndpointAvailability
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.routedrequest import Assignment
from catkinhook.requests.upstreams import DOWN_CHECKS
from catkinhook.texts import parse_count, parse_decimal

STEP = "upstream"
CONNECT_TIMEOUT_S = 0.5
# Time for the rest of a head of which the first bytes have arrived.
MIN_HEAD_TIME_S = 0.1
READ_BYTES = 64 << 10
# Refusals have bodies of a few hundred bytes. A connection is not reused after a refusal with a
# larger body than this.
MAX_DRAIN_BYTES = 64 << 10
DRAIN_TIMEOUT_S = 0.1
# Time for the answer of an endpoint that closed the connection while the request was being sent.
EARLY_REFUSAL_TIME_S = 0.1
DOWN_CHECK_INTERVAL_S = 0.05
DOWN_CHECK_TIMEOUT_S = 0.25
# An endpoint stops its work at the deadline in the request; this time is added to transfer what it
# has produced by then.
DEADLINE_GRACE_S = 0.2
# Keep-alive connections are not reused within this time before the endpoint would close them.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0

# Longest text of foreign request ids in a log line.
MAX_LOGGED_ID_LENGTH = 64

_MISDIRECTED = 421
_SERVICE_UNAVAILABLE = 503
# Statuses that promise to callers that the request did not run, beside 421. An endpoint states this
# only with the header ``protocolnames.NOT_RUN``.
_NOT_RUN_STATUSES = frozenset({408, 429, 503})
_BODILESS = frozenset({204, 304})

# Line break within a header, which becomes a space. Without the lookbehind, the time is quadratic
# in the length of a run of spaces.
_FOLD = re.compile(r"(?:(?<![ \t])[ \t]+)?\r?\n[ \t]*")

Headers = tuple[tuple[str, str], ...]


class RequestUpstream:
    """Sends one request to the assigned endpoints.

    :param target: path and query as the caller sent them.
    :param headers: headers to forward, including ``Host``.
    :param is_repeatable: whether the request may run twice. Otherwise it is sent on a new
        connection, because the endpoint may close a keep-alive connection while it is being sent.
        A request that may run twice uses a new connection for each attempt after the first.
    :param check_caller: returns the refusal of a caller that may no longer send the request, None
        for any other; called before each attempt.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        activity: EndpointActivity,
        availability: EndpointAvailability,
        request_id: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        is_repeatable: bool,
        check_caller: Callable[[], Refusal | None] = lambda: None,
    ) -> None:
        self._connections = connections
        self._activity = activity
        self._availability = availability
        self._request_id = request_id
        self._method = method
        self._target = target
        self._headers = headers
        self._body = body
        self._is_repeatable = is_repeatable
        self._check_caller = check_caller
        self._answer: EndpointAnswer | None = None
        self._is_aborted = False
        self._is_retry = False

    def open(
        self,
        assignment: Assignment,
        time_left_s: float,
        timeout_s: float,
        last_event: int | None,
        may_leave: Callable[[], bool],
    ) -> "EndpointAnswer":
        """Send the request and read the status and headers of the answer.

        :raises AttemptError: if this attempt got no valid answer.
        """
        headers = [
            *self._headers,
            (protocolnames.DEADLINE_MS, str(max(1, int(time_left_s * 1000)))),
            (protocolnames.EXPECT_INSTANCE, assignment.endpoint.endpoint),
        ]
        if assignment.endpoint.kind == "engine":
            headers.append((protocolnames.PRIORITY, str(assignment.priority)))
        if last_event is not None:
            headers.append((protocolnames.LAST_EVENT_ID, str(last_event)))
        if self._body or self._method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(self._body))))
        answer = EndpointAnswer(
            self._connections, self._activity, self._availability, assignment, self._request_id
        )
        self._answer = answer
        if self._is_aborted:
            answer.abort()
        answer.ends_at = time.monotonic() + time_left_s + DEADLINE_GRACE_S
        # A request that may run only once can't go on elsewhere, and an endpoint that can't be
        # reached for some seconds may still finish it.
        answer.probes_peer = self._is_repeatable
        answer.check_caller = self._check_caller
        # Endpoints may drop idle connections without notice, and a request has few attempts. The id
        # can't tell the answers to two attempts of this request on one connection apart either.
        fresh = not self._is_repeatable or self._is_retry
        self._is_retry = True
        answer.send(self._method, self._target, headers, self._body, timeout_s, fresh, may_leave)
        return answer

    def is_endpoint_down(self, assignment: Assignment, checks: int = DOWN_CHECKS) -> bool:
        """Return whether the endpoint of an attempt refuses connections."""
        for check in range(checks):
            if check:
                time.sleep(DOWN_CHECK_INTERVAL_S)
            if _refuses_connections(assignment.endpoint.address):
                return True
        return False

    def cancel_attempt(self) -> None:
        """Cancel the attempt in progress from another thread."""
        answer = self._answer
        if answer is not None:
            answer.abort()

    def abort(self) -> None:
        """Abort an ``open`` in progress from another thread."""
        self._is_aborted = True
        answer = self._answer
        if answer is not None:
            answer.abort()


class EndpointAnswer:
    """An endpoint's answer; used by one thread, except for ``abort``.

    :ivar is_to_head: whether this answers a HEAD request and has no body.
    :ivar announced_length: length that an answer to HEAD announces, None if it has none.
    :ivar length: length of the body that follows the head, None if the head doesn't state it.
    :ivar probes_peer: whether the kernel probes an endpoint that sends nothing, and closes the
        connection if it is gone.
    :ivar ends_at: time at which an unfinished answer is aborted.
    :ivar check_caller: returns a refusal if the request must no longer be sent.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        activity: EndpointActivity,
        availability: EndpointAvailability,
        assignment: Assignment,
        request_id: str,
    ) -> None:
        self._connections = connections
        self._activity = activity
        self._availability = availability
        self._endpoint = assignment.endpoint
        self._request_id = request_id
        self._connection: CountingConnection | None = None
        self._response: http.client.HTTPResponse | None = None
        self._chunks: ChunkDecoder | None = None
        self._bytes_left: int | None = None
        self._is_sent = False
        self._is_ended = False
        self.is_to_head = False
        self._buffered = b""
        self._has_extra_bytes = False
        self._is_aborted = False
        self.probes_peer = False
        self.ends_at = float("inf")
        self.check_caller: Callable[[], Refusal | None] = lambda: None
        self.status = 0
        self.headers: Headers = ()
        self.announced_length: int | None = None
        self.length: int | None = None
        self.load: tuple[int, ...] | None = None

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        fresh: bool,
        may_leave: Callable[[], bool],
    ) -> None:
        """Send the request and read the status and headers of the answer.

        :param timeout_s: time for the connection, the request and the whole head of its answer.
        :param may_leave: called while the endpoint seems silent; returns whether to stop early.
        :raises AttemptError: if this attempt got no valid answer.
        """
        head_ends_at = time.monotonic() + timeout_s
        self.is_to_head = method == "HEAD"
        limits = AttemptLimits(min(CONNECT_TIMEOUT_S, timeout_s), timeout_s, 0)
        self._check_available()
        try:
            connection = self._connections.acquire(self._endpoint.address, limits, fresh)
        except CONNECTION_ERRORS as error:
            if is_local_error(error):
                # Other endpoints can't be asked either.
                reason = f"was not asked: {error}"
                fault = DESCRIPTORS_FAULT
                raise self._error(reason, Ran.NO, Outcome.CANCELLED, fault=fault) from error
            is_refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            outcome = Outcome.CRASHED if is_refused else Outcome.NOT_RUN
            reason = f"can't be reached: {error}"
            raise self._error(reason, Ran.NO, outcome, fault=DOWN_FAULT) from error
        self._connection = connection
        if self._is_aborted:
            raise self._error("was not asked, the caller left", Ran.NO, Outcome.CANCELLED)
        self._check_available()
        try:
            if self.probes_peer:
                connection.probe_peer()
            self._send_request(method, target, headers, body, head_ends_at)
            self._wait_for_head(max(0.0, head_ends_at - time.monotonic()), may_leave)
            time_left_s = max(MIN_HEAD_TIME_S, head_ends_at - time.monotonic())
            self._response = connection.read_head(time_left_s)
        except CONNECTION_ERRORS as error:
            ran = Ran.UNKNOWN if connection.bytes_sent else Ran.NO
            outcome = Outcome.BROKEN if ran is Ran.NO else _find_outcome(error)
            fault = ""
            if self._is_aborted:
                outcome = Outcome.CANCELLED
            elif _is_head_unbounded(error):
                # The endpoint runs on, so the request hasn't crashed it.
                outcome, fault = Outcome.BROKEN, UNBOUNDED_FAULT
            elif outcome is Outcome.CRASHED and connection.is_reused:
                outcome = self._check_crash()
            reason = f"gave no answer: {error!r}"
            raise self._error(reason, ran, outcome, fault=fault) from error
        self._process_head()

    def _send_request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        ends_at: float,
    ) -> None:
        """Send the request.

        An endpoint may refuse a request before it has read all of it, and close the connection. The
        rest then can't be sent, but its answer states that the request did not run.

        :raises OSError: if the request could not be sent and no refusal of it was received.
        """
        connection = self._connection
        try:
            connection.send_raw(method, target, headers, body, ends_at)
            self._is_sent = True
        except OSError:
            if connection.bytes_sent and not self._is_aborted:
                self._raise_early_refusal()
            raise

    def _raise_early_refusal(self) -> None:
        """Raise an error if the endpoint has answered that it did not run the request."""
        try:
            self._response = self._connection.read_head(EARLY_REFUSAL_TIME_S)
        except CONNECTION_ERRORS:
            return
        head = self._response
        if head.status == _MISDIRECTED or head.headers.get(protocolnames.NOT_RUN) is not None:
            self._process_head()

    def _check_available(self) -> None:
        """Raise an error if the request must not be sent any more.

        The endpoint may have asked for no more requests since the assignment, and the configuration
        may have dropped the caller's key. A reserved place may be a second old when it is used, and
        a connection takes up to ``CONNECT_TIMEOUT_S`` to open.
        """
        if not self._availability.is_available(self._endpoint, time.monotonic()):
            reason = "asked for no more requests before this one was sent"
            raise self._error(reason, Ran.NO, Outcome.NOT_RUN, fault=UNAVAILABLE_FAULT)
        refusal = self.check_caller()
        if refusal is not None:
            raise AttemptError(
                STEP,
                "",
                refusal.reason,
                Ran.NO,
                outcome=Outcome.CANCELLED,
                fault=refusal.code,
            )

    def _check_crash(self) -> Outcome:
        """Return the outcome after a kept connection ended instead of an answer.

        Endpoints may drop idle connections without notice and go on.
        """
        is_down = _refuses_connections(self._endpoint.address)
        return Outcome.CRASHED if is_down else Outcome.BROKEN

    def _wait_for_head(self, timeout_s: float, may_leave: Callable[[], bool]) -> None:
        sock = self._connection.sock

        def peek(seconds: float) -> bytes:
            sock.settimeout(seconds)
            return sock.recv(1, socket.MSG_PEEK)

        self._wait_for_data(peek, timeout_s, may_leave)

    def _wait_for_data(
        self, read: Callable[[float], bytes], timeout_s: float, may_leave: Callable[[], bool]
    ) -> bytes:
        endpoint = self._endpoint.endpoint
        return read_until_silent(read, self._activity, endpoint, timeout_s, may_leave)

    def _process_head(self) -> None:
        response = self._response
        get = response.headers.get
        self.status = response.status
        # Before all checks: the answer may fail one and still say that the endpoint leaves.
        self._record_availability()
        self._check_request_id()
        self.load = _parse_load(get(protocolnames.LOAD, ""), self._endpoint.endpoint)
        if self.status == _MISDIRECTED:
            # Checked before the header ``protocolnames.NOT_RUN``, whose reason is less specific.
            instance = get(protocolnames.INSTANCE, self._endpoint.endpoint)
            is_other_instance = instance != self._endpoint.endpoint
            reason = "is another instance now" if is_other_instance else "does not have the item"
            self._raise_not_run(reason, "absent")
        if get(protocolnames.NOT_RUN) is not None:
            self._raise_not_run(f"answered {self.status} without running the request")
        if self.status in _NOT_RUN_STATUSES:
            raise self._error(
                f"answered {self.status} without stating that it did not run the request"
            )
        if get(protocolnames.ANSWER_SIGNATURE) is None and self.status < 300:
            raise self._error("sent an answer without a signature", fault="unsigned")
        if get("Content-Encoding") is not None:
            raise self._error("sent an encoded answer", fault="encoded")
        self.headers = tuple(
            (name, _FOLD.sub(" ", value))
            for name, value in response.headers.items()
            if name.lower() not in protocolnames.HOP_BY_HOP_HEADERS
        )
        self._begin_body()

    def _record_availability(self) -> None:
        headers, endpoint = self._response.headers, self._endpoint
        if headers.get(protocolnames.INSTANCE, endpoint.endpoint) != endpoint.endpoint:
            # Another instance at an address that is used again.
            return
        now = time.monotonic()
        if "1" in {value.strip() for value in headers.get_all(protocolnames.LEAVING, ())}:
            self._availability.record_leaving(endpoint, OWN_SOURCE, now, now)
        if self.status == _SERVICE_UNAVAILABLE:
            values = headers.get_all(protocolnames.RETRY_AFTER, ())
            # Seconds only: a date would compare the clocks of two machines.
            pauses_s = [parse_decimal(value.strip()) for value in values]
            pause_s = max((seconds for seconds in pauses_s if seconds is not None), default=0.0)
            self._availability.record_pause(endpoint, pause_s, now)

    def _check_request_id(self) -> None:
        """Raise an error unless the answer belongs to this request.

        A refusal may lack the id, but only on a new connection: on one that carried an earlier
        request, it may be the refusal of that request.
        """
        headers = self._response.headers
        ids = set(headers.get_all(protocolnames.REQUEST_ID, ()))
        is_refusal = self.status == _MISDIRECTED or protocolnames.NOT_RUN in headers
        may_lack_id = is_refusal and not self._connection.is_reused
        if ids == {self._request_id} or (may_lack_id and not ids):
            return
        found = ", ".join(sorted(ids))[:MAX_LOGGED_ID_LENGTH] or "none"
        kind = "kept" if self._connection.is_reused else "new"
        reason = (
            f"sent the answer of another request on a {kind} connection: {self.status}, {found}"
        )
        raise self._error(reason, fault="crossed")

    def _begin_body(self) -> None:
        """Determine how the body is delimited.

        :raises AttemptError: if that is ambiguous or its length is invalid.
        """
        get_all = self._response.headers.get_all
        codings = [value.strip().lower() for value in get_all("Transfer-Encoding", [])]
        lengths = {value.strip() for value in get_all("Content-Length", [])}
        if self.is_to_head:
            # Its length is that of the answer to GET; no body follows.
            self.announced_length = parse_count(lengths.pop()) if len(lengths) == 1 else None
            self._is_ended = True
        elif self.status in _BODILESS:
            # The framing headers then describe the body that another answer would have.
            self._is_ended = True
        elif codings == ["chunked"]:
            self._chunks = ChunkDecoder()
        elif codings or len(lengths) > 1:
            raise self._error("sent an answer of ambiguous framing", fault="unframed")
        elif lengths:
            self._bytes_left = parse_count(lengths.pop())
            if self._bytes_left is None:
                raise self._error("sent an answer of unknown length", fault="unframed")
            self.length = self._bytes_left
            self._is_ended = self._bytes_left == 0
        self._take_buffered()

    def _take_buffered(self) -> None:
        """Take the body bytes that were read with the headers.

        The rest is read from the socket, because its file object can't be read again after a
        timeout.
        """
        if self._response.fp is None:
            # http.client closes the file object immediately if there is no body.
            return
        self._connection.reader.set_bounds(0, 0.0)
        with contextlib.suppress(ConnectionAbortedError):
            self._buffered = self._response.fp.read1(READ_BYTES) or b""

    def _raise_not_run(self, reason: str, fault: str = "") -> None:
        self._drain()
        raise self._error(reason, Ran.NO, Outcome.NOT_RUN, self.status, fault)

    def _drain(self) -> None:
        """Read and discard a short answer, so that its connection can be reused."""
        self.ends_at = min(self.ends_at, time.monotonic() + DRAIN_TIMEOUT_S)
        size = 0
        try:
            self._begin_body()
            while data := self.read(DRAIN_TIMEOUT_S, lambda: False):
                size += len(data)
                if size > MAX_DRAIN_BYTES:
                    return
        except AttemptError:
            return
        self.finish()

    def read(self, timeout_s: float, may_leave: Callable[[], bool]) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :param may_leave: called while the endpoint seems silent; returns whether to stop early.
        :raises AttemptError: if the answer is incomplete or a read timed out.
        """
        while not self._is_ended:
            data = self._read_some(timeout_s, may_leave)
            if data or self._is_ended:
                return data
        return b""

    def _read_some(self, timeout_s: float, may_leave: Callable[[], bool]) -> bytes:
        try:
            sock = self._connection.sock
            if sock is None:
                raise ConnectionAbortedError("the connection was closed")
            if time.monotonic() > self.ends_at:
                raise TimeoutError("it went on after its time")
            size = READ_BYTES if self._bytes_left is None else min(READ_BYTES, self._bytes_left)

            def read(seconds: float) -> bytes:
                sock.settimeout(seconds)
                return sock.recv(size)

            data, self._buffered = self._buffered, b""
            data = data or self._wait_for_data(read, timeout_s, may_leave)
            if self._is_aborted:
                raise ConnectionAbortedError("the caller left")
            if self._chunks is not None:
                if not data:
                    raise ConnectionResetError("it ended before its last chunk")
                try:
                    data = self._chunks.feed(data)
                except ExtraBytesError as error:
                    # Bytes after the answer belong to no request; the connection is not reused.
                    self._has_extra_bytes, data = True, error.content
                self._is_ended = self._chunks.ended
            elif self._bytes_left is not None:
                if not data:
                    raise ConnectionResetError(f"it ended {self._bytes_left} bytes early")
                if len(data) > self._bytes_left:
                    self._has_extra_bytes, data = True, data[: self._bytes_left]
                self._bytes_left -= len(data)
                self._is_ended = self._bytes_left == 0
            else:
                # Without a length, the answer ends with the connection; a reset raises an error.
                self._is_ended = not data
        except TimeoutError as error:
            # The endpoint may go on, so this is no evidence that its request has crashed it.
            is_late = time.monotonic() > self.ends_at
            reason = "went on after its time" if is_late else f"was silent for {timeout_s:.2f} s"
            outcome = Outcome.CANCELLED if self._is_aborted else Outcome.BROKEN
            raise self._error(reason, outcome=outcome) from error
        except FramingSizeError as error:
            reason = f"broke off its answer: {error!r}"
            raise self._error(reason, fault=UNBOUNDED_FAULT) from error
        except (ChunkError, *CONNECTION_ERRORS) as error:
            outcome = Outcome.CANCELLED if self._is_aborted else _find_outcome(error)
            raise self._error(f"broke off its answer: {error!r}", outcome=outcome) from error
        return data

    @property
    def is_delimited(self) -> bool:
        """Return whether a length or chunks mark the end of the body."""
        return self._chunks is not None or self._bytes_left is not None

    def finish(self) -> None:
        """Return the connection to the pool if the exchange is complete, else close it.

        The endpoint may still wait for the rest of a request that was not sent to its end, and
        would take the next request for it.
        """
        has_extra_bytes = self._has_extra_bytes or bool(self._buffered)
        is_answered = self._is_ended and self.is_delimited and not has_extra_bytes
        is_clean = self._is_sent and is_answered
        if is_clean and not self._response.will_close and not self._is_aborted:
            self._release_connection()
        else:
            self.close()

    def _release_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is None or connection.sock is None:
            return
        keep_alive = self._response.headers.get("Keep-Alive", "")
        connection.idle_limit = _parse_idle_limit(keep_alive)
        # http.client sends no further request before the response object is closed.
        self._response.close()
        connection.idle_since = time.monotonic()
        self._connections.release(self._endpoint.address, connection)

    def close(self) -> None:
        """Close the connection; the endpoint then stops its work on the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        if self._response is not None:
            # A response that is delimited by the end of its connection also holds the socket open.
            self._response.close()

    def abort(self) -> None:
        """Shut down the connection from another thread, so that a blocked read returns."""
        self._is_aborted = True
        connection = self._connection
        if connection is not None:
            connection.shut_down()

    def _error(
        self,
        reason: str,
        ran: Ran = Ran.UNKNOWN,
        outcome: Outcome = Outcome.BROKEN,
        status: int = 0,
        fault: str = "",
    ) -> AttemptError:
        self.close()
        peer = f"{self._endpoint.endpoint} at {self._endpoint.address}"
        return AttemptError(STEP, peer, f"endpoint {reason}", ran, status, outcome, fault)


def _refuses_connections(address: str) -> bool:
    try:
        socket.create_connection(split_address(address), DOWN_CHECK_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def _find_outcome(error: Exception) -> Outcome:
    """Return the outcome of an attempt that may have run and whose connection failed.

    An endpoint that is silent or can't be reached may be running; its request hasn't crashed it.
    """
    is_silent = isinstance(error, TimeoutError)
    is_unreachable = getattr(error, "errno", None) == errno.ETIMEDOUT
    return Outcome.BROKEN if is_silent or is_unreachable else Outcome.CRASHED


def _is_head_unbounded(error: Exception) -> bool:
    """Return whether a head exceeds a limit on its bytes, lines or headers."""
    # http.client has no class of its own for too many headers.
    limits = (TooManyBytesError, http.client.LineTooLong)
    return isinstance(error, limits) or type(error) is http.client.HTTPException


def _parse_load(text: str, endpoint: str = "") -> tuple[int, ...] | None:
    load, fault = parse_load(text)
    if fault:
        LOAD_FAULTS.record(endpoint, text, fault)
    return load


def _parse_idle_limit(text: str) -> float:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        seconds = parse_count(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return max(0.0, seconds - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
