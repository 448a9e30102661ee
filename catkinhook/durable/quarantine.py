"""Serialized retries of suspect requests, which may crash endpoints, over all gateways.

Gossip alone would let every gateway retry a suspect once before it learned of the other retries.
Therefore a retry first reserves a row in the table service. The row also makes a quarantine
persist across restarts.
"""

import enum
import logging
import threading
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import Ran, Refusal, StoreError
from catkinhook.requests.dispatchactor import DispatcherProxy
from catkinhook.requests.suspects import PROBE_TTL_S, EventKind, SuspectEvent, SuspectStatus
from catkinhook.state.rowexpiry import RowObserver, advance_age, is_age_step_due
from catkinhook.state.tableservice import (
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
# Key prefix of rows for endpoints that execute a suspect. Fingerprints are hexadecimal, so their
# keys can't have this prefix.
ENDPOINT_PREFIX = "at/"
STEP = "quarantine"
# Maximum number of probes of one fingerprint whose gateway crashed before recording the result;
# each of them may have crashed an endpoint.
MAX_PROBES = 2
RETENTION_S = 3600.0
REFRESH_INTERVAL_S = 10.0
WRITE_INTERVAL_S = 0.5
RETRY_AFTER_S = 5.0

_log = logging.getLogger(__name__)


class State(enum.StrEnum):
    """State of a fingerprint, as stored in its row."""

    PROBING = "probing"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


def _refuse(code: str, status: int, reason: str) -> Err[Refusal]:
    return Err(Refusal(STEP, "", reason, code, status, Ran.NO, RETRY_AFTER_S))


def _make_value(state: State, probes: int, nonce: str) -> dict[str, object]:
    return {"state": state.value, "probes": probes, NONCE_KEY: nonce}


class QuarantineTable:
    """States of suspect fingerprints in the table service; thread-safe."""

    def __init__(self, table: Table, clock: Clock = monotonic) -> None:
        self._table = table
        self._observer = RowObserver(clock)

    def begin_probe(self, fingerprint: str, endpoint: str) -> Result[None, Refusal]:
        """Reserve a suspect's only concurrent retry, on an endpoint without another suspect.

        :returns: an error, which reports the request as not run, when the suspect or the endpoint
            is reserved, the suspect is quarantined, or the store can't confirm the reservation.
        """
        result = self._table.read(TABLE, fingerprint)
        if result.is_err():
            return self._refuse_unavailable(result.unwrap_err())
        row = result.unwrap()
        state = State(row.value["state"]) if row else State.CLEARED
        probes = row.value["probes"] if row else 0
        if state is State.QUARANTINED:
            return _refuse("quarantined", 422, "the request crashed endpoints repeatedly")
        if state is State.PROBING and self._observer.measure_unchanged(row) < PROBE_TTL_S:
            reason = "a request that may have crashed an endpoint is retried elsewhere now"
            return _refuse("suspect-waits", 503, reason)
        if state is State.PROBING and probes >= MAX_PROBES:
            self._write_state(fingerprint, row, State.QUARANTINED, probes)
            return _refuse("quarantined", 422, "retries of the request ended without an answer")
        count = probes + 1 if state is State.PROBING else 1
        return self._reserve(fingerprint, endpoint, row, count)

    def _reserve(
        self, fingerprint: str, endpoint: str, row: Row | None, probes: int
    ) -> Result[None, Refusal]:
        result = self._table.read(TABLE, ENDPOINT_PREFIX + endpoint)
        if result.is_err():
            return self._refuse_unavailable(result.unwrap_err())
        endpoint_row = result.unwrap()
        if endpoint_row and self._observer.measure_unchanged(endpoint_row) < PROBE_TTL_S:
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
            Check(TABLE, key, endpoint_row.version if endpoint_row else ABSENT),
        ]
        written = commit_confirmed(self._table, checks, writes)
        if written.is_ok():
            return Ok(None)
        if isinstance(written.unwrap_err(), StoreError):
            return self._refuse_unavailable(written.unwrap_err())
        return _refuse("suspect-waits", 503, "another instance retries a suspect")

    def release_endpoint(self, fingerprint: str, endpoint: str) -> Result[None, StoreError]:
        """Release an endpoint for other suspects, if this fingerprint has reserved it."""
        result = self._table.read(TABLE, ENDPOINT_PREFIX + endpoint)
        if result.is_err():
            return Err(result.unwrap_err())
        row = result.unwrap()
        if row is None or row.value["fingerprint"] != fingerprint:
            return Ok(None)
        check, write = Check(TABLE, row.key, row.version), Write(TABLE, row.key, None)
        released = self._table.commit([check], [write])
        failed = released.is_err() and isinstance(released.unwrap_err(), StoreError)
        return Err(released.unwrap_err()) if failed else Ok(None)

    def record_state(self, fingerprint: str, state: State) -> Result[None, StoreError]:
        """Write the result of a probe; a late completion does not revoke a quarantine."""
        result = self._table.read(TABLE, fingerprint)
        if result.is_err():
            return Err(result.unwrap_err())
        row = result.unwrap()
        current = row.value["state"] if row else State.CLEARED
        if current in (state, State.QUARANTINED):
            return Ok(None)
        written = self._write_state(fingerprint, row, state, 0)
        failed = written.is_err() and isinstance(written.unwrap_err(), StoreError)
        return Err(written.unwrap_err()) if failed else Ok(None)

    def list_quarantined(self) -> Result[frozenset[str], StoreError]:
        """Return the quarantined fingerprints."""
        scanned = scan_all(self._table, TABLE)
        return scanned.map(
            lambda rows: frozenset(
                row.key for row in rows if row.value.get("state") == State.QUARANTINED
            )
        )

    def expire(self) -> Result[int, StoreError]:
        """Advance the age of all rows and delete those past their retention; return how many."""
        scanned = scan_all(self._table, TABLE)
        return scanned.map(lambda rows: sum(self._advance_row_age(row) for row in rows))

    def _advance_row_age(self, row: Row) -> int:
        if not is_age_step_due(self._observer, row, RETENTION_S):
            return 0
        value = advance_age(row, make_nonce())
        check, write = Check(TABLE, row.key, row.version), Write(TABLE, row.key, value)
        return int(self._table.commit([check], [write]).is_ok() and value is None)

    def _write_state(self, fingerprint: str, row: Row | None, state: State, probes: int) -> Result:
        value = _make_value(state, probes, make_nonce())
        check = Check(TABLE, fingerprint, row.version if row else ABSENT)
        return commit_confirmed(self._table, [check], [Write(TABLE, fingerprint, value)])

    def _refuse_unavailable(self, error: StoreError) -> Err[Refusal]:
        reason = f"a suspect is retried only while the store answers: {error.reason}"
        return _refuse("suspect-waits", 503, reason)


