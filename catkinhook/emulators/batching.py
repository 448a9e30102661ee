"""Continuous batching of an emulated engine: one step makes a token for each running request."""

import asyncio
import heapq
import itertools
import json
import time
from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

from catkinhook.emulators.faults import Faults
from catkinhook.emulators.generation import (
    BYTES_PER_TOKEN,
    PREFIX_BLOCK_BYTES,
    Prompt,
    generate_tokens,
    hash_prefixes,
)

IDLE_POLL_S = 0.002
DONE = "[DONE]"


@attrs.frozen(kw_only=True)
class BatchSettings:
    """Speed and limits of an engine.

    :ivar step_time: seconds of a decoding step with one request.
    :ivar step_time_per_request: seconds that each further running request adds.
    :ivar max_running: requests in the batch.
    :ivar max_waiting: requests queued, beyond which the engine refuses.
    :ivar prefill_rate: prompt tokens a second.
    :ivar prefill_per_step: prompt tokens processed in one step at most.
    :ivar cache_blocks: prefix blocks that the cache holds.
    :ivar retention: seconds for which the events of a finished attempt can be resumed.
    """

    # 200 requests at once decode at 46 ms a token, the design scale's inter-token latency.
    step_time: float = 0.020
    step_time_per_request: float = 0.00013
    max_running: int = 256
    max_waiting: int = 1024
    prefill_rate: float = 50_000.0
    prefill_per_step: int = 2048
    cache_blocks: int = 4096
    retention: float = 60.0


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One request in the engine and the events made for it so far.

    :ivar events: rendered SSE events, of which the last one is ``[DONE]``.
    :ivar prefill_left: prompt tokens that are still to be processed.
    """

    attempt_id: str
    prompt: Prompt
    chat: bool
    tokens: Iterator[str]
    prefill_left: int = 0
    made: int = 0
    events: list[bytes] = attrs.Factory(list)
    finished: bool = False
    cancelled: bool = False
    finished_at: float = 0.0
    _waiters: list[asyncio.Future] = attrs.Factory(list)

    async def wait(self, position: int) -> None:
        """Return when there are more events than ``position`` or the attempt is over."""
        while len(self.events) <= position and not self.finished:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    def wake(self) -> None:
        """Wake all that wait for an event."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def end(self, cancelled: bool = False) -> None:
        """End the attempt."""
        self.finished, self.cancelled = True, cancelled
        self.finished_at = time.monotonic()
        self.wake()


