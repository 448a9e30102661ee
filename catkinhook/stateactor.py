"""Actor that owns one object and runs functions on it, one at a time."""

import contextlib
import logging
from collections.abc import Callable
from typing import Generic, TypeVar

import pykka

# A call takes well under a millisecond, so an actor that exceeds this timeout is stuck.
ASK_TIMEOUT_S = 5.0

T = TypeVar("T")
R = TypeVar("R")

_log = logging.getLogger(__name__)


class _Actor(pykka.ThreadingActor):
    use_daemon_thread = True

    def __init__(self, state: object) -> None:
        super().__init__()
        self._state = state

    def on_receive(self, message: Callable[[object], object]) -> object:
        return message(self._state)


class StateActor(Generic[T]):
    """Actor around an object that no other thread accesses."""

    def __init__(self, state: T) -> None:
        self._state = state
        self._actor: pykka.ActorRef | None = None

    def start(self) -> None:
        """Start the actor."""
        self._actor = _Actor.start(self._state)

    def close(self) -> None:
        """Stop the actor after the queued calls."""
        if self._actor is not None:
            self._actor.stop(block=False)

    def tell(self, change: Callable[[T], object]) -> None:
        """Queue a change of the object; it is dropped if the actor has stopped."""

        def change_safely(state: T) -> None:
            # An uncaught exception would stop the actor.
            try:
                change(state)
            except Exception:
                _log.exception("actor call failed")

        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(change_safely)

    def ask(self, query: Callable[[T], R]) -> R:
        """Run a function on the object and return its result.

        :raises pykka.Timeout: if the actor is stuck.
        :raises pykka.ActorDeadError: if the actor has stopped.
        """
        return self._actor.ask(query, timeout=ASK_TIMEOUT_S)
