"""Order of the reports of each host, by which the holder of the order lease recognizes late ones.

A host gives a call up after its timeout and sends the next report on a new connection, which
another thread of the holder serves. The holder may handle the earlier report last.
"""

import attrs

from catkinhook.requests.limitsizes import RESERVE_S

# Hosts whose latest reports are remembered; those that reported last are kept.
MAX_REPORTERS = 1024
# Ended processes that are remembered for each host; the latest are kept.
MAX_REPLACED = 8


@attrs.define
class _Reporter:
    """Latest report of a host.

    :ivar number: None if the reports of the sender have none.
    :ivar replaced: incarnations that later ones replaced, the latest last.
    """

    incarnation: str
    number: int | None
    reported_at: float
    replaced: tuple[str, ...] = ()


class ReportOrder:
    """Latest report of each host; it is kept over terms, as late reports may span them."""

    def __init__(self) -> None:
        self._reporter_by_node: dict[str, _Reporter] = {}

    def accept(self, node: str, incarnation: str, number: int | None, now: float) -> bool:
        """Record a report; return false if it comes after a later one of its host.

        :param number: rises with each report of an incarnation, None for senders of an older
            version, whose reports are only ordered by incarnation.
        """
        latest = self._reporter_by_node.pop(node, None)
        if latest is None:
            latest = _Reporter(incarnation, number, now)
        elif _is_late(latest, incarnation, number, now):
            self._reporter_by_node[node] = latest
            return False
        elif latest.incarnation != incarnation:
            others = (*latest.replaced, latest.incarnation)
            replaced = tuple(other for other in others if other != incarnation)
            latest = _Reporter(incarnation, number, now, replaced[-MAX_REPLACED:])
        else:
            latest.number, latest.reported_at = number, now
        # Inserted last, so that the first keys are the hosts that have been silent longest.
        self._reporter_by_node[node] = latest
        if len(self._reporter_by_node) > MAX_REPORTERS:
            del self._reporter_by_node[next(iter(self._reporter_by_node))]
        return True


def _is_late(latest: _Reporter, incarnation: str, number: int | None, now: float) -> bool:
    if incarnation in latest.replaced:
        # A holder that heard of a process too late would take the running one as replaced. Once
        # nothing of the other one is counted any more, accepting it does no harm.
        return now - latest.reported_at < RESERVE_S
    if incarnation != latest.incarnation or number is None or latest.number is None:
        return False
    return number <= latest.number
