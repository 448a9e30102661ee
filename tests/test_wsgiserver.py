"""Extensions of the waitress server: threads on demand and shutdown."""

import contextlib
import random
import re
import socket
import threading
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from catkinhook.taskdispatcher import OnDemandDispatcher
from catkinhook.wsgiserver import Server, close_sockets
from tests.stopping_host import Caller, End

WAIT_S = 10.0
CALLERS = 40


def split_answers(data: bytes) -> list[int]:
    """Return the statuses of the answers on one connection.

    :raises AssertionError: if there are other bytes, or an answer is incomplete.
    """
    statuses = []
    while data:
        head, separator, data = data.partition(b"\r\n\r\n")
        assert separator and head.startswith(b"HTTP/1.1 "), head
        length = int(re.search(rb"(?i)content-length: (\d+)", head).group(1))
        assert len(data) >= length, data
        statuses.append(int(head[9:12]))
        data = data[length:]
    return statuses


class Task:
    """Task that runs until an event is set."""

    def __init__(self, release: threading.Event) -> None:
        self._release = release
        self.is_started = threading.Event()

    def service(self) -> None:
        """Run."""
        self.is_started.set()
        self._release.wait(WAIT_S)


class DispatcherTest(unittest.TestCase):
    """Threads are started on demand."""

    def test_each_queued_task_gets_a_thread_up_to_the_limit(self) -> None:
        """An idle process must not have 230 threads, and tasks must not wait for one thread."""
        dispatcher, release = OnDemandDispatcher(3), threading.Event()
        self.assertEqual(len(dispatcher.threads), 1)
        tasks = [Task(release) for _ in range(4)]
        for task in tasks:
            dispatcher.add_task(task)
        for task in tasks[:3]:
            self.assertTrue(task.is_started.wait(WAIT_S))
        self.assertEqual(len(dispatcher.threads), 3)
        self.assertFalse(tasks[3].is_started.is_set())
        release.set()
        self.assertTrue(tasks[3].is_started.wait(WAIT_S))
        dispatcher.shutdown(timeout=1)


class CloseTest(unittest.TestCase):
    """Closing of connections, and shutdown of a server's event loop."""

    def test_request_that_crosses_the_close_of_its_connection_is_not_read(self) -> None:
        """A request must not be read from a connection that is about to close, and then dropped.

        The caller of a request that the server did not read may send it again; one whose
        connection ends after the server has read it can't know whether it ran.
        """

        def answer(environ: dict, start_response: Callable) -> list[bytes]:
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        server = Server(answer, map={}, host="127.0.0.1", port=0, asyncore_use_poll=True)
        is_waiting, may_poll = threading.Event(), threading.Event()
        may_poll.set()
        readable = server.readable

        def wait_before_poll() -> bool:
            is_waiting.set()
            may_poll.wait(WAIT_S)
            return readable()

        server.readable = wait_before_poll
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        address = f"127.0.0.1:{server.effective_port}"
        with ThreadPoolExecutor(1) as executor, contextlib.closing(Caller(address)) as caller:
            self.assertEqual(caller.send("1", "/look/x", 0.0, 1.0).status, 200)
            may_poll.clear()
            is_waiting.clear()
            server.pull_trigger()
            self.assertTrue(is_waiting.wait(WAIT_S))
            # The loop finds the request and the order to close in the same poll.
            request = executor.submit(caller.send, "2", "/look/x", 0.0, 1.0)
            time.sleep(0.2)
            server.close_idle()
            may_poll.set()
            self.assertEqual(request.result(WAIT_S).end, End.NOT_READ)
        server.shut_down()
        thread.join(WAIT_S)

    def test_request_that_ends_while_the_process_stops_gets_one_answer(self) -> None:
        """A caller must not get two answers, nor bytes after its answer, when both are ready."""
        rng = random.Random(7)
        works_s = [rng.uniform(0.0, 0.2) for _ in range(CALLERS)]

        def answer(environ: dict, start_response: Callable) -> list[bytes]:
            time.sleep(float(environ["PATH_INFO"][1:]))
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        server = Server(
            answer,
            map={},
            host="127.0.0.1",
            port=0,
            dispatcher=OnDemandDispatcher(CALLERS - 4),
            asyncore_use_poll=True,
            channel_request_lookahead=1,
        )
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()

        def exchange(number: int) -> bytes:
            with socket.create_connection(("127.0.0.1", int(server.effective_port))) as connection:
                connection.settimeout(WAIT_S)
                request = f"GET /{works_s[number]} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
                connection.sendall(request * (1 + number % 2))
                data = b""
                while part := connection.recv(65536):
                    data += part
                return data

        with ThreadPoolExecutor(CALLERS) as executor:
            results = [executor.submit(exchange, number) for number in range(CALLERS)]
            time.sleep(0.1)
            answered = server.answer_unfinished(WAIT_S)
            server.finish()
            answers = [split_answers(result.result(WAIT_S)) for result in results]
        server.shut_down()
        thread.join(WAIT_S)
        statuses = [status for statuses in answers for status in statuses]
        self.assertEqual(len(answered), statuses.count(502) + statuses.count(503))
        self.assertGreater(statuses.count(200), 0)
        self.assertGreater(statuses.count(502), 0)
        for number, found in enumerate(answers):
            self.assertIn(len(found), range(1, 2 + number % 2))

    def test_close_while_another_trigger_pull_wakes_the_loop(self) -> None:
        """No "Bad file descriptor" is raised if the loop closes its pipe before the write to it.

        The error occurred once, in a run of all tests with other load on the machine.
        """
        sockets: dict = {}
        server = Server(lambda environ, start: [], map=sockets, host="127.0.0.1", port=0)
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        write = server.trigger._physical_pull

        def pull_late() -> None:
            write()
            deadline = time.monotonic() + WAIT_S
            while server.trigger._fds and time.monotonic() < deadline:
                time.sleep(0.01)
            write()

        server.trigger._physical_pull = pull_late
        close_sockets(server, sockets)
        thread.join(WAIT_S)
        self.assertFalse(thread.is_alive())
        server.task_dispatcher.shutdown(timeout=1)


if __name__ == "__main__":
    unittest.main()
