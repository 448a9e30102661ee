"""Thrift connections between processes of the system, authenticated by a shared secret."""

import hashlib
import hmac
import logging
import secrets
import socket
import threading
from collections.abc import Callable
from types import ModuleType
from typing import Any

import attrs
from result import Err, Ok, Result
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import (
    TFramedTransport,
    TTransportBase,
    TTransportException,
)

from catkinhook.addresses import split_address
from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import StepError
from catkinhook.peersecret import MIN_SECRET_BYTES
from catkinhook.thrift_gen import Controller
from catkinhook.thrift_gen.ttypes import Refused
from catkinhook.units import MIB

MAGIC = b"CKH1"
NONCE_BYTES = 32
PROOF_BYTES = hashlib.sha256().digest_size

MAX_REQUEST_FRAME_BYTES = 4 * MIB
MAX_REPLY_FRAME_BYTES = 64 * MIB
# Bounds the items of a list or map, because an empty struct takes one byte in a frame but hundreds
# in memory.
MAX_CONTAINER_ITEMS = 65_536

CALL_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 2.0
CLIENT_IDLE_TIMEOUT_S = 20.0
# Longer than the client's timeout, so that the client usually closes an idle connection first.
SERVER_IDLE_TIMEOUT_S = 30.0
# All hosts of a deployment of 420 exchange with one of them, the holder of the order lease, and
# call it for credit on a second connection.
MAX_CONNECTIONS = 1060
# Limit on unauthenticated connections; it is separate, so that they can't use up
# ``MAX_CONNECTIONS``.
MAX_HANDSHAKES = 32
LISTEN_BACKLOG = 128
# Pause after a failed accept(), which would fail again at once while no file descriptor is free.
ACCEPT_RETRY_DELAY_S = 0.1

_BINARY_PROTOCOL = TBinaryProtocolAcceleratedFactory(container_length_limit=MAX_CONTAINER_ITEMS)
# A more compact encoding, for messages that are sent between zones several times a second.
COMPACT_PROTOCOL = TCompactProtocolAcceleratedFactory(container_length_limit=MAX_CONTAINER_ITEMS)

_log = logging.getLogger(__name__)


class SocketTransport(TTransportBase):
    """Socket with a deadline for a whole message instead of a timeout for each read.

    :ivar deadline: time on the clock after which reads fail.
    """

    def __init__(self, connection: socket.socket, clock: Clock, timeout: float) -> None:
        self._socket = connection
        self._clock = clock
        self._timeout = timeout
        self.deadline = clock() + timeout

    def isOpen(self) -> bool:  # noqa: N802
        """Whether the peer has kept the idle connection open and sent nothing.

        Bytes that arrive between two calls belong to neither; the next call would read them as its
        reply.
        """
        try:
            self._socket.settimeout(0)
            self._socket.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes, at least one.

        :raises TTransportException: if the deadline passes or the connection is closed.
        """
        remaining = self.deadline - self._clock()
        if remaining <= 0:
            raise TTransportException(TTransportException.TIMED_OUT, "timed out")
        try:
            self._socket.settimeout(remaining)
            data = self._socket.recv(size)
        except TimeoutError:
            raise TTransportException(TTransportException.TIMED_OUT, "timed out") from None
        except OSError as error:
            raise TTransportException(TTransportException.NOT_OPEN, str(error)) from None
        if not data:
            raise TTransportException(TTransportException.END_OF_FILE, "closed by the peer")
        return data

    def readAll(self, size: int) -> bytes:  # noqa: N802
        """Return exactly ``size`` bytes; memory is allocated only as they arrive."""
        data = bytearray()
        while len(data) < size:
            data += self.read(min(size - len(data), MIB))
        return bytes(data)

    def write(self, data: bytes) -> None:
        """Send all bytes within the timeout."""
        try:
            self._socket.settimeout(self._timeout)
            self._socket.sendall(data)
        except OSError as error:
            raise TTransportException(TTransportException.NOT_OPEN, str(error)) from None

    def close(self) -> None:
        """Close the socket; a read in another thread fails."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            _log.debug("socket was already closed")
        self._socket.close()


