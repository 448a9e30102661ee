"""Time for which hosts refuse a request that crashed endpoints.

A host refuses such a request after two crashes. The host that holds the lease for orders sends it
as a probe after a while, and its completion ends the quarantine. Ordinary crashes may cut a sound
request, so the first hold is short; each further crash prolongs it.
"""

from collections.abc import Sequence

import attrs

from catkinhook.requests.partevidence import SAME_CAUSE_S

CRASHES_TO_HOLD = 2
# Time after the latest crash from which the request is probed, and its growth with each crash.
FIRST_HOLD_S = 10.0
HOLD_GROWTH = 4.0
MAX_HOLD_STEPS = 8
# Probes that may crash an endpoint before only the end of the quarantine lets the request back in.
MAX_PROBES = 3
# A quarantine ends after this many times the hold. The holder may get no such request to probe.
HOLDS_TO_END = 10


@attrs.frozen(kw_only=True)
class RequestHold:
    """Quarantine of one request.

    :ivar crashes: crashes that count.
    :ivar probe_at: time from which one request may be sent as a probe.
    :ivar ends_at: time from which all requests are sent again.
    """

    crashes: int
    probe_at: float
    ends_at: float


def find_hold(crashed_at: Sequence[float]) -> RequestHold | None:
    """Return the quarantine of a request, None if it has crashed too few endpoints.

    Crashes within ``SAME_CAUSE_S`` of each other count once, as they may have a cause from outside.

    :param crashed_at: times of the crashes since the request last completed, in ascending order.
    """
    counted: list[float] = []
    for at in crashed_at:
        if not counted or at - counted[-1] >= SAME_CAUSE_S:
            counted.append(at)
    if len(counted) < CRASHES_TO_HOLD:
        return None
    steps = len(counted) - CRASHES_TO_HOLD
    hold_s = FIRST_HOLD_S * HOLD_GROWTH ** min(steps, MAX_HOLD_STEPS)
    ends_at = crashed_at[-1] + HOLDS_TO_END * hold_s
    probe_at = crashed_at[-1] + hold_s if steps <= MAX_PROBES else ends_at
    return RequestHold(crashes=len(counted), probe_at=probe_at, ends_at=ends_at)
