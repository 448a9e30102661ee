"""Gateway in a separate process: ``python -m tests.gateway_process ADDRESS [SETTING=N ...]``."""

import sys
import threading

from catkinhook.gateway import StaticSnapshotSource, build_kernel, run_gateway
from tests.gateway_fakes import make_settings, make_snapshot, make_view


def _read_number(text: str) -> int | float:
    return int(text) if text.isdigit() else float(text)


def main(arguments: list[str]) -> int:
    """Run a gateway for the engine at an address and print its port; returns the exit code."""
    address, *overrides = arguments
    changes = {name: _read_number(value) for name, value in (item.split("=") for item in overrides)}
    settings = make_settings(**changes)
    kernel = build_kernel(settings, StaticSnapshotSource(make_snapshot(make_view(address))))

    def print_port() -> None:
        while not kernel.find("listener").port:
            threading.Event().wait(0.01)
        print(kernel.find("listener").port, flush=True)

    threading.Thread(target=print_port, daemon=True).start()
    return run_gateway(kernel, settings.gateway.notice_time)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
