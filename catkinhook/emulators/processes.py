"""Run an emulator as a separate process."""

import json
import signal
import sys
import threading

from catkinhook.kernel import Service


def run_until_terminated(emulator: Service) -> int:
    """Start an emulator, print its address as a JSON line, and close it on SIGTERM or SIGINT.

    :returns: exit code 0.
    """
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    emulator.start()
    print(json.dumps({"address": emulator.address}), flush=True)
    try:
        stop.wait()
    finally:
        emulator.close()
        sys.stdout.flush()
    return 0
