"""Record of the models' copies between two summaries, for the log and the metrics."""

import attrs

from catkinhook.control.copychoice import explain_missing_load
from catkinhook.control.copyroom import CopyInputs, CopyRoom

# Models that one summary lists at most.
MAX_LISTED_MODELS = 8
# Missing slots of a model from which it is listed although its copies have not changed.
MIN_LISTED_SHORT = 1.0


@attrs.define
class CopyRecord:
    """The latest plan of each service, and the copies of each model that the log has last.

    The inputs are computed for a summary and not for each plan.
    """

    _room_by_service: dict[str, CopyRoom] = attrs.Factory(dict)
    _listed_copies: dict[tuple[str, str], int] = attrs.Factory(dict)

    def update(self, service: str, room: CopyRoom) -> None:
        """Record a service's room after a plan."""
        self._room_by_service[service] = room

    def clear(self) -> None:
        """Forget all plans, at the start of a term or when copies are planned by other rules."""
        self._room_by_service.clear()
        self._listed_copies.clear()

    def places_short(self) -> float:
        """Return the slots that models are lacking, summed over all models."""
        return sum(
            room.shortage(name)
            for room in self._room_by_service.values()
            for name in room.pool.demand
        )

    def take_listed(self) -> list[CopyInputs]:
        """Return the models to list: changed or short ones, those that lack most slots first.

        A model that is left out because of ``MAX_LISTED_MODELS`` is listed by a later summary.
        """
        inputs_by_key = {
            (service, name): room.describe(name)
            for service, room in self._room_by_service.items()
            for name in room.pool.spec.model_by_name
        }
        listed = [
            (key, inputs)
            for key, inputs in inputs_by_key.items()
            if inputs.short >= MIN_LISTED_SHORT
            or self._listed_copies.get(key, inputs.copies) != inputs.copies
        ]
        listed = sorted(listed, key=lambda pair: (-pair[1].short, pair[0]))[:MAX_LISTED_MODELS]
        for key, inputs in inputs_by_key.items():
            self._listed_copies.setdefault(key, inputs.copies)
        self._listed_copies.update((key, inputs.copies) for key, inputs in listed)
        return [self._add_reason(key[0], inputs) for key, inputs in listed]

    def _add_reason(self, service: str, inputs: CopyInputs) -> CopyInputs:
        """Add why no load is planned, to a model that lacks slots."""
        if inputs.short < MIN_LISTED_SHORT:
            return inputs
        room = self._room_by_service[service]
        reason, gain, cost = explain_missing_load(room, inputs.model)
        return attrs.evolve(inputs, reason=reason, gain=round(gain, 1), cost=round(cost, 1))
