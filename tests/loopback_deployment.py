"""Deployment on the loopback interface, for tests that need separate processes and signals."""

import json
import queue
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import urllib3

ROOT = Path(__file__).resolve().parent.parent
# Generous, since the machine may be busy; only catches a hang.
HANG_S = 40.0
TOKEN = "operator-token-of-tests"


def wait_for(condition: Callable[[], bool], description: str, timeout: float = HANG_S) -> None:
    """Poll until a condition holds.

    :raises AssertionError: if it does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting until {description}")


class Process:
    """One process, which prints its addresses as JSON lines."""

    def __init__(self, *args: str) -> None:
        self.lines: list[dict] = []
        self._unread_lines: queue.Queue[dict] = queue.Queue()
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "catkinhook", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            cwd=ROOT,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in self.popen.stdout:
            try:
                value = json.loads(line)
            except ValueError:
                value = {"raw": line}
            self.lines.append(value)
            self._unread_lines.put(value)

    def await_line(self, key: str) -> dict:
        """Return the first line that contains a key."""
        deadline = time.monotonic() + HANG_S
        while time.monotonic() < deadline:
            try:
                line = self._unread_lines.get(timeout=0.5)
            except queue.Empty:
                if self.popen.poll() is not None:
                    break
                continue
            if key in line:
                return line
        raise AssertionError(f"no line with {key!r} among {self.lines[-5:]}")

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(signal_number)

    def stop(self) -> int:
        """Terminate the process and return its exit code."""
        if self.popen.poll() is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
        try:
            return self.popen.wait(HANG_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            raise


@attrs.define
class Node:
    """Controller and gateway of one entry host."""

    name: str
    controller: Process
    gateway: Process
    controller_address: str
    admin_address: str
    url: str


class Deployment:
    """Platform, endpoints and entry hosts as separate processes."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="catkinhook-test-")
        self.folder = Path(self._folder.name)
        (self.folder / "secret").write_text("a secret that all peers of tests share")
        (self.folder / "token").write_text(TOKEN)
        self.http = urllib3.PoolManager(retries=False, timeout=HANG_S)
        self.processes: list[Process] = []
        self.nodes: list[Node] = []
        self.platform_url = "http://" + self.start_emulator("platform")

    def close(self) -> None:
        """Stop all processes, daemons first."""
        for process in reversed(self.processes):
            process.stop()
        self.http.clear()
        self._folder.cleanup()

    def run(self, *args: str) -> Process:
        """Start a process that ``close`` stops."""
        process = Process(*args)
        self.processes.append(process)
        return process

    def start_emulator(self, *args: str) -> str:
        """Start an emulator and return its address."""
        return self.run("emulate", *args).await_line("address")["address"]

    def register_host(self, host: str, address: str, service: str, zone: str, state="live") -> None:
        """Register an endpoint host in the platform's host list."""
        row = {"host": host, "address": address, "service": service, "zone": zone, "state": state}
        self.http.request("PUT", f"{self.platform_url}/hosts", json={"hosts": [row]})

    def set_faults(self, address: str, **switches: object) -> None:
        """Set fault switches of an emulator."""
        self.http.request("POST", f"http://{address}/faults", json=switches)

    def write_settings(
        self, name: str, zone: str, controller: dict, gateway: dict | None = None
    ) -> str:
        """Write the settings file of a node and return its path."""
        settings = {
            "node": name,
            "zone": zone,
            "secret_file": str(self.folder / "secret"),
            "admin_token_file": str(self.folder / "token"),
            "platform": {"url": self.platform_url, "hosts_interval": "300ms"},
            "gateway": {"address": "127.0.0.1:0", "notice_time": "300ms"} | (gateway or {}),
            "controller": controller,
        }
        path = self.folder / f"{name}-{len(self.processes)}.yaml"
        # JSON is valid YAML.
        path.write_text(json.dumps(settings))
        return str(path)

    def add_node(self, name: str, zone: str, gateway: dict | None = None) -> Node:
        """Start controller and gateway of an entry host."""
        controller = {
            "address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "peers": [node.controller_address for node in self.nodes],
            "head_interval": "500ms",
            "heartbeat_interval": "1s",
            "lease_time": "4s",
        }
        process = self.run("controller", "--settings", self.write_settings(name, zone, controller))
        started = process.await_line("address")
        controller |= {"address": started["address"], "admin_address": started["admin_address"]}
        path = self.write_settings(name, zone, controller, gateway)
        gateway_process = self.run("gateway", "--settings", path)
        port = gateway_process.await_line("port")["port"]
        node = Node(
            name=name,
            controller=process,
            gateway=gateway_process,
            controller_address=started["address"],
            admin_address=started["admin_address"],
            url=f"http://127.0.0.1:{port}",
        )
        self.nodes.append(node)
        return node

    def complete(self, node: Node, model: str, prompt: str, **options: object):
        """Send a chat completion and return the response."""
        body = {"model": model, "messages": [{"role": "user", "content": prompt}]}
        body |= {"max_tokens": 8} | options
        return self.http.request("POST", f"{node.url}/v1/chat/completions", json=body)

    def await_model(self, node: Node, model: str) -> None:
        """Wait until a model serves requests."""
        wait_for(
            lambda: self.complete(node, model, "ready?", max_tokens=1).status == 200,
            f"{model} answers",
        )
