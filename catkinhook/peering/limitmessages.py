"""Thrift forms of the uses and shares of workspace limits.

An invalid entry of a peer costs only itself. Entries that can't be read are told, because a
workspace that a report does not name counts as released.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

from catkinhook.requests.limitreports import ALL_READ, UnreadUses
from catkinhook.requests.limitsizes import LEASE_S
from catkinhook.requests.workspacelimits import LimitShare, LimitUse
from catkinhook.thrift_hosts import ttypes

# Larger figures of a peer are not believed.
MAX_UNITS = 10**12
# Entries of one message; the rest is ignored.
MAX_ENTRIES = 1024
MAX_NAME_LENGTH = 256
MS_PER_S = 1000
# Fields whose absence costs only their entry.
LIMIT_FIELDS = frozenset(
    {"workspace", "demand", "share", "share_left_ms", "balance", "wanted", "admitted", "credit"}
    | {"lapses_in_ms"}
)

T = TypeVar("T")


def encode_uses(uses: Iterable[LimitUse] | None) -> list[ttypes.WorkspaceUse] | None:
    """Return the structs of a host's uses, None if no workspace has a limit."""
    if uses is None:
        return None
    return [
        ttypes.WorkspaceUse(
            workspace=use.workspace,
            demand=_encode_units(use.demand),
            share=_encode_units(use.share),
            share_left_ms=_encode_ms(use.share_left_s),
            balance=_encode_units(use.balance),
            wanted=_encode_units(use.wanted),
            admitted=_encode_units(use.admitted),
        )
        for use in list(uses)[:MAX_ENTRIES]
    ]


def decode_uses(
    structs: Iterable[ttypes.WorkspaceUse] | None,
) -> tuple[tuple[LimitUse, ...] | None, tuple[str, ...], UnreadUses]:
    """Return the valid uses of structs, why others are ignored, and of which workspaces these are.

    A sender with more than ``MAX_ENTRIES`` workspaces sends just as many, so that a list of this
    length may lack some.
    """
    if structs is None:
        return None, (), ALL_READ
    structs = list(structs)
    uses, faults = _decode(structs, _find_use_fault, _decode_use)
    invalid = [struct for struct in structs[:MAX_ENTRIES] if _find_use_fault(struct)]
    names = {struct.workspace for struct in invalid if _is_name(struct.workspace)}
    has_unnamed = any(not _is_name(struct.workspace) for struct in invalid)
    is_open = has_unnamed or len(structs) >= MAX_ENTRIES
    return uses, faults, UnreadUses(workspaces=frozenset(names), is_open=is_open)


def encode_shares(shares: Iterable[LimitShare] | None) -> list[ttypes.WorkspaceShare] | None:
    """Return the structs of a host's shares, None if no workspace has a limit."""
    if shares is None:
        return None
    return [
        ttypes.WorkspaceShare(
            workspace=share.workspace,
            # Rounded down, so that the sum of shares does not grow.
            share=int(min(MAX_UNITS, max(0.0, share.share))),
            credit=int(min(MAX_UNITS, max(0.0, share.credit))),
            lapses_in_ms=_encode_ms(share.lapses_in_s),
        )
        for share in list(shares)[:MAX_ENTRIES]
    ]


def decode_shares(
    structs: Iterable[ttypes.WorkspaceShare] | None,
) -> tuple[tuple[LimitShare, ...] | None, tuple[str, ...]]:
    """Return the valid shares of structs, and why others are ignored."""
    if structs is None:
        return None, ()
    return _decode(structs, _find_share_fault, _decode_share)


def _decode(
    structs: Iterable[T], find_fault: Callable[[T], str], decode: Callable[[T], object]
) -> tuple[tuple, tuple[str, ...]]:
    value_by_name: dict[str, object] = {}
    faults = []
    for number, struct in enumerate(structs):
        fault = find_fault(struct)
        if number >= MAX_ENTRIES:
            faults.append(f"more than {MAX_ENTRIES} workspaces")
            break
        if not fault and struct.workspace in value_by_name:
            fault = "a workspace is named twice"
        if fault:
            faults.append(fault)
            continue
        value_by_name[struct.workspace] = decode(struct)
    return tuple(value_by_name.values()), tuple(faults)


def _find_use_fault(struct: ttypes.WorkspaceUse) -> str:
    amounts = (struct.demand, struct.share, struct.wanted, struct.admitted)
    return _find_fault(struct.workspace, amounts, struct.share_left_ms, struct.balance)


def _find_share_fault(struct: ttypes.WorkspaceShare) -> str:
    return _find_fault(struct.workspace, (struct.share, struct.credit), struct.lapses_in_ms, 0)


def _find_fault(name: object, amounts: tuple[object, ...], time_ms: object, balance: object) -> str:
    if not _is_name(name):
        return "the name of a workspace is missing or too long"
    for value in (*amounts, time_ms):
        if not isinstance(value, int) or not 0 <= value <= MAX_UNITS:
            return f"a figure of workspace {name} is missing or out of range: {value!r}"
    if not isinstance(balance, int) or abs(balance) > MAX_UNITS:
        return f"the balance of workspace {name} is missing or out of range: {balance!r}"
    return ""


def _is_name(name: object) -> bool:
    return isinstance(name, str) and 0 < len(name) <= MAX_NAME_LENGTH


def _decode_use(struct: ttypes.WorkspaceUse) -> LimitUse:
    return LimitUse(
        workspace=struct.workspace,
        demand=float(struct.demand),
        share=float(struct.share),
        share_left_s=min(LEASE_S, struct.share_left_ms / MS_PER_S),
        balance=float(struct.balance),
        wanted=float(struct.wanted),
        admitted=float(struct.admitted),
    )


def _decode_share(struct: ttypes.WorkspaceShare) -> LimitShare:
    return LimitShare(
        workspace=struct.workspace,
        share=float(struct.share),
        credit=float(struct.credit),
        lapses_in_s=min(LEASE_S, struct.lapses_in_ms / MS_PER_S),
    )


def _encode_units(value: float) -> int:
    return round(min(MAX_UNITS, max(-MAX_UNITS, value)))


def _encode_ms(seconds: float) -> int:
    return int(min(LEASE_S, max(0.0, seconds)) * MS_PER_S)
