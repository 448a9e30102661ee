"""Rolling update of model versions: load the new version elsewhere, then unload the old one."""

import attrs

from catkinhook.control.ledger import EndpointRow, reachable_models, unloading_items
from catkinhook.control.placement import Move, MoveKind, Replica
from catkinhook.state.documents import Catalog, ModelEntry


@attrs.frozen
class Replacement:
    """Moves that replace copies of outdated versions.

    :ivar models: models being replaced, for which placement's other moves are suppressed.
    """

    models: frozenset[str] = frozenset()
    moves: tuple[Move, ...] = ()


def plan_replacement(
    catalog: Catalog, replicas: list[Replica], row_by_endpoint: dict[str, EndpointRow]
) -> Replacement:
    """Return the next moves towards the model versions in the documents."""
    models: set[str] = set()
    moves: list[Move] = []
    reserved = {replica.endpoint: replica.reserved for replica in replicas}
    for name, entry in sorted(catalog.entry_by_model.items()):
        own_replicas = [
            r for r in replicas if r.service == entry.document.service and not r.leaving
        ]
        rows = [row_by_endpoint[replica.endpoint] for replica in own_replicas]
        outdated = [row for row in rows if _is_outdated(row, entry)]
        if not outdated:
            continue
        models.add(name)
        moves += _plan_model_replacement(name, entry, own_replicas, rows, outdated, reserved)
    return Replacement(frozenset(models), tuple(moves))


def _is_outdated(row: EndpointRow, entry: ModelEntry) -> bool:
    resident = row.resident.get(entry.model.name)
    # A copy that was found on an engine has no known version and is treated as up to date.
    return resident is not None and resident.version not in ("", entry.model.version)


def _plan_model_replacement(
    name: str,
    entry: ModelEntry,
    own_replicas: list[Replica],
    rows: list[EndpointRow],
    outdated: list[EndpointRow],
    reserved: dict[str, int],
) -> list[Move]:
    up_to_date = [row for row in rows if name in reachable_models(row) and row not in outdated]
    loading = [replica for replica in own_replicas if name in replica.loading]
    if len(up_to_date) >= max(1, entry.model.copies):
        unloadable = [row for row in outdated if name not in unloading_items(row)]
        return [
            Move(kind=MoveKind.UNLOAD_MODEL, endpoint=row.endpoint, item=name)
            for row in unloadable[:1]
        ]
    if loading:
        return []
    memory = int(entry.model.memory)
    endpoints_with_copy = {row.endpoint for row in rows if name in row.resident}
    candidates = [
        replica
        for replica in own_replicas
        if replica.endpoint not in endpoints_with_copy
        and reserved[replica.endpoint] + memory <= replica.memory
    ]
    if not candidates:
        return []
    target = min(candidates, key=lambda r: (reserved[r.endpoint] - r.memory, r.endpoint))
    reserved[target.endpoint] += memory
    return [Move(kind=MoveKind.LOAD_MODEL, endpoint=target.endpoint, item=name, memory=memory)]
