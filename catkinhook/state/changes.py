"""Pure state of the configuration: accepted changes, applied in the order of their numbers."""

import attrs

from catkinhook.faults import Fault
from catkinhook.state.documents import Catalog, Document, build_catalog, parse_document


@attrs.frozen(kw_only=True)
class Change:
    """One accepted change of a service document.

    :ivar number: configuration number, one for each accepted change.
    :ivar version: version of this service's document.
    :ivar body: YAML text, empty when the service was withdrawn.
    """

    number: int
    service: str
    version: int
    body: str
    author: str = ""
    nonce: str = ""


@attrs.frozen
class ChangeBatch:
    """The newest change of each service after a number that was asked for.

    :ivar number: configuration number in force once all changes are applied.
    """

    number: int
    changes: tuple[Change, ...] = ()


@attrs.frozen(eq=False)
class Configuration:
    """All changes up to one number.

    :ivar loaded: false until a copy came from the store or a peer; number 0 may be a copy too.
    :ivar change_by_service: newest change of each service; withdrawn services stay, so that
        peers hear of the withdrawal.
    :ivar faults_by_service: faults of bodies that this release can't read; for these the last
        document that it could read stays in force.
    """

    number: int = 0
    loaded: bool = False
    change_by_service: dict[str, Change] = attrs.Factory(dict)
    catalog: Catalog = attrs.Factory(Catalog)
    faults_by_service: dict[str, list[Fault]] = attrs.Factory(dict)

    def changes_after(self, number: int) -> ChangeBatch:
        """Return the newest change of each service that changed after a number."""
        newer = [c for c in self.change_by_service.values() if c.number > number]
        return ChangeBatch(self.number, tuple(sorted(newer, key=lambda change: change.number)))


def apply_batch(state: Configuration, batch: ChangeBatch, after: int) -> Configuration:
    """Apply a batch if it carries the configuration forward.

    :param after: number that the batch was asked with; the batch holds all later changes.
    :returns: the same object when there is nothing new, or when a change between the number in
        force and ``after`` would be missing.
    """
    if after > state.number or (state.loaded and batch.number <= state.number):
        return state
    change_by_service = dict(state.change_by_service)
    documents = dict(state.catalog.document_by_service)
    faults_by_service = dict(state.faults_by_service)
    for change in batch.changes:
        known = change_by_service.get(change.service)
        if known is None or known.number < change.number <= batch.number:
            change_by_service[change.service] = change
            _read_body(change, documents, faults_by_service)
    catalog = build_catalog(batch.number, list(documents.values()))
    return Configuration(batch.number, True, change_by_service, catalog, faults_by_service)


def _read_body(
    change: Change, documents: dict[str, Document], faults: dict[str, list[Fault]]
) -> None:
    faults.pop(change.service, None)
    if not change.body:
        documents.pop(change.service, None)
        return
    parsed = parse_document(change.body, change.service)
    if parsed.is_ok():
        documents[change.service] = parsed.unwrap()
    else:
        faults[change.service] = parsed.unwrap_err()
