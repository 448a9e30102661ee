"""Header in which an endpoint states its load: ``RUNNING,WAITING,SLOTS[,PACE]``."""

import logging
import threading

from catkinhook.texts import parse_count

_log = logging.getLogger(__name__)

# Figures above this are implausible.
MAX_FIGURE = 100_000
# Pace in hundredths; 250 means that work takes 2.5 times as long.
MIN_PACE, MAX_PACE = 10, 10_000
# Endpoints whose invalid headers are remembered. Further ones are not logged.
MAX_LOGGED = 512
MAX_LOGGED_LENGTH = 64


def parse_load(text: str) -> tuple[tuple[int, ...] | None, str]:
    """Parse the header, or an empty text if there is none.

    :returns: running and waiting requests, and the pace if it is valid, or None; and what is wrong,
        empty if nothing is.
    """
    if not text:
        return None, ""
    parts = [part.strip() for part in text.split(",", 4)]
    counts = [parse_count(part) for part in parts[:2]]
    if len(counts) < 2:
        return None, "figures are missing"
    if any(count is None or count > MAX_FIGURE for count in counts):
        return None, "running or waiting is not a plausible number"
    slots = parse_count(parts[2]) if len(parts) > 2 else 0
    fault = "" if slots is not None and slots <= MAX_FIGURE else "slots is not a plausible number"
    if len(parts) < 4:
        return (counts[0], counts[1]), fault
    pace = parse_count(parts[3])
    if pace is None or not MIN_PACE <= pace <= MAX_PACE:
        return (counts[0], counts[1]), "the pace is not a plausible number"
    return (counts[0], counts[1], pace), fault


class LoadFaultLog:
    """Logs the first invalid load header of each endpoint."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._logged: set[str] = set()

    def record(self, endpoint: str, text: str, fault: str) -> bool:
        """Log an invalid header; return false if one of this endpoint was logged before."""
        with self._lock:
            if endpoint in self._logged or len(self._logged) >= MAX_LOGGED:
                return False
            self._logged.add(endpoint)
        shown = text[:MAX_LOGGED_LENGTH]
        _log.warning("load header %r of endpoint %r is ignored: %s", shown, endpoint, fault)
        return True


LOAD_FAULTS = LoadFaultLog()
