"""Actor that owns the dispatcher and the burn counters, and its proxy for other threads."""

import contextlib
from collections.abc import Callable

import pykka
from result import Err, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import Ran, Refusal
from catkinhook.operations.burn import Bucket, BurnCounters
from catkinhook.requests.gatewaydispatcher import Choice, Dispatcher, Request
from catkinhook.requests.outcomes import Outcome
from catkinhook.state.gatewayreports import make_suspect_events
from catkinhook.state.views import Snapshot

STEP = "dispatch"

# A decision takes well under a millisecond, so an actor that takes this long is not responding.
ASK_TIMEOUT_S = 5.0


class DispatchActor(pykka.ThreadingActor):
    """Actor that runs one call of the dispatcher at a time."""

    use_daemon_thread = True

    def __init__(self, dispatcher: Dispatcher) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._burn = BurnCounters()

    def on_receive(self, message: Callable[[Dispatcher, BurnCounters], object]) -> object:
        """Apply a function to the state that this actor owns."""
        return message(self._dispatcher, self._burn)


class DispatcherProxy:
    """Interface to the dispatcher for threads of the request path.

    Calls that return a decision block; other calls are queued and return at once.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock = monotonic) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._actor: pykka.ActorRef | None = None

    def start(self) -> None:
        """Start the actor."""
        self._actor = DispatchActor.start(self._dispatcher)

    def close(self) -> None:
        """Stop the actor after the queued calls."""
        self._actor.stop()

    def now(self) -> float:
        """Return the time of the clock that decisions use, in seconds."""
        return self._clock()

    def update(self, snapshot: Snapshot) -> None:
        """Replace the snapshot by a newer one."""
        now = self._clock()
        events = make_suspect_events(snapshot.suspects, now)

        def merge(dispatcher: Dispatcher, burn: BurnCounters) -> None:
            dispatcher.suspects.merge(events, now)
            dispatcher.update(snapshot, now)

        self.tell(merge)

    def begin(self, request: Request) -> Result[Choice, Refusal]:
        """Admit a request and choose the endpoint of its first attempt.

        After ``Ok`` the request must be released; a refused request is already counted.
        """
        now = self._clock()

        def decide(dispatcher: Dispatcher, burn: BurnCounters) -> Result[Choice, Refusal]:
            admitted = dispatcher.admit(request, now)
            picked = admitted.and_then(lambda _: dispatcher.pick(request, now))
            if picked.is_err():
                if admitted.is_ok():
                    dispatcher.release(request, False, now)
                burn.record(request.document.service, request.class_name, False, now)
            return picked

        return self._decide(decide)

    def release(self, request: Request, met_targets: bool) -> None:
        """Release an admitted request, and count it for the burn report."""
        now = self._clock()

        def change(dispatcher: Dispatcher, burn: BurnCounters) -> None:
            dispatcher.release(request, met_targets, now)
            burn.record(request.document.service, request.class_name, met_targets, now)

        self.tell(change)

    def complete(self, request: Request, attempt_id: str, tokens: int, met_targets: bool) -> None:
        """End a completed attempt and its request."""
        now = self._clock()

        def change(dispatcher: Dispatcher, burn: BurnCounters) -> None:
            dispatcher.finish(attempt_id, Outcome.COMPLETED, tokens, now)
            dispatcher.release(request, met_targets, now)
            burn.record(request.document.service, request.class_name, met_targets, now)

        self.tell(change)

    def pick(self, request: Request, exclude: frozenset[str]) -> Result[Choice, Refusal]:
        """Choose an endpoint for the next attempt."""
        now = self._clock()
        return self._decide(lambda dispatcher, burn: dispatcher.pick(request, now, exclude))

    def record_response_start(
        self, attempt_id: str, load: tuple[int, int] | None, has_first_token: bool
    ) -> None:
        """Record the load and the first token at the start of an answer.

        :param load: running and waiting requests of the endpoint, None if it did not report them.
        :param has_first_token: whether the first token has arrived.
        """
        now = self._clock()

        def change(dispatcher: Dispatcher, burn: BurnCounters) -> None:
            if load is not None:
                dispatcher.record_load(attempt_id, *load, now)
            if has_first_token:
                dispatcher.record_first_token(attempt_id, now)

        self.tell(change)

    def finish(self, attempt_id: str, outcome: Outcome, tokens: int) -> None:
        """End an attempt."""
        now = self._clock()
        self.tell(lambda dispatcher, burn: dispatcher.finish(attempt_id, outcome, tokens, now))

    def plan_retry(self, request: Request, outcome: Outcome) -> Result[float, Refusal]:
        """Return the backoff before the next attempt in seconds, or why no retry is allowed."""
        now = self._clock()
        return self._decide(lambda dispatcher, burn: dispatcher.plan_retry(request, outcome, now))

    def export_burn(self) -> list[Bucket]:
        """Return the counters for the burn report."""
        now = self._clock()
        return self.ask(lambda dispatcher, burn: burn.export(now))

    def tell(self, change: Callable[[Dispatcher, BurnCounters], object]) -> None:
        """Queue a change of the actor's state; it is discarded if the actor has stopped."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(change)

    def ask(self, function: Callable[[Dispatcher, BurnCounters], object]) -> object:
        """Apply a function to the actor's state and return its result.

        :raises pykka.Timeout: if the actor does not respond.
        :raises pykka.ActorDeadError: if the actor has stopped.
        """
        return self._actor.ask(function, timeout=ASK_TIMEOUT_S)

    def _decide(self, function: Callable[[Dispatcher, BurnCounters], object]) -> Result:
        try:
            return self.ask(function)
        except (pykka.Timeout, pykka.ActorDeadError) as error:
            reason = f"no decision within {ASK_TIMEOUT_S} s ({type(error).__name__})"
            return Err(Refusal(STEP, "", reason, "no-decision", 503, Ran.NO, 1.0))
