"""Holds requests after this host was suspended, until it has looked for a newer configuration.

A host that resumes may have requests to serve before the thread that follows the configuration
runs. Without a check, it would serve them by a configuration from before the suspension, and with
keys that were removed long ago.
"""

import threading

from catkinhook.clocks import Clock, boot_clock

# Age in seconds of the last check from which requests are held. A host that is not suspended checks
# more often: its long polls last 1.5 s, and the first one follows a pause of 2.5 s.
MAX_AGE_S = 4.6
# Longest time in seconds for which a request is held. A host that is cut off serves with the last
# configuration that it knows.
MAX_HOLD_S = 0.5
# Time in seconds for the answer of a call that ends as expected, beyond the time for which it may
# be held. An answer that takes longer may be older than the suspension that delayed it.
ANSWER_S = 0.3
# The same for a call that fails, with its repeat and the calls to peers that follow.
FAILED_ANSWER_S = 3.5


class FreezeGuard:
    """Knows when this host last looked for a newer configuration.

    :param clock: clock that also advances while the host is suspended.
    """

    def __init__(self, clock: Clock = boot_clock) -> None:
        self._clock = clock
        self._checked_at = clock()
        self._changed = threading.Condition()

    def record_check(self, began: float, held_s: float, is_ok: bool) -> bool:
        """Record that a call for a newer configuration has ended and its answer was applied.

        :param began: time on the clock at which the call began.
        :param held_s: seconds for which the called process may have held it.
        :param is_ok: whether it was answered.
        :returns: whether the answer is recent. Otherwise the next call must not be held.
        """
        now = self._clock()
        is_recent = now - began <= held_s + (ANSWER_S if is_ok else FAILED_ANSWER_S)
        with self._changed:
            self._checked_at = max(self._checked_at, now if is_recent else began)
            self._changed.notify_all()
        return is_recent

    def wait(self) -> None:
        """Return at once, or after a check if there was none for long."""
        if self._is_recent():
            return
        with self._changed:
            if not self._changed.wait_for(self._is_recent, MAX_HOLD_S):
                self._checked_at = self._clock()

    def _is_recent(self) -> bool:
        return self._clock() - self._checked_at <= MAX_AGE_S
