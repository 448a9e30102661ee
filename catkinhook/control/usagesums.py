"""Sums of the requests and tokens that hosts report, kept up to date with each report.

A host subtracts its own part from the sums, so they must contain its latest report.
"""

import attrs

from catkinhook.peering.hostmessages import HostReport


@attrs.define
class UsageSums:
    """Running requests, unread prompt tokens and reserved tokens by endpoint, over all hosts."""

    _sums_by_id: dict[str, list[float]] = attrs.Factory(dict)
    _usage_by_node: dict[str, dict[str, list[float]]] = attrs.Factory(dict)

    def replace(self, node: str, report: HostReport | None) -> None:
        """Replace the part of a host, with nothing if it has no report any more."""
        for endpoint, usage in self._usage_by_node.pop(node, {}).items():
            left = [max(0.0, a - b) for a, b in zip(self._sums_by_id[endpoint], usage, strict=True)]
            if any(left):
                self._sums_by_id[endpoint] = left
            else:
                del self._sums_by_id[endpoint]
        if report is None:
            return
        usage_by_id: dict[str, list[float]] = {}
        for use, running in report.running_by_use.items():
            tokens = report.tokens_by_use.get(use, (0.0, 0.0))
            usage = (running, round(tokens[0]), round(tokens[1]))
            if not any(usage):
                # Sums of zero are removed, so that nothing could be deducted from them later.
                continue
            usage_by_id[use[0]] = _add(usage_by_id.get(use[0]), usage)
        self._usage_by_node[report.node] = usage_by_id
        for endpoint, usage in usage_by_id.items():
            self._sums_by_id[endpoint] = _add(self._sums_by_id.get(endpoint), usage)

    def running_by_id(self) -> dict[str, int]:
        """Return the requests in progress by endpoint."""
        return {endpoint: int(sums[0]) for endpoint, sums in self._sums_by_id.items()}

    def tokens_by_id(self) -> dict[str, tuple[float, float]]:
        """Return unread prompt tokens and reserved tokens by endpoint."""
        return {endpoint: (sums[1], sums[2]) for endpoint, sums in self._sums_by_id.items()}


def _add(sums: list[float] | None, usage: tuple[float, ...] | list[float]) -> list[float]:
    if sums is None:
        return list(usage)
    return [a + b for a, b in zip(sums, usage, strict=True)]
