"""Immutable configuration state: accepted changes, applied in the order of their numbers."""

import attrs

from catkinhook.state.documents import Catalog, Document, build_catalog, parse_document
from catkinhook.validationerrors import Fault


@attrs.frozen(kw_only=True)
class Change:
    """One accepted change of a service document.

    :ivar number: configuration number, unique to this change and increasing by one.
    :ivar version: version of this service's document.
    :ivar body: YAML text, empty when the document was withdrawn.
    """

    number: int
    service: str
    version: int
    body: str
    author: str = ""
    nonce: str = ""


@attrs.frozen
class ChangeBatch:
    """The newest change of each service after a requested number.

    :ivar number: configuration number after all changes are applied.
    """

    number: int
    changes: tuple[Change, ...] = ()


@attrs.frozen(eq=False)
class Configuration:
    """The configuration after all changes up to one number.

    :ivar loaded: false until a copy was read from the store or a peer. An empty configuration with
        number 0 may be loaded too.
    :ivar change_by_service: newest change of each service. Withdrawn services are kept, so that
        the withdrawal reaches peers.
    :ivar faults_by_service: faults of bodies that this release can't parse; for these services the
        last document that it could parse stays in force.
    """

    number: int = 0
    loaded: bool = False
    change_by_service: dict[str, Change] = attrs.Factory(dict)
    catalog: Catalog = attrs.Factory(Catalog)
    faults_by_service: dict[str, list[Fault]] = attrs.Factory(dict)

    def changes_after(self, number: int) -> ChangeBatch:
        """Return the newest change of each service that changed after a number."""
        changes = [c for c in self.change_by_service.values() if c.number > number]
        return ChangeBatch(self.number, tuple(sorted(changes, key=lambda change: change.number)))


def apply_batch(state: Configuration, batch: ChangeBatch, after: int) -> Configuration:
    """Apply a batch if it is newer than the state.

    :param after: number after which the batch contains all changes.
    :returns: the new state. The same object if the batch is not newer, or if changes between the
        number of the state and ``after`` would be missing.
    """
    if after > state.number or (state.loaded and batch.number <= state.number):
        return state
    change_by_service = dict(state.change_by_service)
    documents = dict(state.catalog.document_by_service)
    faults_by_service = dict(state.faults_by_service)
    for change in batch.changes:
        current = change_by_service.get(change.service)
        if current is None or current.number < change.number <= batch.number:
            change_by_service[change.service] = change
            _apply_body(change, documents, faults_by_service)
    catalog = build_catalog(batch.number, list(documents.values()))
    return Configuration(batch.number, True, change_by_service, catalog, faults_by_service)


def _apply_body(
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