class QuarantineSync:
    """Thread that writes the probe results of this gateway and reads quarantines of all gateways.

    :ivar quarantined: fingerprints whose requests are refused, as last read.
    """

    def __init__(self, table: QuarantineTable, dispatch: DispatcherProxy, origin: str) -> None:
        self.quarantined: frozenset[str] = frozenset()
        self._table = table
        self._dispatch = dispatch
        self._origin = origin
        self._written_sequences: set[int] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="quarantine", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and write the remaining results."""
        self._stop.set()
        self._thread.join()
        self.write_results()

    def refresh(self) -> None:
        """Read the quarantined fingerprints and pass them to the dispatcher."""
        result = self._table.list_quarantined()
        if result.is_err():
            return
        self.quarantined = quarantined = result.unwrap()
        self._dispatch.tell(lambda d, _: d.suspects.set_confirmed(quarantined, frozenset()))

    def write_results(self) -> int:
        """Write states for this gateway's own new events; return how many could not be written."""
        events, quarantined = self._dispatch.ask(self._read_events)
        own_events = [event for event in events if event.origin == self._origin]
        self._written_sequences &= {event.sequence for event in own_events}
        remaining = 0
        for event in sorted(own_events, key=lambda event: event.sequence):
            state = _STATE_BY_KIND.get(event.kind)
            if state is None or event.sequence in self._written_sequences:
                continue
            if event.kind is EventKind.CRASH and event.fingerprint not in quarantined:
                # A first crash only makes the request a suspect.
                continue
            if self._write_result(event, state):
                self._written_sequences.add(event.sequence)
            else:
                remaining += 1
        return remaining

    def _write_result(self, event: SuspectEvent, state: State) -> bool:
        if self._table.record_state(event.fingerprint, state).is_err():
            return False
        return self._table.release_endpoint(event.fingerprint, event.endpoint).is_ok()

    def _read_events(self, dispatcher, burn) -> tuple[Iterable[SuspectEvent], set[str]]:
        now = self._dispatch.now()
        suspects = dispatcher.suspects
        events = suspects.events(now)
        fingerprints = {event.fingerprint for event in events}
        return events, {
            fingerprint
            for fingerprint in fingerprints
            if suspects.status(fingerprint, now) is SuspectStatus.QUARANTINED
        }

    def _run(self) -> None:
        elapsed = REFRESH_INTERVAL_S
        while not self._stop.wait(WRITE_INTERVAL_S):
            elapsed += WRITE_INTERVAL_S
            self._run_step(self.write_results)
            if elapsed >= REFRESH_INTERVAL_S:
                elapsed = 0.0
                self._run_step(self.refresh)

    def _run_step(self, step: Callable[[], object]) -> None:
        try:
            step()
        except Exception:
            _log.exception("quarantine synchronization failed")


_STATE_BY_KIND = {
    EventKind.CRASH: State.QUARANTINED,
    EventKind.CLEAR: State.CLEARED,
    EventKind.END: State.CLEARED,
}
