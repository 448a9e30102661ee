"""Retries of requests that may crash endpoints, one at a time over all instances.

Gossip alone would let every gateway retry a suspect once before it heard of the others. So a retry
takes a row in the table service first. The row also keeps the quarantine over restarts.
"""

import enum
import logging
import threading
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import Ran, Refusal, StoreError
from catkinhook.requests.actors import Dispatch
from catkinhook.requests.suspects import PROBE_TTL_S, EventKind, SuspectEvent, SuspectStatus
from catkinhook.state.rowages import RowObserver, advance_age, is_age_step_due
from catkinhook.state.tables import (
    ABSENT,
    NONCE_KEY,
    Check,
    Row,
    Table,
    Write,
    commit_confirmed,
    make_nonce,
    scan_all,
)

TABLE = "quarantine"
# Rows of endpoints on which a suspect runs; fingerprints are hexadecimal and can't start so.
ENDPOINT_PREFIX = "at/"
STEP = "quarantine"
# Probes of one fingerprint whose gateway died before it could tell the end; each may cost an
# endpoint.
MAX_PROBES = 2
RETENTION_S = 3600.0
REFRESH_INTERVAL_S = 10.0
WRITE_INTERVAL_S = 0.5
RETRY_AFTER_S = 5.0

_log = logging.getLogger(__name__)


class State(enum.StrEnum):
    """State of a fingerprint's row."""

    PROBING = "probing"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


def _refuse(code: str, status: int, reason: str) -> Err[Refusal]:
    return Err(Refusal(STEP, "", reason, code, status, Ran.NO, RETRY_AFTER_S))


def _make_value(state: State, probes: int, nonce: str) -> dict[str, object]:
    return {"state": state.value, "probes": probes, NONCE_KEY: nonce}


class QuarantineTable:
    """Rows of suspected fingerprints; safe for use by many threads."""

    def __init__(self, table: Table, clock: Clock = monotonic) -> None:
        self._table = table
        self._observer = RowObserver(clock)

    def begin_probe(self, fingerprint: str, endpoint: str) -> Result[None, Refusal]:
        """Reserve the only retry of a request that may run now, alone on its endpoint.

        :returns: an error, with the request not run, when it is reserved or quarantined, or when
            the store can't confirm the reservation.
        """
        found = self._table.read(TABLE, fingerprint)
        if found.is_err():
            return self._refuse_store(found.unwrap_err())
        row = found.unwrap()
        state = State(row.value["state"]) if row else State.CLEARED
        probes = row.value["probes"] if row else 0
        if state is State.QUARANTINED:
            return _refuse("quarantined", 422, "the request crashed endpoints repeatedly")
        if state is State.PROBING and self._observer.measure_unchanged(row) < PROBE_TTL_S:
            reason = "a request that may have crashed an endpoint is retried elsewhere now"
            return _refuse("suspect-waits", 503, reason)
        if state is State.PROBING and probes >= MAX_PROBES:
            self._write(fingerprint, row, State.QUARANTINED, probes)
            return _refuse("quarantined", 422, "retries of the request ended without an answer")
        count = probes + 1 if state is State.PROBING else 1
        return self._reserve(fingerprint, endpoint, row, count)

    def _reserve(
        self, fingerprint: str, endpoint: str, row: Row | None, probes: int
    ) -> Result[None, Refusal]:
        found = self._table.read(TABLE, ENDPOINT_PREFIX + endpoint)
        if found.is_err():
            return self._refuse_store(found.unwrap_err())
        held = found.unwrap()
        if held and self._observer.measure_unchanged(held) < PROBE_TTL_S:
            reason = "another request that may have crashed an endpoint runs on this one"
            return _refuse("suspect-waits", 503, reason)
        nonce = make_nonce()
        key = ENDPOINT_PREFIX + endpoint
        writes = [
            Write(TABLE, fingerprint, _make_value(State.PROBING, probes, nonce)),
            Write(TABLE, key, {"fingerprint": fingerprint, NONCE_KEY: nonce}),
        ]
        checks = [
            Check(TABLE, fingerprint, row.version if row else ABSENT),
            Check(TABLE, key, held.version if held else ABSENT),
        ]
        written = commit_confirmed(self._table, checks, writes)
        if written.is_ok():
            return Ok(None)
        if isinstance(written.unwrap_err(), StoreError):
            return self._refuse_store(written.unwrap_err())
        return _refuse("suspect-waits", 503, "another instance retries a suspect")

    def release_endpoint(self, fingerprint: str, endpoint: str) -> Result[None, StoreError]:
        """Let other suspects run on an endpoint again, if this fingerprint holds it."""
        found = self._table.read(TABLE, ENDPOINT_PREFIX + endpoint)
        if found.is_err():
            return Err(found.unwrap_err())
        row = found.unwrap()
        if row is None or row.value["fingerprint"] != fingerprint:
            return Ok(None)
        check, write = Check(TABLE, row.key, row.version), Write(TABLE, row.key, None)
        freed = self._table.commit([check], [write])
        failed = freed.is_err() and isinstance(freed.unwrap_err(), StoreError)
        return Err(freed.unwrap_err()) if failed else Ok(None)

    def record_state(self, fingerprint: str, state: State) -> Result[None, StoreError]:
        """Write the end of a probe; a quarantine is not taken back by a late completion."""
        found = self._table.read(TABLE, fingerprint)
        if found.is_err():
            return Err(found.unwrap_err())
        row = found.unwrap()
        current = row.value["state"] if row else State.CLEARED
        if current in (state, State.QUARANTINED):
            return Ok(None)
        written = self._write(fingerprint, row, state, 0)
        failed = written.is_err() and isinstance(written.unwrap_err(), StoreError)
        return Err(written.unwrap_err()) if failed else Ok(None)

    def list_quarantined(self) -> Result[frozenset[str], StoreError]:
        """Return the fingerprints that are refused."""
        rows = scan_all(self._table, TABLE)
        return rows.map(
            lambda found: frozenset(
                row.key for row in found if row.value.get("state") == State.QUARANTINED
            )
        )

    def expire(self) -> Result[int, StoreError]:
        """Age all rows and delete those past their retention; returns how many."""
        rows = scan_all(self._table, TABLE)
        return rows.map(lambda found: sum(self._age(row) for row in found))

    def _age(self, row: Row) -> int:
        if not is_age_step_due(self._observer, row, RETENTION_S):
            return 0
        value = advance_age(row, make_nonce())
        check, write = Check(TABLE, row.key, row.version), Write(TABLE, row.key, value)
        return int(self._table.commit([check], [write]).is_ok() and value is None)

    def _write(self, fingerprint: str, row: Row | None, state: State, probes: int) -> Result:
        value = _make_value(state, probes, make_nonce())
        check = Check(TABLE, fingerprint, row.version if row else ABSENT)
        return commit_confirmed(self._table, [check], [Write(TABLE, fingerprint, value)])

    def _refuse_store(self, error: StoreError) -> Err[Refusal]:
        reason = f"a suspect is retried only while the store answers: {error.reason}"
        return _refuse("suspect-waits", 503, reason)


