"""Calls in which a host asks the holder of the order lease for credit of workspaces' limits."""

import attrs


@attrs.frozen(kw_only=True)
class CreditWish:
    """What a host asks for of one workspace's limit.

    :ivar needed: units of requests that wait.
    :ivar advance: units for the near future, granted only from an ample pool.
    """

    workspace: str
    needed: float
    advance: float = 0.0


@attrs.frozen(kw_only=True)
class CreditGrant:
    """Units to add to the balance of a workspace once."""

    workspace: str
    units: float


@attrs.frozen(kw_only=True)
class CreditRequest:
    """Call for credit.

    :ivar fence: fencing token of the holder that is asked.
    :ivar incarnation: differs after each restart of the sender.
    :ivar sequence: number of the call since the start of the sender.
    :ivar version: version of the configuration in force at the sender.
    """

    fence: int
    node: str
    incarnation: str
    sequence: int
    version: int
    wishes: tuple[CreditWish, ...]
    faults: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class CreditAnswer:
    """Answer to a call for credit.

    :ivar fence: fencing token of the sender.
    :ivar holds: whether the sender holds the lease.
    :ivar version: version of the configuration from which the grants are derived.
    """

    fence: int
    holds: bool
    version: int = 0
    grants: tuple[CreditGrant, ...] = ()
    faults: tuple[str, ...] = ()
