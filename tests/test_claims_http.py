"""Claims over HTTP with group commit, against the emulated platform and a plain service."""

import threading
import unittest

import urllib3

from catkinhook.durable.claimanswers import Answer, AnswerStore
from catkinhook.durable.claims import ClaimStore
from catkinhook.durable.claimtypes import ClaimAcquired
from catkinhook.durable.claimwriter import ClaimWriter
from catkinhook.emulators.plainservice import PlainService, PlainServiceSettings
from catkinhook.emulators.platform import Platform, PlatformEmulatorSettings
from catkinhook.errors import Ran
from catkinhook.state.objectstore import HttpObjectStore
from catkinhook.state.tableservice import HttpTable

GATEWAYS = 4
THREADS = 6
KEYS = 30
TIMEOUT_S = 20.0


class Gateway:
    """Claim store of one gateway, with its own connections and a client of the plain service."""

    def __init__(self, platform: Platform, service: PlainService) -> None:
        table = HttpTable(platform.url, TIMEOUT_S)
        self.writer = ClaimWriter(table, delay=0.002)
        answers = AnswerStore(HttpObjectStore(platform.url, TIMEOUT_S), "claims")
        self.claims = ClaimStore(table, answers, self.writer.commit, TIMEOUT_S, 1000.0)
        self._url = f"http://{service.address}/postings"
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=THREADS)

    def start(self) -> None:
        self.writer.start()
        self.claims.start()

    def close(self) -> None:
        self.claims.close()
        self.writer.close()
        self._http.clear()

    def post(self, key: str):
        acquired = self.claims.acquire(key, "hash", TIMEOUT_S)
        if acquired.is_err() or not isinstance(acquired.unwrap(), ClaimAcquired):
            return acquired.map(lambda replay: replay.answer)
        sent = self.claims.mark_sent(acquired.unwrap().claim)
        if sent.is_err():
            return sent
        claim = sent.unwrap()
        try:
            response = self._http.request(
                "POST", self._url, body=key.encode(), headers={"Idempotency-Key": key}
            )
        except urllib3.exceptions.HTTPError:
            self.claims.mark_lost(claim)
            return self.claims.try_acquire(key, "hash")
        if response.headers.get("X-Not-Run"):
            return self.claims.release_not_run(claim)
        answer = Answer(status=response.status, headers={}, body=response.data)
        self.claims.complete(claim, answer)
        return acquired.map(lambda _: answer)


class ClaimsHttpTest(unittest.TestCase):
    def test_service_that_refuses(self) -> None:
        """Guards against a key that stays claimed after its endpoint refused to execute it."""
        self.check_one_execution_and_one_answer({"refuse": 3}, lost=0)

    def test_service_that_loses_answers(self) -> None:
        """Guards against a second execution of a request whose answer was lost."""
        self.check_one_execution_and_one_answer({"lose_answers": 3}, lost=3)

    def check_one_execution_and_one_answer(self, faults: dict[str, int], lost: int) -> None:
        platform = Platform(PlatformEmulatorSettings())
        service = PlainService(PlainServiceSettings())
        platform.start()
        self.addCleanup(platform.close)
        service.start()
        self.addCleanup(service.close)
        gateways = [Gateway(platform, service) for _ in range(GATEWAYS)]
        for gateway in gateways:
            gateway.start()
            self.addCleanup(gateway.close)
        platform.faults.set_switches({"lose_answers": 12})
        service.faults.set_switches(faults)
        results: dict[str, list] = {f"key {number}": [] for number in range(KEYS)}

        def work(gateway: Gateway, first: int) -> None:
            keys = list(results)
            # Threads of one gateway start at different keys, so that one group has many changes.
            for key in keys[first:] + keys[:first]:
                results[key].append(gateway.post(key))

        threads = [
            threading.Thread(target=work, args=(gateway, number * KEYS // THREADS))
            for gateway in gateways
            for number in range(THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(2 * TIMEOUT_S)
        runs = service.count_runs()
        self.assertEqual(runs, dict.fromkeys(results, 1))
        unknown_count = 0
        for key, outcomes in results.items():
            self.assertEqual(len(outcomes), GATEWAYS * THREADS, key)
            answers = {r.unwrap().body for r in outcomes if isinstance(r.ok(), Answer)}
            unknown = any(r.is_err() and r.unwrap_err().ran is Ran.UNKNOWN for r in outcomes)
            self.assertEqual(len(answers) + unknown, 1, f"{key}: {outcomes}")
            unknown_count += unknown
        self.assertEqual(unknown_count, lost)
        written = sum(gateway.writer.changes_written for gateway in gateways)
        groups = sum(gateway.writer.groups_written for gateway in gateways)
        self.assertLess(groups, written, "no two changes shared a transaction")
