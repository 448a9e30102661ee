"""Service that acquires, renews and releases the order lease."""

import random
import threading
from collections.abc import Callable

from catkinhook.clocks import Clock
from catkinhook.control.orderlease import (
    LeaseAction,
    LeaseRecord,
    OrderLease,
    decode_lease,
    encode_lease,
)
from catkinhook.errors import StoreConflict
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.state.storeinterfaces import ConditionalRow
from catkinhook.state.storeversions import version_in_era

# Mean seconds between checks of the lease.
POLL_INTERVAL_S = 0.25
# Seconds between reads of the row while the holder is unreachable.
READ_INTERVAL_S = 0.4
# Maximum random delay before an expired lease is acquired, so that most hosts see the first write
# instead of conflicting with it.
ACQUIRE_JITTER_S = 0.2


class LeaseManager:
    """Thread that takes the actions of an ``OrderLease`` and does its I/O.

    :param row: the lease's row in the store.
    :param is_holder_reachable: tells whether the holder answered this host recently.
    :param on_acquire: called with the row's fencing token and request rates when this host becomes
        the holder.
    :param request_rates: returns requests per second by model, written to the row by renewals.
    :param clock: monotonic seconds, including time in which the host is suspended.
    :param acquire_delay_s: seconds for which this host leaves an available lease to other hosts.
    :param may_read: tells whether this host follows the store itself. Other hosts learn the holder
        from one that does, and don't acquire the lease.
    :param on_change: called after each change of the holder that this host knows.
    """

    def __init__(
        self,
        lease: OrderLease,
        row: ConditionalRow,
        is_holder_reachable: Callable[[], bool],
        on_acquire: Callable[[int, dict[str, float]], None],
        request_rates: Callable[[], dict[str, float]],
        log: DecisionLog,
        clock: Clock,
        acquire_delay_s: float = 0.0,
        may_read: Callable[[], bool] = lambda: True,
        on_change: Callable[[], object] = lambda: None,
    ) -> None:
        self._may_read = may_read
        self._on_change = on_change
        # Version of the row at the last change of the holder, and the record.
        self._changed: tuple[int, LeaseRecord | None] = (0, None)
        self._acquire_delay_s = acquire_delay_s
        self._lease = lease
        self._row = row
        self._is_holder_reachable = is_holder_reachable
        self._on_acquire = on_acquire
        self._request_rates = request_rates
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._is_resigned = False
        self._read_at = float("-inf")
        self._was_held = False
        self._thread = threading.Thread(target=self._run, name="order-lease", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join()

    def is_held(self) -> bool:
        """Whether this host may send orders now."""
        with self._lock:
            return self._lease.is_held(self._clock())

    def holder(self) -> LeaseRecord | None:
        """Return the last known holder, None when there is none."""
        with self._lock:
            record = self._lease.record
            return None if record is None or record.released else record

    def version(self) -> int:
        """Return the last known version of the row."""
        with self._lock:
            return self._lease.version

    def changed_record(self) -> tuple[int, LeaseRecord | None]:
        """Return the record of the last known holder, and the row's version when it changed."""
        with self._lock:
            return self._changed

    def observe_relayed(self, version: int, record: LeaseRecord) -> None:
        """Record the row that another host has read, if it is newer than the known one."""
        with self._lock:
            is_newer = version > self._lease.version and record.fence >= self._lease.fence
            if is_newer and not self._lease.is_held(self._clock()):
                self._lease.observe(version, record, self._clock())
        self._note_change()

    def _note_change(self) -> None:
        """Tell others if the holder has changed; renewals are no change."""
        with self._lock:
            version, record = self._lease.version, self._lease.record
            known = self._changed[1]
            has_changed = record is not None and (known is None or not known.is_same_term(record))
            if has_changed:
                self._changed = (version, record)
        if has_changed:
            node = record.node
            self._log.record("lease", outcome="seen", holder=node, version=version)
            self._on_change()

    def confirm(self, version: int, fence: int) -> None:
        """Record a row version that was reported by the holder itself."""
        with self._lock:
            self._lease.confirm(version, fence, self._clock())

    def step_down(self, reason: str) -> None:
        """Stop sending orders because another holder was seen."""
        with self._lock:
            self._lease.step_down()
            fence = self._lease.fence
        self._log.record("lease", outcome="dropped", reason=reason, fence=fence)

    def notice_era(self) -> None:
        """Renew the lease now if it is held: the store may have forgotten it."""
        with self._lock:
            self._lease.request_renewal()

    def resign(self) -> None:
        """Release the lease and never acquire it again, because this host is stopping."""
        self._is_resigned = True
        with self._lock:
            is_held = self._lease.is_held(self._clock())
            record = self._lease.make_record(True, released=True)
            expected_version = self._lease.version
            self._lease.step_down()
        if is_held:
            result = self._row.write(expected_version, encode_lease(record))
            outcome = "released" if result.is_ok() else f"not released: {result.err()}"
            self._log.record("lease", outcome=outcome, fence=record.fence)

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S * random.uniform(0.8, 1.2)):
            if self._is_resigned:
                continue
            try:
                self.step()
            except Exception as error:
                # The thread must survive, or the host would never renew or acquire the lease again.
                self._log.record("lease", outcome=f"failed: {error!r}")

    def step(self) -> None:
        """Take the action that the lease state machine asks for."""
        now = self._clock()
        with self._lock:
            action = self._lease.next_action(now, self._is_holder_reachable())
            is_held = self._lease.is_held(now)
        if self._was_held and not is_held:
            self._log.record("lease", outcome="lapsed", fence=self._lease.fence)
        self._was_held = is_held
        if action in (LeaseAction.ACQUIRE, LeaseAction.READ) and not self._may_read():
            return
        if action is LeaseAction.RENEW:
            self._write(is_renewal=True)
        elif action is LeaseAction.ACQUIRE:
            self._stop.wait(self._acquire_delay_s + random.uniform(0.0, ACQUIRE_JITTER_S))
            # Read the row again, because it is known to be unchanged only until the last read.
            if (
                self._read()
                and self._lease.next_action(self._clock(), False) is LeaseAction.ACQUIRE
            ):
                self._write(is_renewal=False)
        elif action is LeaseAction.READ and now - self._read_at >= READ_INTERVAL_S:
            self._read()

    def _read(self) -> bool:
        self._read_at = now = self._clock()
        read = self._row.read()
        if read.is_err():
            return False
        row = read.unwrap()
        decoded = decode_lease(row.value, row.version)
        with self._lock:
            previous = self._lease.record
            is_missing = not version_in_era(row.version)
            is_invalid = decoded is None and not is_missing and row.version != self._lease.version
            self._lease.observe(row.version, decoded, now, row.newest)
            record = self._lease.record
        if is_invalid:
            # Another writer's row. It is replaced once a lease that it may hide has expired.
            self._log.record("lease", outcome="unusable", version=row.version)
        if record is None and previous is not None:
            self._log.record("lease", outcome="seen", holder="", version=row.version)
        self._note_change()
        return True

    def _write(self, is_renewal: bool) -> None:
        rates = self._request_rates() if is_renewal else None
        with self._lock:
            record = self._lease.make_record(is_renewal, rates=rates)
            expected_version, era = self._lease.version, self._lease.era
        sent_at = self._clock()
        result = self._row.write(expected_version, encode_lease(record))
        if self._is_resigned:
            return
        if result.is_ok():
            self._record_acquired(result.unwrap(), record, sent_at, is_renewal)
            return
        error = result.unwrap_err()
        if is_renewal and not isinstance(error, StoreConflict):
            with self._lock:
                self._lease.record_renewal_failure(self._clock())
        if not self._read():
            return
        with self._lock:
            is_own = self._lease.is_own(self._lease.record)
            is_newer = self._lease.version > expected_version
            version = self._lease.version
            begins_era = self._lease.era > era
            # A renewal that was performed has replaced a row that it wasn't meant for.
            may_go_on = is_renewal and isinstance(error, StoreConflict)
            may_go_on = may_go_on and self._lease.may_begin_era(self._clock())
        if begins_era and may_go_on:
            self._log.record("lease", outcome="forgotten by the store", fence=record.fence)
            self._write(is_renewal=False)
            self._end_forgotten_term()
        elif begins_era:
            self.step_down("the store has a new era")
        elif is_own and is_newer and self._lease.fence == record.fence:
            # The write succeeded, but its answer was lost.
            self._record_acquired(version, record, sent_at, is_renewal)
        elif isinstance(error, StoreConflict) and is_renewal:
            self.step_down("another host wrote the lease")

    def _end_forgotten_term(self) -> None:
        """Step down unless the lease was acquired in the latest era."""
        with self._lock:
            is_acquired = self._lease.is_of_latest_era()
        if not is_acquired:
            self.step_down("it could not be acquired in the new era of the store")

    def _record_acquired(
        self, version: int, record: LeaseRecord, sent_at: float, is_renewal: bool
    ) -> None:
        with self._lock:
            was_held = self._lease.is_held(self._clock())
            late_s = self._lease.seconds_since_expiry(self._clock())
            self._lease.record_write(version, record, sent_at, self._clock())
            left_s = round(self._lease.seconds_until_expiry(self._clock()), 3)
        self._was_held = True
        self._note_change()
        if is_renewal and was_held:
            return
        # The lease time starts when the write is sent, so little of it remains after a slow write.
        self._log.record(
            "lease",
            outcome="regained" if is_renewal else "acquired",
            fence=record.fence,
            version=version,
            left_s=left_s,
            late_s=round(late_s, 3) if is_renewal else 0.0,
        )
        # A late renewal starts no new term: the write is conditional on the row's version, so its
        # success proves that no other host held the lease in the meantime.
        if not is_renewal:
            self._on_acquire(record.fence, record.rates)
