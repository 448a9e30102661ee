"""Thin daemon: a host with the settings file that the platform names.

``catkinhook host`` does the same. This one leaves the command line and the other daemons unloaded,
which take half of the time of a start.
"""

import sys

from catkinhook.platform.daemon import run

if __name__ == "__main__":
    sys.exit(run())