def compute_proof(secret: bytes, side: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    """Return one side's proof that it knows the secret; the nonces bind it to one connection."""
    return hmac.digest(secret, b"|".join((MAGIC, side, client_nonce, server_nonce)), "sha256")


def _client_handshake(transport: SocketTransport, secret: bytes) -> None:
    """Send the client's proof that it knows the secret, then verify the server's proof."""
    client_nonce = secrets.token_bytes(NONCE_BYTES)
    transport.write(MAGIC + client_nonce)
    server_nonce = transport.readAll(NONCE_BYTES)
    transport.write(compute_proof(secret, b"client", client_nonce, server_nonce))
    proof = transport.readAll(PROOF_BYTES)
    if not hmac.compare_digest(proof, compute_proof(secret, b"server", client_nonce, server_nonce)):
        raise TTransportException(TTransportException.NOT_OPEN, "peer has another secret")


def _server_handshake(transport: SocketTransport, secret: bytes) -> None:
    """Verify the client's proof, and send the server's proof only if that succeeds."""
    hello = transport.readAll(len(MAGIC) + NONCE_BYTES)
    if not hello.startswith(MAGIC):
        reason = "client does not use the peer protocol"
        raise TTransportException(TTransportException.INVALID_CLIENT_TYPE, reason)
    client_nonce = hello[len(MAGIC) :]
    server_nonce = secrets.token_bytes(NONCE_BYTES)
    transport.write(server_nonce)
    proof = transport.readAll(PROOF_BYTES)
    if not hmac.compare_digest(proof, compute_proof(secret, b"client", client_nonce, server_nonce)):
        raise TTransportException(TTransportException.NOT_OPEN, "client has another secret")
    transport.write(compute_proof(secret, b"server", client_nonce, server_nonce))


def _check_secret(secret: bytes) -> bytes:
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"shared secret is shorter than {MIN_SECRET_BYTES} bytes")
    return secret


class PeerClient:
    """Persistent connection to one peer; calls from several threads are serialized by a lock.

    :param timeout: seconds for one call, including the connect.
    :param interface: generated module of the peer's thrift service.
    :param repeats: whether a call that fails on a connection in use is repeated on a new one.
    """

    def __init__(
        self,
        address: str,
        secret: bytes,
        timeout: float = CALL_TIMEOUT_S,
        clock: Clock = monotonic,
        interface: ModuleType = Controller,
        protocol_factory: TProtocolFactory = _BINARY_PROTOCOL,
        repeats: bool = True,
    ) -> None:
        self._repeats = repeats
        self._protocol_factory = protocol_factory
        self.address = address
        self._interface = interface
        self._secret = _check_secret(secret)
        self._timeout = timeout
        self._clock = clock
        self._transport: SocketTransport | None = None
        self._client: Any = None
        self._lock = threading.Lock()
        self._closed = False
        self.last_used_at = clock()

    def call(self, method: str, *args: Any, extra_time: float = 0.0) -> Result[Any, StepError]:
        """Call a method of the peer.

        :param extra_time: seconds that the peer may hold the call, in addition to the timeout.
        """
        with self._lock:
            if self._closed:
                return Err(StepError("peers", self.address, "the client is closed"))
            reused = self._is_open()
            result = self._try_call(method, args, extra_time)
            if (
                result.is_err()
                and reused
                and self._repeats
                and not isinstance(result.err(), Refused)
            ):
                # The peer may have closed the idle connection while the call was being sent. All
                # methods are idempotent, so the call is repeated on a new connection.
                error = result.unwrap_err()
                if getattr(error, "type", None) != TTransportException.TIMED_OUT:
                    result = self._try_call(method, args, extra_time)
            self.last_used_at = self._clock()
        return result.map_err(self._to_step_error)

    def close(self) -> None:
        """Close the connection; a call in progress fails."""
        self._closed = True
        transport = self._transport
        if transport:
            transport.close()

    def open(self, timeout: float) -> Result[bool, StepError]:
        """Connect unless the connection is open.

        :param timeout: seconds for the connection and the handshake.
        :returns: whether the connection was already open.
        """
        with self._lock:
            if self._closed:
                return Err(StepError("peers", self.address, "the client is closed"))
            if self._is_open():
                return Ok(True)
            try:
                self._connect(self._clock() + timeout)
                self.last_used_at = self._clock()
            except (TException, OSError, EOFError, ValueError) as error:
                self._disconnect()
                return Err(self._to_step_error(error))
        return Ok(False)

    @property
    def is_open(self) -> bool:
        """Whether there is a connection that the peer has not closed."""
        with self._lock:
            return self._is_open()

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return self._lock.locked()

    def _is_open(self) -> bool:
        if self._transport and not self._transport.isOpen():
            self._disconnect()
        return self._transport is not None

    def _try_call(self, method: str, args: tuple, extra_time: float) -> Result[Any, Exception]:
        try:
            deadline = self._clock() + self._timeout
            if self._transport is None:
                self._connect(deadline)
            self._transport.deadline = deadline + extra_time
            return Ok(getattr(self._client, method)(*args))
        except Refused as refused:
            return Err(refused)
        except (TException, OSError, EOFError, ValueError) as error:
            # On the same connection, a late reply would be read as the reply to the next call.
            self._disconnect()
            return Err(error)

    def _connect(self, deadline: float) -> None:
        connection = socket.create_connection(split_address(self.address), self._timeout)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport = SocketTransport(connection, self._clock, self._timeout)
        transport.deadline = deadline
        try:
            _client_handshake(transport, self._secret)
        except TTransportException:
            transport.close()
            raise
        framed = TFramedTransport(transport, MAX_REPLY_FRAME_BYTES)
        self._transport = transport
        self._client = self._interface.Client(self._protocol_factory.getProtocol(framed))

    def _disconnect(self) -> None:
        if self._transport:
            self._transport.close()
        self._transport = self._client = None

    def _to_step_error(self, error: Exception) -> StepError:
        if isinstance(error, Refused):
            return StepError(error.step or "peers", error.peer or self.address, error.reason or "")
        return StepError("peers", self.address, getattr(error, "message", None) or str(error))


