"""Requests that crash the replicas that run them, as clients, replicas and BUDGET see them."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standins import CONTACT_S, Arrival, Deployment, Replica, make_configuration

# Seconds of a load from the weight store and from disk, by model.
MODELS = {"daka510000": (7.8, 1.6), "nymi57a71f": (7.8, 1.6), "puvo87bda8": (7.8, 1.6)}
MACHINES = 4
REPLICAS = 5
# A replica that crashed is back after some seconds.
DOWN_S = 2.0
TRAFFIC_S = 60.0
# Pause between two requests that crash replicas, which come at the machines in turn.
PAUSE_S = 4.0
SOUND_PAUSE_S = 0.25
STREAM_DEADLINE_MS = 15000


class CrashCase:
    """Sound requests, and one that crashes a replica each ``PAUSE_S``.

    :param folder: folder of the case.
    :param is_deadly: whether the requests crash replicas.
    :param is_marked: tells whether a request is one that crashes replicas.
    :param crash_before: number of events of a run before which the replica crashes, from 0.
    """

    def __init__(
        self,
        folder: Path,
        is_deadly: bool,
        is_marked: Callable[[Arrival], bool],
        crash_before: int,
        is_framed: bool = True,
    ) -> None:
        self._is_deadly = is_deadly
        self._is_marked = is_marked
        self._crash_before = crash_before
        self.crashed_at: list[float] = []
        self._lock = threading.Lock()
        self.deployment = deployment = Deployment(folder, MACHINES)
        self.replicas = [
            Replica(
                f"e{number}",
                "huvo11a",
                ("tn-north-a", "tn-north-b", "tn-north-c")[number % 3],
                deployment.store,
                deployment.record,
                64,
                tuple(MODELS),
                MODELS,
            )
            for number in range(REPLICAS)
        ]
        for replica in self.replicas:
            replica.is_framed = is_framed
            replica.on_event = self._on_event

    def _on_event(self, replica: Replica, arrival: Arrival, number: int) -> bool:
        if not self._is_deadly or number != self._crash_before or not self._is_marked(arrival):
            return False
        with self._lock:
            self.crashed_at.append(self.deployment.record.now())
        replica.crash(DOWN_S)
        return True

    def run(
        self,
        make_deadly: Callable[[int], tuple[dict[str, str], bytes]],
        make_sound: Callable[[int], tuple[dict[str, str], bytes]],
    ) -> list[Arrival]:
        """Play the traffic; return the marked requests that reached replicas.

        :param make_deadly: returns headers and body of a request that crashes replicas.
        :param make_sound: returns those of a sound request.
        """
        deployment = self.deployment
        deployment.store.put("op", "config", make_configuration(MODELS))
        for replica in self.replicas:
            replica.start()
        deployment.start()
        # Traffic starts 12 s after the machines do; all are in touch then.
        time.sleep(5.0)
        sent: list[tuple[str, int, bytes]] = []

        def send(number: int, request: tuple[dict[str, str], bytes], what: str) -> None:
            machine = deployment.machines[number % MACHINES]
            headers, body = request
            path = "/lohu930/2f"
            sent.append(
                deployment.send(machine, "POST", path, headers, body, STREAM_DEADLINE_MS, what)
            )

        with ThreadPoolExecutor(64) as executor:
            begun, number, deadly = time.monotonic(), 0, 0
            while (passed := time.monotonic() - begun) < TRAFFIC_S:
                executor.submit(send, number, make_sound(number), "sound")
                if passed >= deadly * PAUSE_S:
                    executor.submit(send, deadly, make_deadly(deadly), "deadly")
                    deadly += 1
                number += 1
                time.sleep(SOUND_PAUSE_S)
        ok = sum(status == 200 for _, status, _ in sent)
        deployment.record.write("sum", sent=len(sent), answered_200=ok)
        return [a for r in self.replicas for a in r.arrivals if self._is_marked(a)]

    def judge(self, arrivals: list[Arrival], counted_crashes: int) -> bool:
        """Return whether more than three requests reached replicas too late.

        All machines run undisturbed and the store is stable throughout, so they are in touch.

        :param counted_crashes: the crash from which the requests are counted, after contact_ms.
        """
        record = self.deployment.record
        record.write("crashes", count=len(self.crashed_at))
        if len(self.crashed_at) < counted_crashes:
            record.write("held", reason=f"fewer than {counted_crashes} crashes")
            return False
        since = sorted(self.crashed_at)[counted_crashes - 1] + CONTACT_S
        late = [arrival for arrival in arrivals if arrival.at > since]
        is_broken = len(late) > 3
        record.write(
            "broken" if is_broken else "held", rule="BUDGET", since=f"{since:.3f}", late=len(late)
        )
        return is_broken
