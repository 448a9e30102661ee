"""Operators' view of the quarantined prompt parts of a host."""

import time
from collections.abc import Callable
from typing import Any

from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.partquarantine import Quarantine
from catkinhook.stateactor import StateActor

OPERATOR_TIMEOUT_S = 5.0


class QuarantineControl:
    """Lists and lifts quarantines.

    :param on_lift: called after a quarantine was lifted here, to tell the other hosts.
    """

    def __init__(self, scheduler: StateActor[Scheduler], on_lift: Callable[[], None]) -> None:
        self._scheduler = scheduler
        self._on_lift = on_lift

    def list_active(self) -> list[dict[str, Any]]:
        """Return the quarantines in force, as values for JSON."""
        now = time.monotonic()
        return self._scheduler.ask(lambda s: [_describe(q, now) for q in s.parts.active()])

    def lift(self, key: str) -> bool:
        """Lift a quarantine on all hosts; return whether it was in force here."""
        now = time.monotonic()
        is_lifted = self._scheduler.ask(lambda scheduler: scheduler.parts.lift(key, now))
        if is_lifted:
            self._on_lift()
        return is_lifted


def _describe(quarantine: Quarantine, now: float) -> dict[str, Any]:
    return {
        "parts": quarantine.key,
        "crashes": quarantine.describe_crashes(now),
        "strikes": quarantine.strikes,
        "age_s": round(now - quarantine.at, 1),
        "probe_in_s": round(max(0.0, quarantine.probe_due_at() - now), 1),
    }
