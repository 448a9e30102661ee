"""Evidence against prompt parts: crashes of engines under requests that they had not answered.

Requests share the parts of their prompts. After a crash, the parts of the requests whose answers
had at most begun are suspected. An answer that goes on for longer clears the parts of its request.
A part that crashes each engine is in all of its crashes and is never cleared.
"""

import re
from collections import OrderedDict
from collections.abc import Iterable

import attrs
import xxhash

# Beginning of an answer, from its first event. An engine may write some events of an answer before
# its prompt crashes it, so the first events don't show that the prompt is harmless.
ANSWER_BEGINNING_S = 0.5
# Time after the first event in which a request is a strong suspect. The longer, the more sound
# streams that begin beside it are suspected with it.
ANSWER_FIRST_EVENTS_S = 0.15
# An engine sends the head of an answer when it starts to write it, so a request whose answer had
# started is a much stronger suspect than one without a head.
STARTED_WEIGHT = 2
WAITING_WEIGHT = 1
# Two crashes under a started request, or four under waiting ones.
SUSPICION_THRESHOLD = 4
# For a unit that was answered before. With three crashes under two deadly parts, one of these has
# two and explains them, so that the first part, which is in all three, is not suspected.
ANSWERED_THRESHOLD = 6
# Crashes within this time count once. They may have one cause from outside, such as the power of a
# zone.
SAME_CAUSE_S = 0.25
# Time without an answer after which a unit that was answered before is suspected. A part that all
# requests share is in the crashes of each deadly part, until hosts hear of answers to it.
ANSWERED_BEFORE_WAIT_S = 1.0
EVIDENCE_TTL_S = 300.0
EXPIRY_INTERVAL_S = 1.0

# Bounds on the state of one process, which callers could otherwise fill with new part ids. Of a
# prompt with more shared parts, the last ones are considered.
MAX_PARTS_PER_REQUEST = 8
MAX_ANSWERED_UNITS = 2048
MAX_SUSPECTED_UNITS = 512
MAX_CRASHES_PER_UNIT = 8

# Separators of a unit, ``service/part`` or ``service/part@model``. Names with other characters than
# these are replaced by their hash.
SERVICE_SEPARATOR = "/"
MODEL_SEPARATOR = "@"
_PLAIN_NAME = re.compile(r"[\w.\-]{1,48}", re.ASCII)

# Endpoint and boot id of an engine that crashed.
CrashId = tuple[str, str]
# Units that can't be told apart, and their crashes.
SuspectGroup = tuple[tuple[str, ...], dict[CrashId, "Crash"]]


@attrs.frozen
class Crash:
    """Crash of an engine under a request with a suspected unit.

    :ivar has_started: whether the engine had started to answer that request, without an event.
    :ivar has_begun: whether it had just sent the first events of that answer.
    """

    at: float
    has_started: bool
    has_begun: bool = False

    @property
    def weight(self) -> int:
        """Weight of the suspicion."""
        return STARTED_WEIGHT if self.has_started or self.has_begun else WAITING_WEIGHT

    def merge(self, other: "Crash") -> "Crash":
        """Return this crash with what another request with the same unit shows of it."""
        return Crash(
            self.at, self.has_started or other.has_started, self.has_begun or other.has_begun
        )


