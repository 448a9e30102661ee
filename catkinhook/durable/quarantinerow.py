"""Quarantines of requests and prompt parts in the store, where they outlast all hosts.

Hosts pass the evidence on among themselves. If all of them are killed, it would be lost, and what
had been quarantined would crash as many endpoints as before. The holder of the order lease
therefore writes the quarantines to one row, which each host reads when it starts.
"""

import enum
import itertools
import json
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs

from catkinhook.jsontexts import decode_json
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.partquarantine import PartEvent, PartEventKind
from catkinhook.requests.suspects import EventKind, SuspectEvent
from catkinhook.state.storeinterfaces import ConditionalRow, VersionedRow
from catkinhook.stateactor import StateActor
from catkinhook.texts import is_encodable
from catkinhook.units import KIB

# Seconds between two checks whether the row is up to date, which grow with each call that failed.
CHECK_INTERVAL_S = 0.5
MAX_CHECK_INTERVAL_S = 8.0
# The store limits the size of a row to 64 KiB.
MAX_ROW_BYTES = 32 * KIB
# Upper limits on the bytes of a row beside its events, and on those between two events.
ENVELOPE_BYTES = 256
SEPARATOR_BYTES = 2
MAX_NAME_LENGTH = 512
MAX_UNITS_LENGTH = 4096
MAX_COUNT = 2**31 - 1

Event = TypeVar("Event", SuspectEvent, PartEvent)


@attrs.frozen(kw_only=True)
class QuarantineRecord:
    """Content of the row.

    :ivar written_at: time of the write in seconds, by the steady clock of the store.
    :ivar requests: events of quarantined requests, with their age at the write.
    :ivar parts: quarantines of prompt parts, with their age at the write.
    """

    written_at: float
    requests: tuple[SuspectEvent, ...] = ()
    parts: tuple[PartEvent, ...] = ()

    def keys(self) -> frozenset[tuple]:
        """Return what identifies the events, regardless of their age."""
        return frozenset(
            [(event.origin, event.sequence) for event in self.requests]
            + [(event.units, event.strikes) for event in self.parts]
        )

    def at(self, read_at: float) -> "QuarantineRecord":
        """Return the record with the ages that the events have at a later time of the store."""
        passed_s = max(0.0, read_at - self.written_at)

        def grow(events: Iterable[Event]) -> tuple[Event, ...]:
            return tuple(attrs.evolve(event, age=event.age + passed_s) for event in events)

        return QuarantineRecord(
            written_at=read_at, requests=grow(self.requests), parts=grow(self.parts)
        )


def trim_quarantines(record: QuarantineRecord) -> QuarantineRecord:
    """Return the record without the last events if all of them don't fit into a row."""
    left = MAX_ROW_BYTES - ENVELOPE_BYTES

    def fits(event: SuspectEvent | PartEvent) -> bool:
        nonlocal left
        left -= len(json.dumps(attrs.asdict(event))) + SEPARATOR_BYTES
        return left >= 0

    parts = tuple(itertools.takewhile(fits, record.parts))
    requests = tuple(itertools.takewhile(fits, record.requests))
    return attrs.evolve(record, parts=parts, requests=requests)


