"""Extensions of the waitress server: threads on demand and shutdown."""

import threading
import time
import unittest

from catkinhook.wsgiserver import OnDemandDispatcher, Server, close_sockets

WAIT_S = 10.0


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
    """Shutdown of a server's event loop."""

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
