"""JSON logs on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from catkinhook.operations.queuedhandler import QueuedHandler


def configure_logs(level: str, node: str, program: str) -> None:
    """Send log lines as JSON objects to standard error, without waiting for its reader.

    :param level: lowest level that is written, such as ``INFO``.
    :param node: name of this host, added to each line.
    :param program: name of the daemon, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node": node, "program": program},
        )
    )
    queued = QueuedHandler(handler)
    queued.start()
    root = logging.getLogger()
    root.handlers = [queued]
    root.setLevel(level)
    # These libraries log a line per connection, which the metrics count already.
    for name in ("urllib3", "waitress.queue", "pykka"):
        logging.getLogger(name).setLevel(logging.ERROR)
