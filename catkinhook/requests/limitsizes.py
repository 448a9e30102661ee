"""How much of a workspace's limit hosts and the holder may hold in stock.

In any window of ``WINDOW_S`` a workspace may use (rate x ``WINDOW_S`` + burst) x 1.1 + 11,000
tokens. Let the stock be all that could be spent at once: balances of hosts, credit that is not
spent, the holder's pool, and what a request may overdraw. What is spent in a window is at most what
is refilled in it, which is rate x ``WINDOW_S`` because shares, reserves and the refill of the pool
add up to the rate, and the stock at its start. The bound thus holds while the stock is at most
1.1 x burst + 0.8 x rate + 11,000. It is divided as follows, where x is the leased part of the rate:

- balances of hosts: x (burst + rate) x 0.9, see ``host_capacity``;
- the pool: burst x 0.2 + ``POOL_SLACK``, and ``UNLEASED_PART`` x burst x
  (1 - x / ``LEASED_PART``), which hosts don't save while less is leased to them;
- credit beyond the capacity of a host, which lapses after ``CREDIT_HOLD_S``: (1 - x) x rate / 2;
- the pool of a new holder, whose predecessor may just have emptied its own: ``TERM_SLACK``. In the
  first term of a deployment there was none, so that its pools start full, like those at rest.

With burst = rate and x = ``LEASED_PART`` this is 1.6 x rate + 9,000. The rest, 0.3 x rate + 2,000,
is for overdrafts: a request needs only a part of the mean balance, so that large requests are not
refused more often than small ones. With a host for each 3,000 tokens/s of a limit and the sizes of
docs/design/hard-load.md, overdrafts of all hosts are about 0.3 of the rate. Their sum is bounded in
the mean, not in the worst case: one request of each host may overdraw by ``MAX_OVERDRAFT`` and half
a second of its share.

These sizes are for the default bound; ``limitbound`` has the factors for others.
"""

import math

import attrs

from catkinhook.requests.limitbound import DEFAULT_WINDOW_S, LimitBound
from catkinhook.requests.workspaces import TokenLimit, WorkspaceDirectory

# Units for each request of a limit that counts requests, so that shares of it can be integers.
REQUEST_UNITS = 1000.0
# Length in seconds of the windows in which the use of a workspace is bounded by default.
WINDOW_S = DEFAULT_WINDOW_S
# Time for which a share is valid after the report that it answers.
LEASE_S = 10.0
# Part of the rate that may be leased as shares; the pool is refilled with at least the rest.
LEASED_PART = 0.7
# Factor on its share for a host whose exchange failed: nobody may get credit from the pool then, so
# the part of the rate that refills it is divided, too. A holder counts so much for hosts that have
# not reported for ``OVERDUE_S``.
ALONE_FACTOR = 1.0 / LEASED_PART
OVERDUE_S = 3.0
# Demand of a host in tokens per second from which it gets a share. The balance of a smaller one
# could not save the cost of a request, so that its share would be lost; requests there are admitted
# by credit from the pool.
MIN_LEASED_DEMAND = 2000.0
# Balance that a host may save, as a part of its share of rate and burst.
CAPACITY_PART = 0.9
# Stock of the holder's pool as a part of the burst, and in addition to that in tokens.
POOL_PART = 0.2
POOL_SLACK = 6000.0
# Further stock of the pool as a part of the burst while no share is leased, so that hosts save
# nothing; it falls in proportion to the leased part.
UNLEASED_PART = 0.5
# Stock of the pool at the start of a term, in tokens.
TERM_SLACK = 3000.0
# Time after which credit beyond the capacity of a host's balance lapses.
CREDIT_HOLD_S = 0.5
# Range of that time for other bounds. A shorter one would end before a call is answered.
MIN_CREDIT_HOLD_S = 0.1
MAX_CREDIT_HOLD_S = 1.0
# Tokens by which a request may overdraw a balance, in addition to half a second of the share.
MAX_OVERDRAFT = 3000.0
# Part of the last share that a host may use after it has lapsed, and the holder reserves for it.
FALLBACK_PART = 0.8
# Time after the last confirmation for which a host uses that part, and the holder reserves it.
FALLBACK_S = 55.0
RESERVE_S = 60.0


def limits_of(
    directory: WorkspaceDirectory | None, bound: LimitBound | None = None
) -> dict[str, TokenLimit]:
    """Return the limits of workspaces by name, those on requests in units of ``REQUEST_UNITS``.

    :param bound: bound of the deployment, from which stocks are sized.
    """
    stock = (bound or LimitBound()).stock_factors()
    workspaces = directory.workspace_by_name.values() if directory is not None else ()
    return {
        workspace.name: attrs.evolve(_scale(workspace.limit), stock=stock)
        for workspace in workspaces
        if workspace.limit is not None and workspace.limit.rate > 0
    }


def units_of(limit: TokenLimit) -> float:
    """Return the units for each token or request that a limit counts."""
    return 1.0 if limit.counts_tokens else REQUEST_UNITS


def _scale(limit: TokenLimit) -> TokenLimit:
    units = units_of(limit)
    return attrs.evolve(limit, rate=limit.rate * units, burst=limit.burst * units)


def host_capacity(limit: TokenLimit, share: float) -> float:
    """Return the largest balance in tokens that a host may save from its share."""
    if limit.rate <= 0:
        return 0.0
    seconds = limit.stock.rate + limit.stock.burst * limit.burst / limit.rate
    return CAPACITY_PART * share * seconds


def min_leased_demand(limit: TokenLimit) -> float:
    """Return the demand of a host from which it gets a share, in units per second."""
    return MIN_LEASED_DEMAND if limit.counts_tokens else REQUEST_UNITS


def pool_capacity(limit: TokenLimit, leased: float = math.inf) -> float:
    """Return the largest number of tokens that the holder saves for credit.

    :param leased: tokens per second that are leased as shares.
    """
    burst = limit.stock.burst * limit.burst
    slack = limit.stock.slack * POOL_SLACK if limit.counts_tokens else REQUEST_UNITS
    stock = POOL_PART * burst + slack
    if limit.rate <= 0:
        return stock
    unleased = max(0.0, 1.0 - leased / (LEASED_PART * limit.rate))
    return stock + UNLEASED_PART * burst * unleased


def max_overdraft(limit: TokenLimit, share: float) -> float:
    """Return the units by which a host may overdraw its balance."""
    return (MAX_OVERDRAFT if limit.counts_tokens else 0.0) + 0.5 * share


def credit_hold_s(limit: TokenLimit) -> float:
    """Return the seconds after which credit beyond the capacity of a host's balance lapses."""
    return min(MAX_CREDIT_HOLD_S, max(MIN_CREDIT_HOLD_S, limit.stock.rate * CREDIT_HOLD_S))


def term_start(limit: TokenLimit, is_first: bool = False) -> float:
    """Return the tokens in the pool of a new holder.

    :param is_first: whether no host ever held the lease before, so that nothing has been spent.
    """
    if is_first:
        return pool_capacity(limit, 0.0)
    slack = limit.stock.slack * TERM_SLACK if limit.counts_tokens else REQUEST_UNITS
    return min(pool_capacity(limit), slack)
