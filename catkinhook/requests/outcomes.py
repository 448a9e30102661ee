"""How attempts end."""

import enum


class Outcome(enum.Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    NOT_RUN = "not run"  # the connection was refused or the endpoint said so
    FAILED = "failed"  # the endpoint answered with an error
    CRASHED = "crashed"  # the connection broke and the endpoint was gone or had restarted
    BROKEN = "broken"  # the connection broke and the endpoint lives on
    CANCELLED = "cancelled"  # the caller left