class PeerPool:
    """Connections to peers, one for each address; idle ones are closed."""

    def __init__(
        self,
        secret: bytes,
        timeout: float = CALL_TIMEOUT_S,
        clock: Clock = monotonic,
        interface: ModuleType = Controller,
        protocol_factory: TProtocolFactory = _BINARY_PROTOCOL,
        repeats: bool = True,
    ) -> None:
        self._repeats = repeats
        self._protocol_factory = protocol_factory
        self._interface = interface
        self._secret = _check_secret(secret)
        self._timeout = timeout
        self._clock = clock
        self._client_by_address: dict[str, PeerClient] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            clients = list(self._client_by_address.values())
            self._client_by_address.clear()
        for client in clients:
            client.close()

    def call(
        self, address: str, method: str, *args: Any, extra_time: float = 0.0
    ) -> Result[Any, StepError]:
        """Call a method of the peer at an address.

        :param extra_time: seconds that the peer may hold the call, in addition to the timeout.
        """
        return self._find_client(address).call(method, *args, extra_time=extra_time)

    def open(self, address: str, timeout: float) -> Result[bool, StepError]:
        """Connect to the peer at an address unless the connection is open.

        :returns: whether the connection was already open.
        """
        return self._find_client(address).open(timeout)

    def is_open(self, address: str) -> bool:
        """Whether there is a connection to an address that the peer has not closed."""
        return self._find_client(address).is_open

    def _find_client(self, address: str) -> PeerClient:
        with self._lock:
            idle = self._remove_idle(address)
            client = self._client_by_address.get(address)
            if client is None:
                client = PeerClient(
                    address,
                    self._secret,
                    self._timeout,
                    self._clock,
                    self._interface,
                    self._protocol_factory,
                    self._repeats,
                )
                self._client_by_address[address] = client
        for idle_client in idle:
            idle_client.close()
        return client

    def _remove_idle(self, kept_address: str) -> list[PeerClient]:
        """Remove and return the idle clients, except for the one of an address."""
        oldest = self._clock() - CLIENT_IDLE_TIMEOUT_S
        idle = [
            client
            for client in self._client_by_address.values()
            if client.address != kept_address
            and client.last_used_at < oldest
            and not client.is_busy
        ]
        for client in idle:
            del self._client_by_address[client.address]
        return idle


@attrs.define
class PeerCounters:
    """Counts of a server's connections since its start.

    :ivar accepted: connections that were within the limits.
    :ivar handshake_failures: connections closed for a wrong secret or another protocol.
    :ivar over_limit: connections closed because too many were open.
    :ivar protocol_errors: connections closed for an error after the handshake.
    """

    accepted: int = 0
    handshake_failures: int = 0
    over_limit: int = 0
    protocol_errors: int = 0


