"""Continuous batching of an emulated engine: each step generates a token per running request."""

import asyncio
import heapq
import itertools
import json
import time
from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

from catkinhook.emulators.faultinjection import Faults
from catkinhook.emulators.generation import (
    BYTES_PER_TOKEN,
    PREFIX_BLOCK_BYTES,
    Prompt,
    generate_tokens,
    hash_prefix_blocks,
)

IDLE_POLL_INTERVAL_S = 0.002
DONE = "[DONE]"


@attrs.frozen(kw_only=True)
class BatchSettings:
    """Speed and limits of an engine.

    :ivar step_time: seconds of a decoding step with one request.
    :ivar step_time_per_request: seconds added by each further running request.
    :ivar max_running: maximum batch size.
    :ivar max_waiting: maximum queue length; further requests are refused.
    :ivar prefill_rate: prompt tokens a second.
    :ivar prefill_per_step: maximum number of prompt tokens processed in one step.
    :ivar cache_blocks: capacity of the prefix cache in blocks.
    :ivar retention: seconds for which the events of a finished attempt can be resumed.
    """

    # At 200 concurrent requests a step takes 46 ms, the inter-token latency of the design scale.
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
    """One request in the engine and the events generated for it so far.

    :ivar events: rendered SSE events; the last one is ``[DONE]``.
    :ivar prefill_remaining: prompt tokens not processed yet.
    """

    attempt_id: str
    prompt: Prompt
    chat: bool
    tokens: Iterator[str]
    prefill_remaining: int = 0
    generated_tokens: int = 0
    events: list[bytes] = attrs.Factory(list)
    finished: bool = False
    cancelled: bool = False
    finished_at: float = 0.0
    _waiters: list[asyncio.Future] = attrs.Factory(list)

    async def wait_for_event(self, position: int) -> None:
        """Wait until there are more events than ``position`` or the attempt has finished."""
        while len(self.events) <= position and not self.finished:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    def notify_waiters(self) -> None:
        """Wake the tasks that wait for an event."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def finish(self, cancelled: bool = False) -> None:
        """Mark the attempt as finished."""
        self.finished, self.cancelled = True, cancelled
        self.finished_at = time.monotonic()
        self.notify_waiters()


class Batch:
    """Queue, running batch, prefix cache and recent attempts; confined to one event loop."""

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
        """Return whether the queue is full."""
        return len(self._waiting) >= self._settings.max_waiting

    @property
    def step_time(self) -> float:
        """Return the seconds of one decoding step at the current batch size."""
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
        """Cancel an attempt; returns False if it is unknown."""
        attempt = self.find(attempt_id)
        if attempt is None:
            return False
        if not attempt.finished:
            attempt.finish(cancelled=True)
            if attempt in self._running:
                self._running.remove(attempt)
            self._finished.append(attempt)
        return True

    def clear(self) -> None:
        """Discard all state, as a restart of the engine does."""
        for attempt in self._attempt_by_id.values():
            attempt.finish(cancelled=True)
        self._waiting.clear()
        self._running.clear()
        self._attempt_by_id.clear()
        self._finished.clear()
        self._cache.clear()

    async def run(self) -> None:
        """Run decoding steps until cancelled."""
        due = time.monotonic()
        while True:
            self._admit()
            self._expire_finished()
            if not self._running or self._faults.paused:
                await asyncio.sleep(IDLE_POLL_INTERVAL_S)
                due = time.monotonic()
                continue
            prefilled = self._prefill()
            due += self.step_time + prefilled / self._settings.prefill_rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            # A late step is not caught up on, since a burst of tokens would look like one step.
            due = max(due, time.monotonic() - self.step_time)
            self._decode()

    def _admit(self) -> None:
        while self._waiting and self.running < self._settings.max_running:
            _, _, attempt = heapq.heappop(self._waiting)
            if not attempt.finished:
                attempt.prefill_remaining = attempt.prompt.prompt_tokens - self._match_cache(
                    attempt
                )
                self._running.append(attempt)

    def _match_cache(self, attempt: Attempt) -> int:
        cached_tokens = 0
        hashes = hash_prefix_blocks(attempt.prompt)
        for prefix in hashes:
            if prefix not in self._cache:
                break
            cached_tokens += PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
            self.cached_blocks += 1
        # The shortest prefix becomes the most recently used, so eviction removes the longest first.
        for prefix in reversed(hashes):
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        while len(self._cache) > self._settings.cache_blocks:
            self._cache.popitem(last=False)
        return min(cached_tokens, attempt.prompt.prompt_tokens - 1)

    def _prefill(self) -> int:
        budget = self._settings.prefill_per_step
        for attempt in self._running:
            processed = min(budget, attempt.prefill_remaining)
            attempt.prefill_remaining -= processed
            budget -= processed
            if not budget:
                break
        return self._settings.prefill_per_step - budget

    def _decode(self) -> None:
        for attempt in list(self._running):
            if attempt.prefill_remaining == 0 and not attempt.finished:
                self._generate_token(attempt)

    def _generate_token(self, attempt: Attempt) -> None:
        token = next(attempt.tokens)
        attempt.generated_tokens += 1
        self.tokens_made += 1
        last = attempt.generated_tokens == attempt.prompt.tokens
        attempt.events.append(self._render_event(attempt, _render_chunk(attempt, token, last)))
        if last:
            attempt.events.append(self._render_event(attempt, DONE))
            self._running.remove(attempt)
            self._finished.append(attempt)
            attempt.finish()
        else:
            attempt.notify_waiters()

    def _render_event(self, attempt: Attempt, data: str) -> bytes:
        owner = attempt.attempt_id
        if self._faults.cross_events and self._faults.consume("cross_events"):
            others = (other.attempt_id for other in self._running if other is not attempt)
            owner = next(others, f"other-{owner}")
        return f"id: {owner}:{len(attempt.events) + 1}\ndata: {data}\n\n".encode()

    def _expire_finished(self) -> None:
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


def render_completion(attempt: Attempt) -> dict:
    """Return the complete response of a finished attempt in the format of the completion APIs."""
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
