"""Command line that runs the daemons and serves operators."""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import cyclopts
from cyclopts import Parameter

from catkinhook import __version__
from catkinhook.operations import commands
from catkinhook.operations.logs import configure_logs
from catkinhook.settings import Settings, read_settings
from catkinhook.yamlfile import parse_bytes, parse_seconds

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2

LOOPBACK_ANY_PORT = "127.0.0.1:0"

app = cyclopts.App(
    name="catkinhook",
    version=__version__,
    help="Serve many models on fewer accelerators.",
)
emulate = cyclopts.App(name="emulate", help="Run an emulator of an external system.")
app.command(emulate)
commands.register(app)

SettingsFile = Annotated[Path, Parameter(name="--settings", help="Settings file in YAML.")]


def _parse(parse: Callable[[str], Any], name: str, text: str) -> Any:
    try:
        return parse(text)
    except ValueError as error:
        print(f"--{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID)


def _load_settings(path: Path) -> Settings:
    result = read_settings(path)
    if result.is_err():
        commands.print_faults(result.unwrap_err())
        sys.exit(EXIT_INVALID)
    return result.unwrap()


@app.command
def gateway(settings: SettingsFile) -> int:
    """Run a gateway until SIGTERM.

    Example: catkinhook gateway --settings entry-1.yaml
    """
    from catkinhook.gateway import connect_gateway, run_gateway

    checked = _load_settings(settings)
    configure_logs(checked.log_level, checked.node, "gateway")
    return run_gateway(connect_gateway(checked), checked.gateway.notice_time)


@app.command
def controller(settings: SettingsFile) -> int:
    """Run the controller of this host until SIGTERM.

    Example: catkinhook controller --settings entry-1.yaml
    """
    from catkinhook.controller import connect_controller, run_controller

    checked = _load_settings(settings)
    configure_logs(checked.log_level, checked.node, "controller")
    return run_controller(connect_controller(checked))


@app.command
def host(settings: Annotated[Path | None, Parameter(name="--settings")] = None) -> int:
    """Run a host, which serves callers and loads models, until SIGTERM.

    Example: catkinhook host --settings local.conf

    :param settings: settings file of the platform; by default the file that the platform specifies.
    """
    from catkinhook.platform.daemon import run

    return run(settings)


@app.command
def quarantines(address: str, *, lift: str = "") -> int:
    """List the prompt parts that a host refuses because they crashed engines, or lift one.

    Example: catkinhook quarantines 10.0.0.7:9100 --lift llm/5c1e07a2

    :param address: IP:port of the readiness listener of any host.
    :param lift: the parts of a quarantine as listed, which all hosts then accept again.
    """
    import urllib3

    from catkinhook.requests.quarantinecontrol import OPERATOR_TIMEOUT_S

    method, fields = ("DELETE", {"parts": lift}) if lift else ("GET", None)
    url = f"http://{address}/quarantines"
    try:
        answer = urllib3.request(
            method, url, fields=fields, timeout=OPERATOR_TIMEOUT_S, retries=False
        )
        value = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        print(f"host {address} gave no answer: {error}", file=sys.stderr)
        return commands.ExitCode.UNREACHABLE
    if not lift and not isinstance(value, list):
        # Earlier versions answer every request with their readiness.
        print(f"host {address} doesn't list quarantines", file=sys.stderr)
        return EXIT_FAILED
    print(json.dumps(value, indent=2))
    return EXIT_OK if answer.status == 200 else EXIT_FAILED


@app.command
def check_configuration(
    file: Path, *, in_force: Annotated[Path | None, Parameter(name="--in-force")] = None
) -> int:
    """Check a configuration in the platform's JSON form, and list what it changes.

    Prints entries that are invalid or can never match, limits that contradict each other, and the
    differences from another version. Keys are only counted.

    Example: catkinhook check-configuration new.json --in-force now.json

    :param file: configuration to check.
    :param in_force: configuration that is in force.
    """
    from catkinhook.operations.configurationcheck import (
        check_succession,
        check_table,
        is_clean,
        list_differences,
    )
    from catkinhook.platform.configurationfile import read_configuration

    def read(path: Path) -> bytes:
        try:
            return path.read_bytes()
        except OSError as error:
            print(f"cannot read {path}: {error.strerror}", file=sys.stderr)
            sys.exit(EXIT_FAILED)

    table, findings = read_configuration(read(file))
    if table is not None:
        findings += check_table(table)
    current = None
    if in_force is not None:
        current, faults = read_configuration(read(in_force))
        if current is None:
            for fault in faults:
                print(f"{in_force}: {fault}", file=sys.stderr)
            return EXIT_FAILED
    if table is not None and current is not None:
        findings += check_succession(table, current)
    for finding in findings:
        print(finding)
    if table is not None and current is not None:
        for line in list_differences(current, table):
            print(f"difference: {line}")
    return EXIT_OK if is_clean(findings) else EXIT_FAILED


@app.command
def dev(*, port: int = 8080, admin_port: int = 7180) -> int:
    """Run a gateway, a controller and emulators in one process on loopback.

    Example: catkinhook dev --port 8080

    :param port: port for callers.
    :param admin_port: port of the operators' API.
    """
    from catkinhook.dev import run_dev

    configure_logs("WARNING", "dev", "dev")
    return run_dev(port, admin_port)


@emulate.command
def engine(
    *,
    address: str = LOOPBACK_ANY_PORT,
    memory: str = "80GiB",
    step_time: str = "20ms",
    checks_fencing: bool = False,
    weight_store: str = "",
) -> int:
    """Run an emulated model engine; its address is printed as JSON.

    Example: catkinhook emulate engine --memory 80GiB --step-time 20ms

    :param memory: accelerator memory.
    :param step_time: time of a decoding step with one request.
    :param checks_fencing: reject orders with a stale fencing token.
    :param weight_store: URL of a weight store, such as http://127.0.0.1:7000/weights/jusoor.
    """
    from catkinhook.emulators.batching import BatchSettings
    from catkinhook.emulators.engine import EngineSettings, run_engine

    return run_engine(
        EngineSettings(
            address=address,
            memory=_parse(parse_bytes, "memory", memory),
            batch=BatchSettings(step_time=_parse(parse_seconds, "step-time", step_time)),
            checks_fencing=checks_fencing,
            weight_store=weight_store,
        )
    )


@emulate.command
def service(*, address: str = LOOPBACK_ANY_PORT, work_time: str = "5ms") -> int:
    """Run an emulated plain service, which counts the runs of each posting.

    :param work_time: time that one request takes.
    """
    from catkinhook.emulators.plainservice import run_plain_service

    return run_plain_service(address, _parse(parse_seconds, "work-time", work_time))


@emulate.command
def platform(*, address: str = LOOPBACK_ANY_PORT, hosts_lag: str = "0s") -> int:
    """Run the emulated platform: table service, object store, weight store and host list.

    :param hosts_lag: delay until a change of the host list is visible.
    """
    from catkinhook.emulators.platform import PlatformEmulatorSettings, run_platform

    lag = _parse(parse_seconds, "hosts-lag", hosts_lag)
    return run_platform(PlatformEmulatorSettings(address=address, hosts_lag=lag))


@app.command
def load(
    *,
    url: str,
    model: list[str],
    requests: int = 100,
    concurrency: int = 8,
    duration: str = "60s",
    max_tokens: int = 32,
    stream: bool = True,
    token: str = "",
) -> int:
    """Send a limited number of requests and check that each answer belongs to its prompt.

    This needs emulated engines, which derive their text from the prompt.

    Example: catkinhook load --url http://127.0.0.1:8080 --model small --requests 200

    :param model: models to request in turn; can be repeated.
    :param requests: number of requests.
    :param concurrency: limit on requests in progress.
    :param duration: time after which no new request is sent.
    :param token: bearer token of a caller.
    """
    from catkinhook.operations.loadgenerator import LoadSettings, run_load

    try:
        settings = LoadSettings(
            url=url,
            models=tuple(model),
            count=requests,
            concurrency=concurrency,
            duration=_parse(parse_seconds, "duration", duration),
            max_tokens=max_tokens,
            stream=stream,
            headers={"Authorization": f"Bearer {token}"} if token else {},
        )
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    result = run_load(settings)
    print(json.dumps(result.describe(), indent=2))
    return EXIT_OK if set(result.ends) == {"complete"} else EXIT_FAILED


@app.command
def schema(kind: str) -> int:
    """Print the JSON schema of documents or settings, for editors.

    Example: catkinhook schema document > document.schema.json

    :param kind: document or settings.
    """
    from catkinhook.operations.schema import make_schema
    from catkinhook.state.documents import Document

    class_by_kind = {"document": Document, "settings": Settings}
    if kind not in class_by_kind:
        print(f"kind must be document or settings, not {kind!r}", file=sys.stderr)
        return EXIT_INVALID
    print(json.dumps(make_schema(class_by_kind[kind]), indent=2))
    return EXIT_OK


@app.command
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    """Run the command line."""
    sys.exit(app())
