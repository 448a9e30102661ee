"""A prompt part that crashes each replica that has begun to write an answer on it."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from crashes import CrashCase  # noqa: E402
from standins import Arrival, run_case  # noqa: E402

DEADLY_PART = "dead0001"
# The replica crashes when it has written one event.
EVENTS_BEFORE_CRASH = 1


def is_deadly(arrival: Arrival) -> bool:
    """Return whether a request has the part."""
    return f"{DEADLY_PART}:" in arrival.headers.get("prompt-prefix", "")


def make_request(number: int, part: str) -> tuple[dict[str, str], bytes]:
    """Return headers and body of a request, no two alike."""
    headers = {
        "Model": "daka510000",
        "Token-Usage": "1460,80",
        "Prompt-Prefix": f"5c1e07a2:350,{part}:400,{number:08x}:710",
    }
    return headers, f"prompt {part} {number}".encode()


def run(has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    case = CrashCase(FOLDER, has_trouble, is_deadly, EVENTS_BEFORE_CRASH)
    try:
        arrivals = case.run(
            lambda number: make_request(0x10000 + number, DEADLY_PART),
            lambda number: make_request(number, f"a11{number % 5:05x}"),
        )
        return case.judge(arrivals, 5)
    finally:
        case.deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(run))
