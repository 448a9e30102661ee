"""Service-time model of one engine: continuous batching, speed, prefix cache, loads, crashes."""

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable

import attrs

from catkinhook.requests.gatewaydispatcher import Request

TOKENS_PER_SECOND = 50.0  # of one request alone on an engine of speed 1
BATCH_KNEE = 12.0  # requests at which each runs at half the speed of one alone
MAX_BATCH = 64
PREFILL_FACTOR = 40.0  # prompt tokens that take as long as one output token
CACHED_PREFIXES = 24
CACHED_SHARE = 0.6  # of a prompt whose longest prefix is cached
CRASH_AFTER_S = 0.2


@attrs.define(eq=False)
class Job:
    """One attempt on an engine."""

    attempt_id: str
    request: Request
    priority: int
    on_first_token: Callable
    on_completed: Callable
    on_crashed: Callable
    crashes: bool = False


class Engine:
    """Engine whose requests share it equally, so each one slows down as the batch grows.

    Progress is measured in tokens per running request, so the first token and the end of a request
    are fixed targets on that scale even when the rate changes before they are reached.

    :param schedule: ``schedule(at, function)`` of the virtual clock.
    """

    def __init__(self, endpoint: str, zone: str, speed: float, memory: int, schedule) -> None:
        self.endpoint, self.zone, self.memory = endpoint, zone, memory
        self.speed, self.speed_factor = speed, 1.0
        self.boot_number = 0
        self.alive = True
        self.restarting = False
        self.resident: dict[str, int] = {}
        self.loading: dict[str, int] = {}
        self.draining: dict[str, int] = {}
        self._schedule = schedule
        self._running: set[Job] = set()
        self._waiting: list[tuple[int, int, Job]] = []
        self._requests_by_model: Counter[str] = Counter()
        self._targets: list[tuple[float, int, str, Job]] = []
        self._sequence = 0
        self._schedule_version = 0
        self._progress = 0.0
        self._advanced_at = 0.0
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    @property
    def used_memory(self) -> int:
        """Return the bytes of memory in use, including loads and unloads in progress."""
        item_groups = (self.resident, self.loading, self.draining)
        return sum(sum(items.values()) for items in item_groups)

    def rate(self) -> float:
        """Return the tokens per second of each request in the batch."""
        single_rate = TOKENS_PER_SECOND * self.speed * self.speed_factor
        return single_rate / (1.0 + len(self._running) / BATCH_KNEE)

    def can_run(self, request: Request) -> bool:
        """Return whether the model and adapter of a request are resident."""
        item = f"{request.model}/{request.adapter}" if request.adapter else request.model
        return self.alive and item in self.resident and request.model in self.resident

    def submit(self, job: Job, now: float) -> None:
        """Queue an attempt."""
        self._sequence += 1
        self._requests_by_model[job.request.model] += 1
        heapq.heappush(self._waiting, (job.priority, self._sequence, job))
        if job.crashes:
            boot_number = self.boot_number
            self._schedule(
                now + CRASH_AFTER_S, lambda t: self.boot_number == boot_number and self.crash(t)
            )
        self._advance(now)
        self._fill_batch(now)

    def set_speed_factor(self, factor: float, now: float) -> None:
        """Set the factor by which the engine's speed is multiplied."""
        self._advance(now)
        self.speed_factor = factor
        self._schedule_next_target(now)

    def unload(self, item: str, now: float) -> None:
        """Unload an item; its memory is released when the requests that use it have ended."""
        if item in self.resident:
            self.draining[item] = self.resident.pop(item)
            self._release_drained()

    def crash(self, now: float) -> None:
        """Crash: lose all requests and models."""
        if not self.alive:
            return
        jobs = list(self._running) + [job for _, _, job in self._waiting]
        self.alive = False
        self.boot_number += 1
        self._running.clear()
        self._waiting.clear()
        self._targets.clear()
        self._requests_by_model.clear()
        self._prefixes.clear()
        self._schedule_version += 1
        for items in (self.resident, self.loading, self.draining):
            items.clear()
        for job in sorted(jobs, key=lambda job: job.attempt_id):
            job.on_crashed(job, now)

    def restart(self, now: float) -> None:
        """Restart without models."""
        self.alive, self.restarting = True, False
        self._advanced_at = now

    def _advance(self, now: float) -> None:
        if self._running:
            self._progress += (now - self._advanced_at) * self.rate()
        self._advanced_at = now

    def _fill_batch(self, now: float) -> None:
        while self._waiting and len(self._running) < MAX_BATCH:
            job = heapq.heappop(self._waiting)[2]
            self._running.add(job)
            prefill = self._uncached_tokens(job.request) / PREFILL_FACTOR
            self._push_target(self._progress + prefill + 1.0, "first", job)
            total = prefill + max(1, job.request.output_tokens)
            self._push_target(self._progress + total, "done", job)
        self._schedule_next_target(now)

    def _uncached_tokens(self, request: Request) -> float:
        is_cached = bool(request.prefixes) and request.prefixes[-1] in self._prefixes
        for prefix in request.prefixes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return request.prompt_tokens * (1.0 - CACHED_SHARE if is_cached else 1.0)

    def _push_target(self, target: float, kind: str, job: Job) -> None:
        self._sequence += 1
        heapq.heappush(self._targets, (target, self._sequence, kind, job))

    def _schedule_next_target(self, now: float) -> None:
        self._schedule_version += 1
        if self._targets:
            version = self._schedule_version
            at = now + max(0.0, self._targets[0][0] - self._progress) / self.rate()
            self._schedule(
                at, lambda t: self._schedule_version == version and self._reach_target(t)
            )

    def _reach_target(self, now: float) -> None:
        self._advance(now)
        target, _, kind, job = heapq.heappop(self._targets)
        self._progress = max(self._progress, target)
        if kind == "first":
            job.on_first_token(job, now)
        else:
            self._running.discard(job)
            self._requests_by_model[job.request.model] -= 1
            job.on_completed(job, now)
            self._release_drained()
        if self.alive:
            self._fill_batch(now)

    def _release_drained(self) -> None:
        for item in [i for i in self.draining if self._requests_by_model[i.partition("/")[0]] <= 0]:
            del self.draining[item]
