"""Entry point of a host with the settings file that the platform specifies.

It does the same as ``catkinhook host``, but doesn't load the command line and the other daemons,
which take half of the start time.
"""

import sys

from catkinhook.platform.daemon import run

if __name__ == "__main__":
    sys.exit(run())
