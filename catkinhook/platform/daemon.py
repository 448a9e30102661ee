"""Starts a host on the platform."""

import sys
from pathlib import Path

from catkinhook.host import run_host
from catkinhook.operations.logs import configure_logs
from catkinhook.platform.assembly import make_platform
from catkinhook.platform.settingsfile import find_settings_file, read_settings_file

EXIT_INVALID = 2


def run(settings: Path | None = None) -> int:
    """Run a host until SIGTERM; return its exit code.

    :param settings: settings file of the platform; by default the file that the platform specifies.
    """
    path = settings or find_settings_file()
    if path is None:
        print("no settings file is specified", file=sys.stderr)
        return EXIT_INVALID
    result = read_settings_file(path)
    if result.is_err():
        for fault in result.unwrap_err():
            print(fault, file=sys.stderr)
        return EXIT_INVALID
    checked = result.unwrap()
    configure_logs("WARNING", checked.node, "host")
    return run_host(checked, make_platform(checked), lambda: read_settings_file(path))