def list_units(service: str, model: str, parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the units that may be blamed for a crash: each part, alone and with the model.

    :param parts: ids of the shared parts of a prompt.
    """
    prefix = _make_safe_name(service) + SERVICE_SEPARATOR
    general = [prefix + _make_safe_name(part) for part in parts[-MAX_PARTS_PER_REQUEST:]]
    suffix = MODEL_SEPARATOR + _make_safe_name(model)
    return tuple(dict.fromkeys([*general, *(unit + suffix for unit in general)]))


def find_service(unit: str) -> str:
    """Return the service of a unit."""
    return unit.partition(SERVICE_SEPARATOR)[0]


class CrashEvidence:
    """Crashes and answers by unit; the same on all hosts that exchanged them."""

    def __init__(self) -> None:
        self._answered_at_by_unit: OrderedDict[str, float] = OrderedDict()
        # Times at which quarantines were lifted, of which not all follow an answer.
        self._cleared_at_by_unit: OrderedDict[str, float] = OrderedDict()
        self._crash_by_id_by_unit: OrderedDict[str, dict[CrashId, Crash]] = OrderedDict()
        self._expired_at = float("-inf")

    def add_crash(self, unit: str, crash_id: CrashId, crash: Crash) -> bool:
        """Add a crash; return whether it was new. A crash that several hosts saw counts once."""
        crash_by_id = self._crash_by_id_by_unit.setdefault(unit, {})
        known = crash_by_id.get(crash_id)
        merged = crash if known is None else known.merge(crash)
        if merged == known:
            return False
        crash_by_id[crash_id] = merged
        if len(crash_by_id) > MAX_CRASHES_PER_UNIT:
            del crash_by_id[min(crash_by_id, key=lambda key: crash_by_id[key].at)]
        self._crash_by_id_by_unit.move_to_end(unit)
        if len(self._crash_by_id_by_unit) > MAX_SUSPECTED_UNITS:
            self._crash_by_id_by_unit.popitem(last=False)
        return True

    def add_answer(self, unit: str, at: float) -> None:
        """Add the answer to a request with the unit."""
        self._answered_at_by_unit[unit] = max(at, self.answered_at(unit))
        self._answered_at_by_unit.move_to_end(unit)
        if len(self._answered_at_by_unit) > MAX_ANSWERED_UNITS:
            self._answered_at_by_unit.popitem(last=False)

    def clear(self, unit: str, at: float) -> None:
        """Clear a unit, and a part without a model also under each model, of earlier crashes."""
        same = [other for other in self._crash_by_id_by_unit if _without_model(other) == unit]
        for cleared in {unit, *same}:
            self._cleared_at_by_unit[cleared] = at
            self._cleared_at_by_unit.move_to_end(cleared)
        while len(self._cleared_at_by_unit) > MAX_SUSPECTED_UNITS:
            self._cleared_at_by_unit.popitem(last=False)

    def answered_at(self, unit: str) -> float:
        """Return the time of the latest answer to a request with the unit."""
        return self._answered_at_by_unit.get(unit, float("-inf"))

    def open_crashes(self, unit: str) -> dict[CrashId, Crash]:
        """Return the crashes since the latest answer to a request with the unit, or lift."""
        since = max(self.answered_at(unit), self._cleared_at_by_unit.get(unit, float("-inf")))
        crash_by_id = self._crash_by_id_by_unit.get(unit, {})
        return {key: crash for key, crash in crash_by_id.items() if crash.at > since}

    def crashed_units(self) -> list[str]:
        """Return the units with crashes, whether or not they were answered since."""
        return list(self._crash_by_id_by_unit)

    def expire(self, now: float) -> None:
        """Remove old crashes, at most every ``EXPIRY_INTERVAL_S``."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for unit, crash_by_id in list(self._crash_by_id_by_unit.items()):
            kept = {
                key: crash for key, crash in crash_by_id.items() if now - crash.at < EVIDENCE_TTL_S
            }
            if kept:
                self._crash_by_id_by_unit[unit] = kept
            else:
                del self._crash_by_id_by_unit[unit]

    def is_cleared(self, unit: str) -> bool:
        """Return whether this host has seen an answer that leaves a unit too few of its crashes."""
        known = self._crash_by_id_by_unit.get(unit, {})
        open_crashes = self.open_crashes(unit)
        return len(open_crashes) < len(known) and weigh(open_crashes.values()) < SUSPICION_THRESHOLD

    def find_suspects(self, now: float) -> list[SuspectGroup]:
        """Return groups of units with enough crashes that no other unit explains, and the crashes.

        Units of one group have the same crashes, so it isn't known which of them is the cause.
        Units that were never answered go first, and explain the crashes of those that were.
        """
        never_answered, answered = [], []
        for unit in self._crash_by_id_by_unit:
            (answered if self._was_answered(unit) else never_answered).append(unit)
        never = self._find_crashed_often(never_answered, SUSPICION_THRESHOLD, frozenset())
        groups = _group_unexplained(never)
        explained = frozenset(crash_id for _, crash_by_id in groups for crash_id in crash_by_id)
        crashes_by_unit = self._find_crashed_often(answered, ANSWERED_THRESHOLD, explained)
        overdue = {
            unit: crash_by_id
            for unit, crash_by_id in crashes_by_unit.items()
            if now - min(crash.at for crash in crash_by_id.values()) >= ANSWERED_BEFORE_WAIT_S
        }
        return groups + _group_unexplained(overdue)

    def _was_answered(self, unit: str) -> bool:
        answered = self._answered_at_by_unit
        return unit in answered or _without_model(unit) in answered

    def _find_crashed_often(
        self, units: Iterable[str], threshold: int, explained: frozenset[CrashId]
    ) -> dict[str, dict[CrashId, Crash]]:
        """Return those of the units with enough crashes, without the explained ones.

        A crash under a request whose answer had started without an event is not held against the
        requests beside it, which waited or had events.
        """
        started_ids = {
            crash_id
            for crash_by_id in self._crash_by_id_by_unit.values()
            for crash_id, crash in crash_by_id.items()
            if crash.has_started
        }
        crashed_often = {}
        for unit in units:
            crash_by_id = {
                crash_id: crash
                for crash_id, crash in self.open_crashes(unit).items()
                if crash_id not in explained and (crash.has_started or crash_id not in started_ids)
            }
            if weigh(crash_by_id.values()) >= threshold:
                crashed_often[unit] = crash_by_id
        return crashed_often


def weigh(crashes: Iterable[Crash]) -> int:
    """Return the weight of crashes, of which those within ``SAME_CAUSE_S`` count once."""
    crashes = tuple(crashes)
    if len(crashes) == 1:
        return crashes[0].weight
    total = 0
    counted_at, counted_weight = float("-inf"), 0
    for crash in sorted(crashes, key=lambda crash: crash.at):
        weight = crash.weight
        if crash.at - counted_at >= SAME_CAUSE_S:
            total += weight
            counted_at, counted_weight = crash.at, weight
        elif weight > counted_weight:
            total += weight - counted_weight
            counted_weight = weight
    return total


def _group_unexplained(crashes_by_unit: dict[str, dict[CrashId, Crash]]) -> list[SuspectGroup]:
    """Group units with the same crashes, without those that have part of another one's crashes.

    A unit with a model is left out if its part without the model has the same crashes: the part has
    then not been answered under another model either.
    """
    units_by_crashes: dict[frozenset[CrashId], list[str]] = {}
    for unit, crash_by_id in crashes_by_unit.items():
        units_by_crashes.setdefault(frozenset(crash_by_id), []).append(unit)
    groups = []
    for crash_ids, units in units_by_crashes.items():
        if any(crash_ids < others for others in units_by_crashes):
            continue
        chosen = [
            unit
            for unit in units
            if _without_model(unit) == unit or _without_model(unit) not in units
        ]
        groups.append((tuple(sorted(chosen)), crashes_by_unit[units[0]]))
    return groups


def _without_model(unit: str) -> str:
    return unit.partition(MODEL_SEPARATOR)[0]


def _make_safe_name(name: str) -> str:
    """Return a name, or its hash if it is long or has other characters than usual."""
    if _PLAIN_NAME.fullmatch(name):
        return name
    return xxhash.xxh64_hexdigest(name.encode("utf-8", "replace"))
