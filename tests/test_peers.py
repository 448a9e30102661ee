"""Peer connections: authentication, malformed input, limits, reuse and timeouts."""

import contextlib
import random
import resource
import socket
import threading
import time
import unittest
from unittest import mock

from catkinhook.addresses import split_address
from catkinhook.peering import peers
from catkinhook.peering.peers import PeerClient, PeerPool, PeerServer, SocketTransport
from catkinhook.thrift_gen import ttypes
from catkinhook.units import KIB

# Version and message type at the start of a reply in the binary protocol.
REPLY_HEADER = b"\x80\x01\x00\x02"
SECRET = b"sixteen bytes or more"


class Handler:
    """Handler with configurable delay and failures."""

    def __init__(self) -> None:
        self.delay = 0.0
        self.calls = 0

    def changes_after(self, number: int) -> ttypes.ChangeBatch:
        self.calls += 1
        time.sleep(self.delay)
        if number < 0:
            raise ttypes.Refused("configuration", "", "no copy yet")
        return ttypes.ChangeBatch(number + 1, [])


class RepeatingTransport(SocketTransport):
    """Transport that writes each reply twice; calls and the handshake are written once."""

    def write(self, data: bytes) -> None:
        is_reply = data[4:8] == REPLY_HEADER
        super().write(data + data if is_reply else data)


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.handler = Handler()
        self.server = self.start_server()

    def start_server(self, **options) -> PeerServer:
        server = PeerServer("127.0.0.1:0", self.handler, SECRET, **options)
        server.start()
        self.addCleanup(server.close)
        return server

    def make_client(self, secret: bytes = SECRET, timeout: float = 5.0) -> PeerClient:
        client = PeerClient(self.server.address, secret, timeout)
        self.addCleanup(client.close)
        return client

    def connect(self, address: str = "") -> socket.socket:
        connection = socket.create_connection(split_address(address or self.server.address), 5)
        self.addCleanup(connection.close)
        return connection

    def test_calls_reuse_one_connection(self) -> None:
        pool = PeerPool(SECRET, 5.0)
        self.addCleanup(pool.close)
        for number in range(5):
            answer = pool.call(self.server.address, "changes_after", number).unwrap()
            self.assertEqual(answer.number, number + 1)
        self.assertEqual(self.server.counters.accepted, 1)

    def test_refusal_carries_step_and_reason(self) -> None:
        error = self.make_client().call("changes_after", -1).unwrap_err()
        self.assertEqual((error.step, error.reason), ("configuration", "no copy yet"))

    def test_client_with_wrong_secret_is_refused(self) -> None:
        result = self.make_client(b"another secret than theirs").call("changes_after", 1)
        self.assertTrue(result.is_err())
        self.assertEqual((self.handler.calls, self.server.counters.handshake_failures), (0, 1))

    def test_server_with_wrong_secret_is_refused(self) -> None:
        """A client must not send calls to a server that has not proved that it knows the secret."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        received = []

        def impersonate() -> None:
            connection, _ = listener.accept()
            connection.settimeout(5)
            connection.recv(100)
            connection.sendall(bytes(peers.NONCE_BYTES))
            connection.recv(100)
            connection.sendall(bytes(peers.PROOF_BYTES))
            received.append(connection.recv(100))
            connection.close()

        thread = threading.Thread(target=impersonate)
        thread.start()
        client = PeerClient(f"127.0.0.1:{listener.getsockname()[1]}", SECRET, 5.0)
        error = client.call("changes_after", 1).unwrap_err()
        thread.join(10)
        self.assertIn("another secret", error.reason)
        self.assertEqual(received, [b""])

    def test_replayed_proof_is_refused(self) -> None:
        """A proof must be valid for one connection only."""
        nonce = bytes(peers.NONCE_BYTES)
        answers = []
        proof = b""
        for _ in range(2):
            connection = self.connect()
            connection.sendall(peers.MAGIC + nonce)
            server_nonce = connection.recv(peers.NONCE_BYTES, socket.MSG_WAITALL)
            proof = proof or peers.compute_proof(SECRET, b"client", nonce, server_nonce)
            connection.sendall(proof)
            answers.append(connection.recv(peers.PROOF_BYTES))
        self.assertEqual([len(answer) for answer in answers], [peers.PROOF_BYTES, 0])

    def test_malformed_input_ends_only_its_own_connection(self) -> None:
        """Malformed input must not end the process, leak threads or use much memory."""
        rng = random.Random(7)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for round_number in range(150):
            connection = self.connect()
            authenticated = round_number % 2
            if authenticated:
                nonce = rng.randbytes(peers.NONCE_BYTES)
                connection.sendall(peers.MAGIC + nonce)
                server_nonce = connection.recv(peers.NONCE_BYTES, socket.MSG_WAITALL)
                connection.sendall(peers.compute_proof(SECRET, b"client", nonce, server_nonce))
                connection.recv(peers.PROOF_BYTES, socket.MSG_WAITALL)
            # The server may close the connection before all bytes are sent.
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                connection.sendall(self._make_malformed_input(rng, round_number))
            connection.close()
        self._wait_for(lambda: not self.server._thread_by_transport)
        grown_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        self.assertLess(grown_kib, 64 * KIB)
        self.assertEqual(self.make_client().call("changes_after", 1).unwrap().number, 2)

    def _make_malformed_input(self, rng: random.Random, round_number: int) -> bytes:
        huge_frame = (2**31 - 1).to_bytes(4, "big")
        # A call of ``exchange`` whose digest lists as many empty members as fit in a frame.
        head = b"\x80\x01\x00\x01\x00\x00\x00\x08exchange\x00\x00\x00\x00"
        count = 4_000_000 if round_number < 16 else 0
        body = head + b"\x0c\x00\x01\x0f\x00\x02\x0c" + count.to_bytes(4, "big") + bytes(count)
        long_list = len(body).to_bytes(4, "big") + body
        noise = rng.randbytes(2000)
        framed_noise = len(noise).to_bytes(4, "big") + noise
        return (huge_frame + noise, long_list, framed_noise, noise)[round_number // 2 % 4]

    def _wait_for(self, condition) -> None:
        deadline = time.monotonic() + 20
        while not condition() and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertTrue(condition())

    def test_connections_are_limited(self) -> None:
        server = self.start_server(max_connections=2)
        clients = [PeerClient(server.address, SECRET, 5.0) for _ in range(3)]
        results = [client.call("changes_after", 1).is_ok() for client in clients]
        self.assertEqual(results, [True, True, False])
        clients[0].close()
        self._wait_for(lambda: clients[2].call("changes_after", 1).is_ok())
        for client in clients:
            client.close()

    def test_idle_unauthenticated_connections_do_not_block_peers(self) -> None:
        """Unauthenticated connections must not use up the connection limit."""
        for _ in range(peers.MAX_HANDSHAKES + 8):
            self.connect()
        self._wait_for(lambda: self.make_client().call("changes_after", 1).is_ok())

    def test_late_reply_is_not_read_as_the_next(self) -> None:
        client = self.make_client(timeout=0.3)
        self.handler.delay = 0.6
        self.assertTrue(client.call("changes_after", 10).is_err())
        self.handler.delay = 0.0
        time.sleep(0.5)
        self.assertEqual(client.call("changes_after", 20).unwrap().number, 21)

    def test_repeated_reply_is_not_read_as_the_next(self) -> None:
        """Guards against using an idle connection on which bytes wait that belong to no call."""
        client = self.make_client()
        with mock.patch.object(peers, "SocketTransport", RepeatingTransport):
            self.assertEqual(client.call("changes_after", 10).unwrap().number, 11)
            time.sleep(0.1)
            self.assertEqual(client.call("changes_after", 20).unwrap().number, 21)

    def test_reconnects_after_the_server_restarted(self) -> None:
        client = self.make_client()
        client.call("changes_after", 1).unwrap()
        self.server.close()
        self.assertTrue(client.call("changes_after", 1).is_err())
        restarted = PeerServer(self.server.address, self.handler, SECRET)
        restarted.start()
        self.addCleanup(restarted.close)
        self.assertTrue(client.call("changes_after", 1).is_ok())


if __name__ == "__main__":
    unittest.main()