class Batch:
    """Queue, running batch, prefix cache and recent attempts; used on one loop only."""

    def __init__(self, settings: BatchSettings, faults: Faults) -> None:
        self.tokens_made = 0
        self.cached_blocks = 0
        self._settings = settings
        self._faults = faults
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, Attempt]] = []
        self._running: list[Attempt] = []
        self._attempt_by_id: dict[str, Attempt] = {}
        self._finished: deque[Attempt] = deque()
        self._cache: OrderedDict[str, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(not attempt.finished for _, _, attempt in self._waiting)

    @property
    def is_full(self) -> bool:
        """Return whether no further request can be queued."""
        return len(self._waiting) >= self._settings.max_waiting

    @property
    def step_time(self) -> float:
        """Return the seconds of one decoding step at the present batch size."""
        settings = self._settings
        return settings.step_time + settings.step_time_per_request * max(0, self.running - 1)

    def list_prefixes(self, limit: int) -> list[str]:
        """Return the hashes of cached prefixes, most recently used first."""
        return list(itertools.islice(reversed(self._cache), limit))

    def add(self, attempt_id: str, prompt: Prompt, chat: bool, priority: int) -> Attempt:
        """Queue a request; a lower ``priority`` number is served first."""
        attempt = Attempt(
            attempt_id=attempt_id, prompt=prompt, chat=chat, tokens=generate_tokens(prompt)
        )
        self._attempt_by_id[attempt_id] = attempt
        heapq.heappush(self._waiting, (priority, next(self._arrivals), attempt))
        return attempt

    def find(self, attempt_id: str) -> Attempt | None:
        """Return a running or recently finished attempt."""
        return self._attempt_by_id.get(attempt_id)

    def cancel(self, attempt_id: str) -> bool:
        """End an attempt early; false when it is unknown."""
        attempt = self.find(attempt_id)
        if attempt is None:
            return False
        if not attempt.finished:
            attempt.end(cancelled=True)
            if attempt in self._running:
                self._running.remove(attempt)
            self._finished.append(attempt)
        return True

    def clear(self) -> None:
        """Forget everything, as a restarted engine does."""
        for attempt in self._attempt_by_id.values():
            attempt.end(cancelled=True)
        self._waiting.clear()
        self._running.clear()
        self._attempt_by_id.clear()
        self._finished.clear()
        self._cache.clear()

    async def run(self) -> None:
        """Make steps until cancelled."""
        due = time.monotonic()
        while True:
            self._admit()
            self._forget()
            if not self._running or self._faults.paused:
                await asyncio.sleep(IDLE_POLL_S)
                due = time.monotonic()
                continue
            prefilled = self._prefill()
            due += self.step_time + prefilled / self._settings.prefill_rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            # A late step is not made up for, since a burst of tokens would look like one step.
            due = max(due, time.monotonic() - self.step_time)
            self._decode()

    def _admit(self) -> None:
        while self._waiting and self.running < self._settings.max_running:
            _, _, attempt = heapq.heappop(self._waiting)
            if not attempt.finished:
                attempt.prefill_left = attempt.prompt.prompt_tokens - self._use_cache(attempt)
                self._running.append(attempt)

    def _use_cache(self, attempt: Attempt) -> int:
        cached = 0
        hashes = hash_prefixes(attempt.prompt)
        for prefix in hashes:
            if prefix not in self._cache:
                break
            cached += PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
            self.cached_blocks += 1
        # The shortest prefix is used last, so that eviction takes the longest ones first.
        for prefix in reversed(hashes):
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        while len(self._cache) > self._settings.cache_blocks:
            self._cache.popitem(last=False)
        return min(cached, attempt.prompt.prompt_tokens - 1)

    def _prefill(self) -> int:
        left = self._settings.prefill_per_step
        for attempt in self._running:
            part = min(left, attempt.prefill_left)
            attempt.prefill_left -= part
            left -= part
            if not left:
                break
        return self._settings.prefill_per_step - left

    def _decode(self) -> None:
        for attempt in list(self._running):
            if attempt.prefill_left == 0 and not attempt.finished:
                self._make_token(attempt)

    def _make_token(self, attempt: Attempt) -> None:
        token = next(attempt.tokens)
        attempt.made += 1
        self.tokens_made += 1
        last = attempt.made == attempt.prompt.tokens
        attempt.events.append(self._render_event(attempt, _render_chunk(attempt, token, last)))
        if last:
            attempt.events.append(self._render_event(attempt, DONE))
            self._running.remove(attempt)
            self._finished.append(attempt)
            attempt.end()
        else:
            attempt.wake()

    def _render_event(self, attempt: Attempt, data: str) -> bytes:
        owner = attempt.attempt_id
        if self._faults.cross_events and self._faults.consume("cross_events"):
            others = (other.attempt_id for other in self._running if other is not attempt)
            owner = next(others, f"other-{owner}")
        return f"id: {owner}:{len(attempt.events) + 1}\ndata: {data}\n\n".encode()

    def _forget(self) -> None:
        limit = time.monotonic() - self._settings.retention
        while self._finished and self._finished[0].finished_at < limit:
            attempt = self._finished.popleft()
            if self._attempt_by_id.get(attempt.attempt_id) is attempt:
                del self._attempt_by_id[attempt.attempt_id]


def _render_chunk(attempt: Attempt, token: str, last: bool) -> str:
    choice = {"index": 0, "finish_reason": "stop" if last else None}
    if attempt.chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    kind = "chat.completion.chunk" if attempt.chat else "text_completion"
    return json.dumps(
        {
            "id": attempt.attempt_id,
            "object": kind,
            "model": attempt.prompt.model,
            "choices": [choice],
        }
    )


def render_answer(attempt: Attempt) -> dict:
    """Return the whole answer of a finished attempt as the completion APIs shape it."""
    text = "".join(generate_tokens(attempt.prompt))
    choice: dict = {"index": 0, "finish_reason": "stop"}
    if attempt.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": attempt.prompt.prompt_tokens,
        "completion_tokens": attempt.prompt.tokens,
        "total_tokens": attempt.prompt.prompt_tokens + attempt.prompt.tokens,
    }
    kind = "chat.completion" if attempt.chat else "text_completion"
    return {
        "id": attempt.attempt_id,
        "object": kind,
        "model": attempt.prompt.model,
        "choices": [choice],
        "usage": usage,
    }
