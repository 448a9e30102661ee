"""Entry point that runs a host with the settings file specified by the platform.

It is equivalent to ``catkinhook host``, but doesn't import the command line and the other daemons,
which would take half of the start-up time.
"""

import sys

from catkinhook.platform.daemon import run

if __name__ == "__main__":
    sys.exit(run())