class PeerServer:
    """Thrift server with one thread for each connection.

    :param address: ``IP:port``; port 0 selects a free port.
    :param interface: generated module of the service that the handler implements.
    """

    def __init__(
        self,
        address: str,
        handler: Any,
        secret: bytes,
        max_connections: int = MAX_CONNECTIONS,
        clock: Clock = monotonic,
        interface: ModuleType = Controller,
        protocol_factory: TProtocolFactory = _BINARY_PROTOCOL,
    ) -> None:
        self._protocol_factory = protocol_factory
        self._requested_address = address
        self._interface = interface
        self._processor = interface.Processor(handler)
        self._secret = _check_secret(secret)
        self._max_connections = max_connections
        self._clock = clock
        self._lock = threading.Lock()
        self._thread_by_transport: dict[SocketTransport, threading.Thread] = {}
        self._pending_handshakes = 0
        self._closing = False
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self.counters = PeerCounters()
        self.address = address

    def set_handler(self, handler: Any) -> None:
        """Set a handler that itself needs the bound address; call it before ``start``."""
        self._processor = self._interface.Processor(handler)

    def bind(self) -> str:
        """Bind the address without accepting connections; return it with the actual port.

        :raises OSError: if the address can't be bound.
        """
        host, port = split_address(self._requested_address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        bound_port = self._listener.getsockname()[1]
        is_ipv6 = ":" in host
        self.address = f"[{host}]:{bound_port}" if is_ipv6 else f"{host}:{bound_port}"
        return self.address

    def start(self) -> None:
        """Start accepting connections; bind the address first unless it is already bound.

        :raises OSError: if the address can't be bound.
        """
        if self._listener is None:
            self.bind()
        self._thread = threading.Thread(
            target=self._accept_connections, name="peers-accept", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Close the listening socket and all connections, and join their threads."""
        self._closing = True
        if self._listener:
            # close() alone doesn't wake a thread that is blocked in accept().
            _ignore_os_error(lambda: self._listener.shutdown(socket.SHUT_RDWR))
            self._listener.close()
        if self._thread:
            self._thread.join(HANDSHAKE_TIMEOUT_S)
        with self._lock:
            thread_by_transport = dict(self._thread_by_transport)
        for transport in thread_by_transport:
            transport.close()
        for thread in thread_by_transport.values():
            thread.join(HANDSHAKE_TIMEOUT_S)

    def _accept_connections(self) -> None:
        while not self._closing:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                if self._closing:
                    return
                _log.warning("cannot accept a connection", extra={"error": str(error)})
                threading.Event().wait(ACCEPT_RETRY_DELAY_S)
                continue
            self._start_connection(connection)

    def _start_connection(self, connection: socket.socket) -> None:
        transport = SocketTransport(connection, self._clock, HANDSHAKE_TIMEOUT_S)
        thread = threading.Thread(
            target=self._serve_connection, args=(transport, connection), name="peer", daemon=True
        )
        with self._lock:
            established = len(self._thread_by_transport) - self._pending_handshakes
            is_full = (
                established >= self._max_connections or self._pending_handshakes >= MAX_HANDSHAKES
            )
            if not is_full:
                self._thread_by_transport[transport] = thread
                self._pending_handshakes += 1
            self.counters.accepted += not is_full
            self.counters.over_limit += is_full
        if is_full:
            connection.close()
            return
        try:
            thread.start()
        except RuntimeError as error:
            # No thread is left. The error would end the thread that accepts all connections.
            _log.warning("cannot serve a connection", extra={"error": str(error)})
            with self._lock:
                del self._thread_by_transport[transport]
                self._pending_handshakes -= 1
            connection.close()

    def _serve_connection(self, transport: SocketTransport, connection: socket.socket) -> None:
        try:
            if self._complete_handshake(transport, connection):
                self._process_requests(transport)
        finally:
            transport.close()
            with self._lock:
                self._thread_by_transport.pop(transport, None)

    def _complete_handshake(self, transport: SocketTransport, connection: socket.socket) -> bool:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _server_handshake(transport, self._secret)
        except (TException, OSError):
            self.counters.handshake_failures += 1
            return False
        finally:
            with self._lock:
                self._pending_handshakes -= 1
        return True

    def _process_requests(self, transport: SocketTransport) -> None:
        protocol = self._protocol_factory.getProtocol(
            TFramedTransport(transport, MAX_REQUEST_FRAME_BYTES)
        )
        while not self._closing:
            transport.deadline = self._clock() + SERVER_IDLE_TIMEOUT_S
            try:
                self._processor.process(protocol, protocol)
            except TTransportException as error:
                regular_ends = (TTransportException.END_OF_FILE, TTransportException.TIMED_OUT)
                self.counters.protocol_errors += error.type not in regular_ends
                return
            except Exception:
                # The decoder may raise any exception on malformed input; only this connection ends.
                self.counters.protocol_errors += 1
                return


def _ignore_os_error(action: Callable[[], None]) -> None:
    try:
        action()
    except OSError as error:
        _log.debug("socket call failed", extra={"error": str(error)})
