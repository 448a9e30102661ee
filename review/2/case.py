"""A request that crashes each replica that begins to run it, whose answers have no length."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from crashes import CrashCase  # noqa: E402
from standins import Arrival, run_case  # noqa: E402

DEADLY_BODY = b"the same prompt each time"
# The replica has sent the head of its answer and crashes before the first event.
EVENTS_BEFORE_CRASH = 0
MODEL = {"Model": "daka510000", "Token-Usage": "1460,80"}


def is_deadly(arrival: Arrival) -> bool:
    """Return whether this is the request that crashes replicas."""
    return arrival.body == DEADLY_BODY


def run(has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    case = CrashCase(FOLDER, has_trouble, is_deadly, EVENTS_BEFORE_CRASH, is_framed=False)
    try:
        arrivals = case.run(
            lambda number: ({**MODEL, "Prompt-Prefix": "dead0001:1460"}, DEADLY_BODY),
            lambda number: (
                {**MODEL, "Prompt-Prefix": f"{number:08x}:1460"},
                f"prompt {number}".encode(),
            ),
        )
        return case.judge(arrivals, 3)
    finally:
        case.deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(run))
