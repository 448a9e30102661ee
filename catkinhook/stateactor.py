"""Actor that owns one object and runs functions on it, one at a time."""

import contextlib
import logging
from collections.abc import Callable
from typing import Generic, TypeVar

import pykka

# A decision takes well under a millisecond, so an actor that is this late is stuck.
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
    """An object that only its actor touches."""

    def __init__(self, state: T) -> None:
        self._state = state
        self._actor: pykka.ActorRef | None = None

    def start(self) -> None:
        """Start the actor."""
        self._actor = _Actor.start(self._state)

    def close(self) -> None:
        """Stop the actor after the calls that are queued."""
        if self._actor is not None:
            self._actor.stop(block=False)

    def tell(self, change: Callable[[T], object]) -> None:
        """Queue a change; it is dropped when the actor has stopped."""

        def guarded(state: T) -> None:
            # An exception would end the actor, and with it every later decision.
            try:
                change(state)
            except Exception:
                _log.exception("a change of state failed")

        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(guarded)

    def ask(self, question: Callable[[T], R]) -> R:
        """Apply a function to the object and return its result.

        :raises pykka.Timeout: if the actor is stuck.
        :raises pykka.ActorDeadError: if the actor has stopped.
        """
        return self._actor.ask(question, timeout=ASK_TIMEOUT_S)
