"""Development mode: gateway, controller and emulators in one process on loopback."""

import logging
import secrets
import signal
import tempfile
import time
from pathlib import Path

import attrs

from catkinhook.controller import connect_controller
from catkinhook.emulators.batching import BatchSettings
from catkinhook.emulators.engine import Engine, EngineSettings
from catkinhook.emulators.plainservice import PlainService, PlainServiceSettings
from catkinhook.emulators.platform import Platform, PlatformEmulatorSettings
from catkinhook.gateway import connect_gateway
from catkinhook.kernel import Kernel
from catkinhook.settings import (
    ControllerSettings,
    GatewaySettings,
    PlatformSettings,
    Settings,
)
from catkinhook.signals import receive_signals
from catkinhook.state.configuration import ConfigurationStore
from catkinhook.state.hostlist import Host
from catkinhook.yamlfile import Seconds

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.1
LOOPBACK_ANY_PORT = "127.0.0.1:0"

CHAT_DOCUMENT = """\
service: chat
owner: dev
endpoints:
  kind: engine
  checks_fencing: true
  weight_store: {name: dev, loads_per_second: 4, loads_at_once: 4}
models:
  - {name: small, memory: 8GiB, copies: 2, adapters: [{name: formal, memory: 64MiB}]}
  - {name: large, memory: 40GiB}
classes:
  live: {first_token: 310ms, between_tokens: 46ms, objective: 0.95}
  batch: {priority: deferrable, finish_within: 1h, objective: 0.99}
default_class: live
"""

LEDGER_DOCUMENT = """\
service: ledger
owner: dev
endpoints: {kind: plain}
routes:
  - {path: /postings, method: POST, repeatable: false}
  - {path: /balances, method: GET, repeatable: true}
classes:
  desk: {first_token: 2s, objective: 0.99}
default_class: desk
"""

_log = logging.getLogger(__name__)


class Emulators:
    """Emulated platform, two engines of different speed and a plain service, with documents."""

    def __init__(self) -> None:
        self.platform = Platform(PlatformEmulatorSettings())
        self.engines = [
            Engine(EngineSettings(batch=BatchSettings(step_time=step))) for step in (0.015, 0.03)
        ]
        self.service = PlainService(PlainServiceSettings())

    def start(self) -> None:
        """Start the emulators, add them to the host list and commit the documents."""
        self.platform.start()
        for endpoint in (*self.engines, self.service):
            endpoint.start()
        for index, engine in enumerate(self.engines):
            host = Host(f"engine-{index}", engine.address, "chat", f"zone-{index}")
            self.platform.hosts.put_host(host)
        self.platform.hosts.put_host(Host("ledger-0", self.service.address, "ledger", "zone-0"))
        store = ConfigurationStore(self.platform.table)
        for service, text in (("chat", CHAT_DOCUMENT), ("ledger", LEDGER_DOCUMENT)):
            store.commit(service, text, 0, "dev").unwrap()

    def close(self) -> None:
        """Stop all emulators."""
        for part in (*self.engines, self.service, self.platform):
            part.close()


def make_settings(folder: Path, platform_url: str, port: int, admin_port: int) -> Settings:
    """Return settings for loopback; new secrets are written to a folder."""
    for name in ("secret", "admin-token"):
        (folder / name).write_text(secrets.token_hex(16), encoding="ascii")
    return Settings(
        node="dev",
        zone="zone-0",
        secret_file=str(folder / "secret"),
        admin_token_file=str(folder / "admin-token"),
        log_level="WARNING",
        platform=PlatformSettings(url=platform_url),
        gateway=GatewaySettings(
            address=f"127.0.0.1:{port}", concurrent_requests=64, notice_time=Seconds(0.1)
        ),
        controller=ControllerSettings(
            address=LOOPBACK_ANY_PORT,
            admin_address=f"127.0.0.1:{admin_port}",
            head_interval=Seconds(0.5),
            heartbeat_interval=Seconds(1.0),
        ),
    )


def _await_model(controller: Kernel, model: str) -> None:
    """Wait until a model is routable, without sending requests that would count as refused."""
    workers = controller.find("workers")
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        if any(model in view.models for view in workers.views.values()):
            return
        time.sleep(READY_POLL_S)
    _log.error("timed out waiting for a routable model", extra={"seconds": READY_TIMEOUT_S})


def _print_help(port: int, admin_port: int, folder: Path) -> None:
    url = f"http://127.0.0.1:{port}"
    print(
        f"""catkinhook is ready on {url}, with emulated engines and platform.

A streamed answer:
  curl -N {url}/v1/chat/completions -H 'Content-Type: application/json' \\
    -d '{{"model": "small", "stream": true, "max_tokens": 20,
         "messages": [{{"role": "user", "content": "hello"}}]}}'

A posting that runs at most once, however often it is sent:
  curl {url}/services/ledger/postings -H 'Idempotency-Key: first' -d '{{"amount": 5}}'

The operators' view:
  catkinhook status --admin http://127.0.0.1:{admin_port} --token-file {folder}/admin-token

Stop with Ctrl-C.""",
        flush=True,
    )


def run_dev(port: int, admin_port: int) -> int:
    """Run gateway, controller and emulators until SIGTERM or SIGINT.

    :param port: port for callers.
    :param admin_port: port of the operators' API.
    :returns: exit code.
    """
    wait_for_signal = receive_signals(signal.SIGTERM, signal.SIGINT)
    emulators = Emulators()
    with tempfile.TemporaryDirectory(prefix="catkinhook-") as folder:
        kernels: list[Kernel] = []
        emulators.start()
        try:
            settings = make_settings(Path(folder), emulators.platform.url, port, admin_port)
            controller = connect_controller(settings)
            controller.start()
            kernels.append(controller)
            bound = attrs.evolve(settings.controller, address=controller.find("peers").address)
            gateway = connect_gateway(attrs.evolve(settings, controller=bound))
            gateway.start()
            kernels.append(gateway)
            bound_port = gateway.find("listener").port
            _await_model(controller, "small")
            _print_help(bound_port, admin_port, Path(folder))
            wait_for_signal()
        finally:
            for kernel in reversed(kernels):
                kernel.close()
            emulators.close()
    return 0
