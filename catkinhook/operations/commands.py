"""Operators' commands, which call the admin API of any controller."""

import difflib
import enum
import getpass
import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any, NoReturn

import attrs
import cyclopts
from cyclopts import Parameter
from result import Result

from catkinhook.operations.adminclient import AdminClient, AdminError, DocumentInfo
from catkinhook.operations.render import (
    render_claims,
    render_history,
    render_status,
)
from catkinhook.state.documents import Document, parse_document
from catkinhook.validationerrors import Fault

# Interval at which ``apply`` polls whether all instances have a change.
PROPAGATION_POLL_INTERVAL_S = 0.5


class ExitCode(enum.IntEnum):
    """Exit codes of the operators' commands."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5


_EXIT_CODE_BY_ERROR_CODE = {
    "document-conflict": ExitCode.CONFLICT,
    "document-faults": ExitCode.INVALID,
    "outcome-unknown": ExitCode.OUTCOME_UNKNOWN,
    "unreachable": ExitCode.UNREACHABLE,
    "store-unavailable": ExitCode.UNREACHABLE,
}


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class Access:
    """How a command reaches the admin API.

    :ivar admin: base URL of any controller's admin API.
    :ivar token_file: file with the operators' bearer token.
    :ivar output: text or json.
    """

    admin: Annotated[
        str, Parameter(env_var="CATKINHOOK_ADMIN", help="URL of any controller's admin API.")
    ] = "http://127.0.0.1:7180"
    token_file: Annotated[
        Path, Parameter(env_var="CATKINHOOK_TOKEN_FILE", help="File with the operators' token.")
    ] = Path("admin-token")
    output: Annotated[str, Parameter(help="text or json.")] = "text"

    def connect(self) -> AdminClient:
        """Return a client; exits with code 2 if the token cannot be read."""
        if self.output not in ("text", "json"):
            exit_with_error(f"--output must be text or json, not {self.output!r}", ExitCode.INVALID)
        try:
            token = self.token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            exit_with_error(
                f"cannot read --token-file {str(self.token_file)!r}: {error}", ExitCode.INVALID
            )
        return AdminClient(self.admin, token, getpass.getuser())

    def show(self, value: Any, text: str) -> None:
        """Print a value as JSON or as text, according to ``output``."""
        print(json.dumps(value, indent=2) if self.output == "json" else text.rstrip("\n"))


DEFAULT_ACCESS = Access()


def exit_with_error(reason: str, code: ExitCode) -> NoReturn:
    """Print a reason to standard error and exit."""
    print(reason, file=sys.stderr)
    sys.exit(code)


def _unwrap_or_exit(result: Result[Any, AdminError]) -> Any:
    if result.is_ok():
        return result.unwrap()
    error: AdminError = result.unwrap_err()
    for fault in error.faults:
        print(fault, file=sys.stderr)
    if error.diff:
        print("the document in force differs from yours:\n" + error.diff, file=sys.stderr)
    if error.code == "outcome-unknown" or (error.status == 0 and "no answer" in error.reason):
        print("run 'catkinhook history' to see whether a change was accepted", file=sys.stderr)
    exit_with_error(str(error), _EXIT_CODE_BY_ERROR_CODE.get(error.code, ExitCode.REFUSED))


def _read_document(path: Path) -> tuple[str, Document]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_with_error(f"{path}: cannot read: {error}", ExitCode.INVALID)
    parsed = parse_document(text, str(path))
    if parsed.is_err():
        print_faults(parsed.unwrap_err())
        sys.exit(ExitCode.INVALID)
    return text, parsed.unwrap()


def print_faults(faults: list[Fault]) -> None:
    """Print the faults of a file to standard error, one a line."""
    for fault in faults:
        print(fault, file=sys.stderr)


def _fetch_current(client: AdminClient, service: str) -> DocumentInfo:
    result = client.read(service)
    if result.is_err() and result.unwrap_err().status == 404:
        return DocumentInfo(service=service, version=0, number=0, author="")
    return _unwrap_or_exit(result)


def _render_diff(current: DocumentInfo, text: str, path: Path) -> str:
    lines = difflib.unified_diff(
        current.body.splitlines(),
        text.splitlines(),
        f"{current.service} version {current.version}",
        str(path),
        lineterm="",
    )
    return "\n".join(lines)


def _fetch_last_version(client: AdminClient, service: str) -> int:
    """Return the version of the last change; a withdrawal increments it too."""
    changes = _unwrap_or_exit(client.history(service, 1))
    return changes[0].version if changes else 0


def check(documents: list[Path], *, access: Access = DEFAULT_ACCESS) -> int:
    """Validate documents without sending them; every fault is printed with its line.

    Example: catkinhook check chat.yaml ledger.yaml

    :param documents: files to check.
    """
    has_faults = False
    for path in documents:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            exit_with_error(f"{path}: cannot read: {error}", ExitCode.INVALID)
        result = parse_document(text, str(path))
        print_faults(result.err() or [])
        has_faults = has_faults or result.is_err()
        if result.is_ok():
            print(f"{path}: service {result.unwrap().service!r} is valid")
    return ExitCode.INVALID if has_faults else ExitCode.OK


def apply(
    document: Path,
    *,
    expect_version: int | None = None,
    dry_run: bool = False,
    wait: float = 19.0,
    access: Access = DEFAULT_ACCESS,
) -> int:
    """Apply a document, show the difference and wait until all live instances have it.

    Example: catkinhook apply chat.yaml --expect-version 3

    Exit codes: 0 accepted, 1 refused, 2 invalid, 3 changed by another operator, 4 unreachable,
    5 unknown whether accepted.

    :param expect_version: version that was edited; without it, the version in force now.
    :param dry_run: show the difference only.
    :param wait: seconds to wait until the change is in force on all live instances.
    """
    text, parsed = _read_document(document)
    client = access.connect()
    current = _fetch_current(client, parsed.service)
    diff = _render_diff(current, text, document)
    if not diff:
        print(f"{document}: version {current.version} in force is the same", file=sys.stderr)
        return ExitCode.OK
    print(diff, file=sys.stderr)
    if dry_run:
        return ExitCode.OK
    version = current.version or _fetch_last_version(client, parsed.service)
    expected = version if expect_version is None else expect_version
    accepted = _unwrap_or_exit(client.apply(parsed.service, text, expected))
    pending = _await_propagation(client, accepted.number, wait)
    access.show(
        attrs.asdict(accepted) | {"lacking": pending},
        f"version {accepted.version} accepted as change {accepted.number}; "
        + (f"not yet in force on {', '.join(pending)}" if pending else "in force on all instances"),
    )
    return ExitCode.OK


def _await_propagation(client: AdminClient, number: int, wait: float) -> list[str]:
    """Return the live instances that have not applied a change when the wait is over."""
    deadline = time.monotonic() + wait
    while True:
        status = client.status()
        if status.is_ok():
            pending = [
                instance["member"]["node"]
                for instance in status.unwrap()["instances"]
                if instance["member"]["configuration"] < number
            ] + status.unwrap()["missing"]
            if not pending:
                return []
        else:
            pending = ["the controller that was asked"]
        if time.monotonic() >= deadline:
            return pending
        print(f"waiting for {', '.join(pending)}", file=sys.stderr)
        time.sleep(PROPAGATION_POLL_INTERVAL_S)


def show(service: str | None = None, *, access: Access = DEFAULT_ACCESS) -> int:
    """Print the document of a service, or list all documents.

    Example: catkinhook show chat
    """
    client = access.connect()
    if service is None:
        infos = _unwrap_or_exit(client.documents())
        access.show([attrs.asdict(info) for info in infos], render_history(infos))
        return ExitCode.OK
    info = _unwrap_or_exit(client.read(service))
    access.show(attrs.asdict(info), info.body)
    return ExitCode.OK


def diff(document: Path, *, access: Access = DEFAULT_ACCESS) -> int:
    """Show how a file differs from the document in force.

    Example: catkinhook diff chat.yaml
    """
    text, parsed = _read_document(document)
    current = _fetch_current(access.connect(), parsed.service)
    lines = _render_diff(current, text, document)
    access.show({"version": current.version, "diff": lines}, lines or "no difference")
    return ExitCode.OK


def withdraw(service: str, version: int, *, access: Access = DEFAULT_ACCESS) -> int:
    """Withdraw a document.

    Example: catkinhook withdraw chat 4

    :param version: version in force, as 'show' prints it.
    """
    info = _unwrap_or_exit(access.connect().withdraw(service, version))
    access.show(attrs.asdict(info), f"withdrawn as change {info.number}")
    return ExitCode.OK


def history(service: str = "", *, limit: int = 20, access: Access = DEFAULT_ACCESS) -> int:
    """List accepted changes, newest first.

    Example: catkinhook history chat --limit 5
    """
    infos = _unwrap_or_exit(access.connect().history(service, limit))
    access.show([attrs.asdict(info) for info in infos], render_history(infos))
    return ExitCode.OK


def status(*, access: Access = DEFAULT_ACCESS) -> int:
    """Show instances with their configuration number, models with copies and zones, open orders.

    Example: catkinhook status --output json
    """
    client = access.connect()
    value = _unwrap_or_exit(client.status())
    claims = client.claims().ok()
    value["claims_in_doubt"] = None if claims is None else len(claims)
    access.show(value, render_status(value))
    return ExitCode.OK


claims = cyclopts.App(
    name="claims", help="Claims of non-repeatable requests whose outcome is unknown."
)


@claims.command(name="list")
def list_claims(*, access: Access = DEFAULT_ACCESS) -> int:
    """List claims whose outcome is unknown.

    Example: catkinhook claims list
    """
    rows = _unwrap_or_exit(access.connect().claims())
    access.show(rows, render_claims(rows))
    return ExitCode.OK


@claims.command(name="settle")
def settle_claim(key: str, outcome: str, *, note: str = "", access: Access = DEFAULT_ACCESS) -> int:
    """Record the outcome of a claim as determined at the service itself.

    Example: catkinhook claims settle 5f3a... not-run --note "no entry in the ledger"

    :param key: key as 'claims list' prints it.
    :param outcome: ran, or not-run, which lets the caller send the request again.
    """
    if outcome not in ("ran", "not-run"):
        exit_with_error(f"outcome must be ran or not-run, not {outcome!r}", ExitCode.INVALID)
    _unwrap_or_exit(access.connect().settle(key, f"settled-{outcome}", note))
    access.show({"key": key, "outcome": outcome}, f"{key}: settled as {outcome}")
    return ExitCode.OK


report = cyclopts.App(name="report", help="Reports.")


@report.command(name="burn")
def report_burn(*, html: Path | None = None, access: Access = DEFAULT_ACCESS) -> int:
    """Show the error budget and burn rates of each caller class.

    Example: catkinhook report burn --html burn.html

    :param html: also write a page with charts to this file.
    """
    from catkinhook.operations.burnpage import decode_report, render_html, render_text

    value = _unwrap_or_exit(access.connect().burn())
    burn = decode_report(value)
    access.show(value, render_text(burn))
    if html is not None:
        html.write_text(render_html(burn), encoding="utf-8")
        print(f"wrote {html}", file=sys.stderr)
    return ExitCode.OK


def register(app: cyclopts.App) -> None:
    """Add the operators' commands to a command-line application."""
    for command in (check, apply, show, diff, withdraw, history, status):
        app.command(command)
    for group in (claims, report):
        app.command(group)
