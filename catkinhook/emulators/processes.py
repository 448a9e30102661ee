"""Run an emulator as a separate process."""

import json
import signal
import sys

from catkinhook.kernel import Service
from catkinhook.signals import receive_signals


def run_until_terminated(emulator: Service) -> int:
    """Start an emulator, print its address as a JSON line, and close it on SIGTERM or SIGINT.

    :returns: exit code 0.
    """
    wait_for_signal = receive_signals(signal.SIGTERM, signal.SIGINT)
    emulator.start()
    print(json.dumps({"address": emulator.address}), flush=True)
    try:
        wait_for_signal()
    finally:
        emulator.close()
        sys.stdout.flush()
    return 0
