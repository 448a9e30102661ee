"""Outcomes of attempts."""

import enum


class Outcome(enum.Enum):
    """Outcome of an attempt; names and values appear in metric labels and log lines."""

    COMPLETED = "completed"
    NOT_RUN = "not run"  # the connection was refused, or the endpoint reported that it did not run
    FAILED = "failed"  # the endpoint answered with an error
    CRASHED = "crashed"  # the connection broke and the endpoint was down or had restarted
    BROKEN = "broken"  # the connection broke and the endpoint is still running
    CANCELLED = "cancelled"  # the caller disconnected