class QuarantineSync:
    """Thread that writes the verdicts of this gateway and reads those of all.

    :ivar quarantined: fingerprints that are refused, as last read.
    """

    def __init__(self, table: QuarantineTable, dispatch: Dispatch, origin: str) -> None:
        self.quarantined: frozenset[str] = frozenset()
        self._table = table
        self._dispatch = dispatch
        self._origin = origin
        self._written: set[int] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="quarantine", daemon=True)

    def start(self) -> None:
        """Begin to write and read."""
        self._thread.start()

    def close(self) -> None:
        """Write what is left and stop."""
        self._stop.set()
        self._thread.join()
        self.write_states()

    def refresh(self) -> None:
        """Read the quarantined fingerprints and refuse them from now on."""
        found = self._table.list_quarantined()
        if found.is_err():
            return
        self.quarantined = quarantined = found.unwrap()
        self._dispatch.tell(lambda d, _: d.suspects.set_confirmed(quarantined, frozenset()))

    def write_states(self) -> int:
        """Write new verdicts of this gateway's own events; returns how many are left."""
        events, quarantined = self._dispatch.ask(self._read_events)
        own = [event for event in events if event.origin == self._origin]
        self._written &= {event.sequence for event in own}
        left = 0
        for event in sorted(own, key=lambda event: event.sequence):
            state = _STATE_BY_KIND.get(event.kind)
            if state is None or event.sequence in self._written:
                continue
            if event.kind is EventKind.CRASH and event.fingerprint not in quarantined:
                # The first crash only makes a request a suspect.
                continue
            if self._write_one(event, state):
                self._written.add(event.sequence)
            else:
                left += 1
        return left

    def _write_one(self, event: SuspectEvent, state: State) -> bool:
        if self._table.record_state(event.fingerprint, state).is_err():
            return False
        return self._table.release_endpoint(event.fingerprint, event.endpoint).is_ok()

    def _read_events(self, dispatcher, burn) -> tuple[Iterable[SuspectEvent], set[str]]:
        now = self._dispatch.now()
        suspects = dispatcher.suspects
        events = suspects.events(now)
        fingerprints = {event.fingerprint for event in events}
        return events, {
            f for f in fingerprints if suspects.status(f, now) is SuspectStatus.QUARANTINED
        }

    def _run(self) -> None:
        elapsed = REFRESH_INTERVAL_S
        while not self._stop.wait(WRITE_INTERVAL_S):
            elapsed += WRITE_INTERVAL_S
            self._try(self.write_states)
            if elapsed >= REFRESH_INTERVAL_S:
                elapsed = 0.0
                self._try(self.refresh)

    def _try(self, step: Callable[[], object]) -> None:
        try:
            step()
        except Exception:
            _log.exception("quarantine round failed")


_STATE_BY_KIND = {
    EventKind.CRASH: State.QUARANTINED,
    EventKind.CLEAR: State.CLEARED,
    EventKind.END: State.CLEARED,
}