def encode_quarantines(record: QuarantineRecord) -> bytes:
    """Encode a record as the bytes of a row."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_quarantines(row: VersionedRow) -> QuarantineRecord | None:
    """Decode a row, with the ages at the time of its read; None if it is no such record.

    Events with fields that are missing or out of range are left out.
    """
    if not row.value or len(row.value) > MAX_ROW_BYTES:
        return None
    try:
        fields = decode_json(row.value)
        written_at = fields["written_at"]
        requests = _decode_events(SuspectEvent, EventKind, fields["requests"])
        parts = _decode_events(PartEvent, PartEventKind, fields["parts"])
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    if not _is_time(written_at):
        return None
    record = QuarantineRecord(written_at=written_at, requests=requests, parts=parts)
    return record.at(row.read_at)


def _decode_events(
    event_class: type[Event], kinds: type[enum.StrEnum], items: Any
) -> tuple[Event, ...]:
    events = []
    kind_by_value = {kind.value: kind for kind in kinds}
    for item in items:
        if not isinstance(item, dict) or item.keys() != attrs.fields_dict(event_class).keys():
            continue
        is_valid = all(_IS_VALID_BY_FIELD[name](value) for name, value in item.items())
        if is_valid and item["kind"] in kind_by_value:
            events.append(event_class(**{**item, "kind": kind_by_value[item["kind"]]}))
    return tuple(events)


def _is_name(value: Any, max_length: int = MAX_NAME_LENGTH) -> bool:
    return isinstance(value, str) and len(value) <= max_length and is_encodable(value)


def _is_units(value: Any) -> bool:
    return bool(value) and _is_name(value, MAX_UNITS_LENGTH)


def _is_time(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= MAX_COUNT


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_COUNT


_IS_VALID_BY_FIELD: dict[str, Callable[[Any], bool]] = {
    "fingerprint": _is_name,
    "model": _is_name,
    "kind": _is_name,
    "origin": _is_name,
    "sequence": _is_count,
    "age": _is_time,
    "endpoint": _is_name,
    "boot_id": _is_name,
    "units": _is_units,
    "strikes": _is_count,
}


class QuarantineKeeper:
    """Service that reads the row when the host starts, and writes it while the host is the holder.

    :param row: the row in the store.
    :param is_holder: tells whether this host holds the order lease.
    """

    def __init__(
        self,
        row: ConditionalRow,
        scheduler: StateActor[Scheduler],
        is_holder: Callable[[], bool],
        log: DecisionLog,
    ) -> None:
        self._row = row
        self._scheduler = scheduler
        self._is_holder = is_holder
        self._log = log
        self._is_restored = False
        # Keys of the row's events as this holder last saw them, None before that.
        self._known_keys: frozenset[tuple] | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="quarantine-keeper", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread without waiting for a call in progress."""
        self._stop.set()

    def notice_era(self) -> None:
        """Write the row again if it has changed: the store may have lost the latest writes."""
        self._known_keys = None

    def _run(self) -> None:
        failures = 0
        while True:
            try:
                failures = 0 if self.step() else failures + 1
            except Exception as error:
                # The thread must survive, or later quarantines would not be written.
                self._log.record("quarantine-row", outcome=f"failed: {error!r}")
                failures += 1
            interval_s = min(MAX_CHECK_INTERVAL_S, CHECK_INTERVAL_S * 2 ** min(failures, 8))
            # Hosts that started at the same moment don't call the store at the same moment again.
            if self._stop.wait(interval_s * random.uniform(0.8, 1.2)):
                return

    def step(self) -> bool:
        """Restore the quarantines if that is still to be done, else write them if they changed.

        :returns: whether no call to the store failed.
        """
        if not self._is_restored:
            return self._read() is not None
        if not self._is_holder():
            # Another holder may write the row.
            self._known_keys = None
            return True
        return self._collect().keys() == self._known_keys or self._write()

    def _collect(self, written_at: float = 0.0) -> QuarantineRecord:
        """Return the quarantines that this host knows."""
        now = time.monotonic()
        requests, parts = self._scheduler.ask(
            lambda s: (s.suspects.quarantined_events(now), s.parts.active_events(now))
        )
        record = QuarantineRecord(
            written_at=written_at, requests=tuple(requests), parts=tuple(parts)
        )
        return trim_quarantines(record)

    def _read(self) -> tuple[VersionedRow, QuarantineRecord] | None:
        """Read the row and add its events to those of this host; return None after an error."""
        result = self._row.read()
        if result.is_err():
            return None
        row = result.unwrap()
        record = decode_quarantines(row)
        if record is None:
            record = QuarantineRecord(written_at=row.read_at)
            if row.value:
                self._record("unusable", row, record)
        now = time.monotonic()

        def merge(scheduler: Scheduler) -> None:
            scheduler.suspects.merge(record.requests, now)
            scheduler.parts.merge(record.parts, now)

        if record.keys():
            self._scheduler.ask(merge)
        if not self._is_restored and record.keys():
            self._record("restored", row, record)
        self._is_restored = True
        return row, record

    def _write(self) -> bool:
        read = self._read()
        if read is None:
            return False
        row, stored = read
        record = self._collect(row.read_at)
        if record.keys() == stored.keys():
            self._known_keys = record.keys()
            return True
        result = self._row.write(row.version, encode_quarantines(record))
        # After an error, the row is read again.
        self._known_keys = record.keys() if result.is_ok() else None
        outcome = "written" if result.is_ok() else f"not written: {result.unwrap_err()}"
        self._record(outcome, row, record)
        return result.is_ok()

    def _record(self, outcome: str, row: VersionedRow, record: QuarantineRecord) -> None:
        """Log what happened to the row.

        :param row: the row as it was read.
        """
        self._log.record(
            "quarantine-row",
            outcome=outcome,
            version=row.version,
            requests=len({event.fingerprint for event in record.requests}),
            parts=len(record.parts),
        )
