"""Thrift forms of calls for credit of workspaces' limits.

An invalid entry of a peer costs only itself.
"""

import math
from collections.abc import Callable, Iterable

from catkinhook.peering.limitmessages import MAX_ENTRIES, MAX_NAME_LENGTH, MAX_UNITS
from catkinhook.peering.thriftfields import require_fields
from catkinhook.requests.limitcredit import (
    CreditAnswer,
    CreditGrant,
    CreditRequest,
    CreditWish,
)
from catkinhook.thrift_hosts import ttypes

# Fields whose absence costs only their entry.
_ENTRY_FIELDS = frozenset({"workspace", "needed", "advance", "tokens"})


def encode_credit_request(request: CreditRequest) -> ttypes.CreditRequest:
    """Return the struct of a call."""
    return ttypes.CreditRequest(
        fence=request.fence,
        node=request.node,
        incarnation=request.incarnation,
        sequence=request.sequence,
        configuration=request.version,
        wishes=[
            ttypes.CreditWish(
                workspace=wish.workspace,
                # Rounded up, as a request that lacks a fraction of a unit would wait on.
                needed=math.ceil(_bound(wish.needed)),
                advance=math.ceil(_bound(wish.advance)),
            )
            for wish in request.wishes[:MAX_ENTRIES]
        ],
    )


def decode_credit_request(struct: ttypes.CreditRequest) -> CreditRequest:
    """Return the call of a struct.

    :raises StepError: if a field is absent.
    """
    require_fields(struct, struct.node or "", (), _ENTRY_FIELDS)
    wish_by_name, faults = _decode(
        struct.wishes,
        lambda entry: (entry.needed, entry.advance),
        lambda entry: CreditWish(
            workspace=entry.workspace, needed=float(entry.needed), advance=float(entry.advance)
        ),
    )
    return CreditRequest(
        fence=struct.fence,
        node=struct.node,
        incarnation=struct.incarnation,
        sequence=struct.sequence,
        version=struct.configuration,
        wishes=tuple(wish_by_name.values()),
        faults=faults,
    )


def encode_credit_answer(answer: CreditAnswer) -> ttypes.CreditAnswer:
    """Return the struct of an answer."""
    return ttypes.CreditAnswer(
        fence=answer.fence,
        holds=answer.holds,
        configuration=answer.version,
        grants=[
            # Rounded down, so that the sum of grants does not grow.
            ttypes.CreditGrant(workspace=grant.workspace, tokens=int(_bound(grant.units)))
            for grant in answer.grants[:MAX_ENTRIES]
        ],
    )


def decode_credit_answer(struct: ttypes.CreditAnswer, peer: str) -> CreditAnswer:
    """Return the answer of a struct.

    :raises StepError: if a field is absent.
    """
    require_fields(struct, peer, (), _ENTRY_FIELDS)
    grant_by_name, faults = _decode(
        struct.grants,
        lambda entry: (entry.tokens,),
        lambda entry: CreditGrant(workspace=entry.workspace, units=float(entry.tokens)),
    )
    return CreditAnswer(
        fence=struct.fence,
        holds=struct.holds,
        version=struct.configuration,
        grants=tuple(grant_by_name.values()),
        faults=faults,
    )


def _decode(
    entries: Iterable, read_amounts: Callable[[object], tuple], decode: Callable[[object], object]
) -> tuple[dict[str, object], tuple[str, ...]]:
    value_by_name: dict[str, object] = {}
    faults = []
    for number, entry in enumerate(entries):
        if number >= MAX_ENTRIES:
            faults.append(f"more than {MAX_ENTRIES} workspaces")
            break
        name = entry.workspace
        fault = _find_fault(name, read_amounts(entry))
        if not fault and name in value_by_name:
            fault = "a workspace is named twice"
        if fault:
            faults.append(fault)
            continue
        value_by_name[name] = decode(entry)
    return value_by_name, tuple(faults)


def _find_fault(name: object, amounts: tuple) -> str:
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        return "the name of a workspace is missing or too long"
    for value in amounts:
        if not isinstance(value, int) or not 0 <= value <= MAX_UNITS:
            return f"a figure of workspace {name} is missing or out of range: {value!r}"
    return ""


def _bound(units: float) -> float:
    return min(MAX_UNITS, max(0.0, units))
