"""Thrift connections between the system's own processes, opened by proof of a shared secret."""

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

MAX_REQUEST_FRAME = 4 * MIB
MAX_REPLY_FRAME = 64 * MIB
# An empty struct takes one byte of a frame but hundreds in memory.
MAX_LIST = 65_536

CALL_TIMEOUT = 2.0
HANDSHAKE_TIMEOUT = 2.0
CLIENT_IDLE_TIME = 20.0
# Longer than the client's, so that the client usually closes an idle connection first.
SERVER_IDLE_TIME = 30.0
MAX_CONNECTIONS = 256
# Connections that have not proved the secret can't take the places of those that have.
MAX_HANDSHAKES = 32
BACKLOG = 128

_BINARY = TBinaryProtocolAcceleratedFactory(container_length_limit=MAX_LIST)
# Messages that are sent several times a second between zones are small in this protocol.
COMPACT = TCompactProtocolAcceleratedFactory(container_length_limit=MAX_LIST)

_log = logging.getLogger(__name__)


class SocketTransport(TTransportBase):
    """Socket with a deadline for each message instead of a timeout for each read.

    :ivar deadline: time on the clock at which reads give up.
    """

    def __init__(self, connection: socket.socket, clock: Clock, timeout: float) -> None:
        self._socket = connection
        self._clock = clock
        self._timeout = timeout
        self.deadline = clock() + timeout

    def isOpen(self) -> bool:  # noqa: N802
        """Whether the other side has not closed the connection."""
        try:
            self._socket.settimeout(0)
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes, at least one.

        :raises TTransportException: if the deadline passes or the other side closed.
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
            raise TTransportException(TTransportException.END_OF_FILE, "closed by the other side")
        return data

    def readAll(self, size: int) -> bytes:  # noqa: N802
        """Return exactly ``size`` bytes; memory grows only as they arrive."""
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
        """Close the socket, also under a read in another thread."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            _log.debug("socket was closed already")
        self._socket.close()


def prove(secret: bytes, side: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    """Return the proof that one side knows the secret, for this connection only."""
    return hmac.digest(secret, b"|".join((MAGIC, side, client_nonce, server_nonce)), "sha256")


def _greet(transport: SocketTransport, secret: bytes) -> None:
    """Prove the secret as the side that connects, and check the proof of the other."""
    client_nonce = secrets.token_bytes(NONCE_BYTES)
    transport.write(MAGIC + client_nonce)
    server_nonce = transport.readAll(NONCE_BYTES)
    transport.write(prove(secret, b"client", client_nonce, server_nonce))
    proof = transport.readAll(PROOF_BYTES)
    if not hmac.compare_digest(proof, prove(secret, b"server", client_nonce, server_nonce)):
        raise TTransportException(TTransportException.NOT_OPEN, "peer has another secret")


def _welcome(transport: SocketTransport, secret: bytes) -> None:
    """Check the proof of the side that connected; prove the secret only to one that has it."""
    hello = transport.readAll(len(MAGIC) + NONCE_BYTES)
    if not hello.startswith(MAGIC):
        raise TTransportException(TTransportException.INVALID_CLIENT_TYPE, "not a peer")
    client_nonce = hello[len(MAGIC) :]
    server_nonce = secrets.token_bytes(NONCE_BYTES)
    transport.write(server_nonce)
    proof = transport.readAll(PROOF_BYTES)
    if not hmac.compare_digest(proof, prove(secret, b"client", client_nonce, server_nonce)):
        raise TTransportException(TTransportException.NOT_OPEN, "caller has another secret")
    transport.write(prove(secret, b"server", client_nonce, server_nonce))


def _check_secret(secret: bytes) -> bytes:
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"the shared secret has fewer than {MIN_SECRET_BYTES} bytes")
    return secret


class PeerClient:
    """One reused connection to one peer; calls from several threads take turns.

    :param timeout: seconds for one call, connecting included.
    :param interface: generated module of the service that the peer offers.
    """

    def __init__(
        self,
        address: str,
        secret: bytes,
        timeout: float = CALL_TIMEOUT,
        clock: Clock = monotonic,
        interface: ModuleType = Controller,
        protocols: TProtocolFactory = _BINARY,
    ) -> None:
        self._protocols = protocols
        self.address = address
        self._interface = interface
        self._secret = _check_secret(secret)
        self._timeout = timeout
        self._clock = clock
        self._transport: SocketTransport | None = None
        self._client: Any = None
        self._lock = threading.Lock()
        self._closed = False
        self.used_at = clock()

    def call(self, method: str, *args: Any, extra_time: float = 0.0) -> Result[Any, StepError]:
        """Call a method of the peer.

        :param extra_time: seconds that the peer may hold the call, on top of the timeout.
        """
        with self._lock:
            if self._closed:
                return Err(StepError("peers", self.address, "the client is closed"))
            reused = self._is_open()
            result = self._try_call(method, args, extra_time)
            if result.is_err() and reused and not isinstance(result.err(), Refused):
                # The peer may have closed the idle connection while the call was on its way;
                # all methods may be repeated.
                error = result.unwrap_err()
                if getattr(error, "type", None) != TTransportException.TIMED_OUT:
                    result = self._try_call(method, args, extra_time)
            self.used_at = self._clock()
        return result.map_err(self._describe)

    def close(self) -> None:
        """Close the connection; a call in progress ends with an error."""
        self._closed = True
        transport = self._transport
        if transport:
            transport.close()

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self._lock.locked()

    def _is_open(self) -> bool:
        if self._transport and not self._transport.isOpen():
            self._drop()
        return self._transport is not None

    def _try_call(self, method: str, args: tuple, extra_time: float) -> Result[Any, Exception]:
        try:
            deadline = self._clock() + self._timeout
            if self._transport is None:
                self._open(deadline)
            self._transport.deadline = deadline + extra_time
            return Ok(getattr(self._client, method)(*args))
        except Refused as refused:
            return Err(refused)
        except (TException, OSError, EOFError, ValueError) as error:
            # A late reply must not be read as the reply to the next call.
            self._drop()
            return Err(error)

    def _open(self, deadline: float) -> None:
        connection = socket.create_connection(split_address(self.address), self._timeout)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport = SocketTransport(connection, self._clock, self._timeout)
        transport.deadline = deadline
        try:
            _greet(transport, self._secret)
        except TTransportException:
            transport.close()
            raise
        framed = TFramedTransport(transport, MAX_REPLY_FRAME)
        self._transport = transport
        self._client = self._interface.Client(self._protocols.getProtocol(framed))

    def _drop(self) -> None:
        if self._transport:
            self._transport.close()
        self._transport = self._client = None

    def _describe(self, error: Exception) -> StepError:
        if isinstance(error, Refused):
            return StepError(error.step or "peers", error.peer or self.address, error.reason or "")
        return StepError("peers", self.address, getattr(error, "message", None) or str(error))


class PeerPool:
    """Connections to peers, one for each address, closed when idle."""

    def __init__(
        self,
        secret: bytes,
        timeout: float = CALL_TIMEOUT,
        clock: Clock = monotonic,
        interface: ModuleType = Controller,
        protocols: TProtocolFactory = _BINARY,
    ) -> None:
        self._protocols = protocols
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

    def call(self, address: str, method: str, *args: Any) -> Result[Any, StepError]:
        """Call a method of the peer at an address."""
        with self._lock:
            idle = self._take_idle(address)
            client = self._client_by_address.get(address)
            if client is None:
                client = PeerClient(
                    address,
                    self._secret,
                    self._timeout,
                    self._clock,
                    self._interface,
                    self._protocols,
                )
                self._client_by_address[address] = client
        for other in idle:
            other.close()
        return client.call(method, *args)

    def _take_idle(self, wanted: str) -> list[PeerClient]:
        oldest = self._clock() - CLIENT_IDLE_TIME
        clients = self._client_by_address.values()
        idle = [c for c in clients if c.address != wanted and c.used_at < oldest and not c.busy]
        for client in idle:
            del self._client_by_address[client.address]
        return idle


@attrs.define
class PeerCounters:
    """Connections of a server since its start.

    :ivar refused: closed for a wrong secret or bytes that are not of this protocol.
    :ivar rejected: closed because too many were open.
    :ivar broken: closed for an error after the opening.
    """

    accepted: int = 0
    refused: int = 0
    rejected: int = 0
    broken: int = 0


class PeerServer:
    """Listener that serves a handler, one thread a connection.

    :param address: ``IP:port``; port 0 takes a free one.
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
        protocols: TProtocolFactory = _BINARY,
    ) -> None:
        self._protocols = protocols
        self._wanted = address
        self._interface = interface
        self._processor = interface.Processor(handler)
        self._secret = _check_secret(secret)
        self._max_connections = max_connections
        self._clock = clock
        self._lock = threading.Lock()
        self._transports: dict[SocketTransport, threading.Thread] = {}
        self._handshakes = 0
        self._closing = False
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self.counters = PeerCounters()
        self.address = address

    def set_handler(self, handler: Any) -> None:
        """Set the handler, before the start, when it needs the address that was bound."""
        self._processor = self._interface.Processor(handler)

    def bind(self) -> str:
        """Bind the address without accepting yet; returns it with the port that was taken.

        :raises OSError: if the address can't be bound.
        """
        host, port = split_address(self._wanted)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        bound = self._listener.getsockname()[1]
        self.address = f"[{host}]:{bound}" if ":" in host else f"{host}:{bound}"
        return self.address

    def start(self) -> None:
        """Begin to accept, and bind the address if that was not done yet.

        :raises OSError: if the address can't be bound.
        """
        if self._listener is None:
            self.bind()
        self._thread = threading.Thread(target=self._accept, name="peers-accept", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the listener and all connections, and wait for their threads."""
        self._closing = True
        if self._listener:
            # A plain close doesn't wake a thread that waits in accept.
            _quietly(lambda: self._listener.shutdown(socket.SHUT_RDWR))
            self._listener.close()
        if self._thread:
            self._thread.join(HANDSHAKE_TIMEOUT)
        with self._lock:
            open_now = dict(self._transports)
        for transport in open_now:
            transport.close()
        for thread in open_now.values():
            thread.join(HANDSHAKE_TIMEOUT)

    def _accept(self) -> None:
        while not self._closing:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                if self._closing:
                    return
                # Accepting fails at once for as long as file descriptors are used up.
                _log.warning("cannot accept a connection", extra={"error": str(error)})
                threading.Event().wait(0.1)
                continue
            self._admit(connection)

    def _admit(self, connection: socket.socket) -> None:
        transport = SocketTransport(connection, self._clock, HANDSHAKE_TIMEOUT)
        thread = threading.Thread(
            target=self._serve, args=(transport, connection), name="peer", daemon=True
        )
        with self._lock:
            established = len(self._transports) - self._handshakes
            full = established >= self._max_connections or self._handshakes >= MAX_HANDSHAKES
            if not full:
                self._transports[transport] = thread
                self._handshakes += 1
            self.counters.accepted += not full
            self.counters.rejected += full
        if full:
            connection.close()
            return
        thread.start()

    def _serve(self, transport: SocketTransport, connection: socket.socket) -> None:
        try:
            if self._open(transport, connection):
                self._answer(transport)
        finally:
            transport.close()
            with self._lock:
                self._transports.pop(transport, None)

    def _open(self, transport: SocketTransport, connection: socket.socket) -> bool:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _welcome(transport, self._secret)
        except (TException, OSError):
            self.counters.refused += 1
            return False
        finally:
            with self._lock:
                self._handshakes -= 1
        return True

    def _answer(self, transport: SocketTransport) -> None:
        protocol = self._protocols.getProtocol(TFramedTransport(transport, MAX_REQUEST_FRAME))
        while not self._closing:
            transport.deadline = self._clock() + SERVER_IDLE_TIME
            try:
                self._processor.process(protocol, protocol)
            except TTransportException as error:
                ends = (TTransportException.END_OF_FILE, TTransportException.TIMED_OUT)
                self.counters.broken += error.type not in ends
                return
            except Exception:
                # Whatever a frame made the decoder raise concerns this connection alone.
                self.counters.broken += 1
                return


def _quietly(action: Callable[[], None]) -> None:
    try:
        action()
    except OSError as error:
        _log.debug("socket call failed", extra={"error": str(error)})
