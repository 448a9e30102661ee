"""Operators' commands, which talk to the operators' API of any controller."""

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

from catkinhook.faults import Fault
from catkinhook.operations.adminclient import AdminClient, AdminError, DocumentInfo
from catkinhook.operations.render import (
    render_claims,
    render_history,
    render_status,
)
from catkinhook.state.documents import Document, parse_document

# States of a spread that is still going on are polled this often.
SPREAD_POLL_S = 0.5


class Exit(enum.IntEnum):
    """Exit codes of the operators' commands."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNREACHABLE = 4
    IN_DOUBT = 5


_EXIT_BY_CODE = {
    "document-conflict": Exit.CONFLICT,
    "document-faults": Exit.INVALID,
    "outcome-unknown": Exit.IN_DOUBT,
    "unreachable": Exit.UNREACHABLE,
    "store-unavailable": Exit.UNREACHABLE,
}


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class Access:
    """How a command reaches the operators' API.

    :ivar admin: base URL of any controller's operators' API.
    :ivar token_file: file with the operators' bearer token.
    :ivar output: text or json.
    """

    admin: Annotated[
        str, Parameter(env_var="CATKINHOOK_ADMIN", help="URL of any controller's operators' API.")
    ] = "http://127.0.0.1:7180"
    token_file: Annotated[
        Path, Parameter(env_var="CATKINHOOK_TOKEN_FILE", help="File with the operators' token.")
    ] = Path("admin-token")
    output: Annotated[str, Parameter(help="text or json.")] = "text"

    def connect(self) -> AdminClient:
        """Return a client; the process ends with code 2 when the token can't be read."""
        if self.output not in ("text", "json"):
            fail(f"--output must be text or json, not {self.output!r}", Exit.INVALID)
        try:
            token = self.token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            fail(f"cannot read --token-file {str(self.token_file)!r}: {error}", Exit.INVALID)
        return AdminClient(self.admin, token, getpass.getuser())

    def show(self, value: Any, text: str) -> None:
        """Print a value as JSON or its text, as asked for."""
        print(json.dumps(value, indent=2) if self.output == "json" else text.rstrip("\n"))


DEFAULT_ACCESS = Access()


def fail(reason: str, code: Exit) -> NoReturn:
    """Print a reason to standard error and end the process."""
    print(reason, file=sys.stderr)
    sys.exit(code)


def _unwrap(result: Result[Any, AdminError]) -> Any:
    if result.is_ok():
        return result.unwrap()
    error: AdminError = result.unwrap_err()
    for fault in error.faults:
        print(fault, file=sys.stderr)
    if error.diff:
        print("the document in force differs from yours:\n" + error.diff, file=sys.stderr)
    if error.code == "outcome-unknown" or (error.status == 0 and "no answer" in error.reason):
        print("run 'catkinhook history' to see whether a change was accepted", file=sys.stderr)
    fail(str(error), _EXIT_BY_CODE.get(error.code, Exit.REFUSED))


def _read_document(path: Path) -> tuple[str, Document]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path}: cannot read: {error}", Exit.INVALID)
    parsed = parse_document(text, str(path))
    if parsed.is_err():
        print_faults(parsed.unwrap_err())
        sys.exit(Exit.INVALID)
    return text, parsed.unwrap()


def print_faults(faults: list[Fault]) -> None:
    """Print each fault of a file on a line of its own to standard error."""
    for fault in faults:
        print(fault, file=sys.stderr)


def _find_current(client: AdminClient, service: str) -> DocumentInfo:
    found = client.read(service)
    if found.is_err() and found.unwrap_err().status == 404:
        return DocumentInfo(service=service, version=0, number=0, author="")
    return _unwrap(found)


def _render_diff(current: DocumentInfo, text: str, path: Path) -> str:
    lines = difflib.unified_diff(
        current.body.splitlines(),
        text.splitlines(),
        f"{current.service} version {current.version}",
        str(path),
        lineterm="",
    )
    return "\n".join(lines)


def _find_version(client: AdminClient, service: str) -> int:
    """Return the version after the last change, which a withdrawal also raises."""
    changes = _unwrap(client.history(service, 1))
    return changes[0].version if changes else 0


def check(documents: list[Path], *, access: Access = DEFAULT_ACCESS) -> int:
    """Check documents without sending them; every fault is printed with its line.

    Example: catkinhook check chat.yaml ledger.yaml

    :param documents: files to check.
    """
    faulty = False
    for path in documents:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            fail(f"{path}: cannot read: {error}", Exit.INVALID)
        result = parse_document(text, str(path))
        print_faults(result.err() or [])
        faulty = faulty or result.is_err()
        if result.is_ok():
            print(f"{path}: service {result.unwrap().service!r} is valid")
    return Exit.INVALID if faulty else Exit.OK


def apply(
    document: Path,
    *,
    expect_version: int | None = None,
    dry_run: bool = False,
    wait: float = 19.0,
    access: Access = DEFAULT_ACCESS,
) -> int:
    """Put a document in force, show what changes and wait until all live instances have it.

    Example: catkinhook apply chat.yaml --expect-version 3

    Exit codes: 0 accepted, 1 refused, 2 faulty, 3 another operator came first, 4 not reachable,
    5 unknown whether accepted.

    :param expect_version: version that was edited; without it, the version in force now.
    :param dry_run: show the difference only.
    :param wait: seconds to wait until the change is in force on all live instances.
    """
    text, parsed = _read_document(document)
    client = access.connect()
    current = _find_current(client, parsed.service)
    diff = _render_diff(current, text, document)
    if not diff:
        print(f"{document}: version {current.version} in force is the same", file=sys.stderr)
        return Exit.OK
    print(diff, file=sys.stderr)
    if dry_run:
        return Exit.OK
    version = current.version or _find_version(client, parsed.service)
    expected = version if expect_version is None else expect_version
    accepted = _unwrap(client.apply(parsed.service, text, expected))
    lacking = _await_spread(client, accepted.number, wait)
    access.show(
        attrs.asdict(accepted) | {"lacking": lacking},
        f"version {accepted.version} accepted as change {accepted.number}; "
        + (f"not yet in force on {', '.join(lacking)}" if lacking else "in force on all instances"),
    )
    return Exit.OK


def _await_spread(client: AdminClient, number: int, wait: float) -> list[str]:
    """Return the live instances on which a change is not in force after the wait."""
    deadline = time.monotonic() + wait
    while True:
        status = client.status()
        if status.is_ok():
            lacking = [
                instance["member"]["node"]
                for instance in status.unwrap()["instances"]
                if instance["member"]["configuration"] < number
            ] + status.unwrap()["missing"]
            if not lacking:
                return []
        else:
            lacking = ["the controller that was asked"]
        if time.monotonic() >= deadline:
            return lacking
        print(f"waiting for {', '.join(lacking)}", file=sys.stderr)
        time.sleep(SPREAD_POLL_S)


def show(service: str | None = None, *, access: Access = DEFAULT_ACCESS) -> int:
    """Print the document of a service, or list all documents.

    Example: catkinhook show chat
    """
    client = access.connect()
    if service is None:
        infos = _unwrap(client.documents())
        access.show([attrs.asdict(info) for info in infos], render_history(infos))
        return Exit.OK
    info = _unwrap(client.read(service))
    access.show(attrs.asdict(info), info.body)
    return Exit.OK


def diff(document: Path, *, access: Access = DEFAULT_ACCESS) -> int:
    """Show how a file differs from the document in force.

    Example: catkinhook diff chat.yaml
    """
    text, parsed = _read_document(document)
    current = _find_current(access.connect(), parsed.service)
    lines = _render_diff(current, text, document)
    access.show({"version": current.version, "diff": lines}, lines or "no difference")
    return Exit.OK


def withdraw(service: str, version: int, *, access: Access = DEFAULT_ACCESS) -> int:
    """Take a document out of force.

    Example: catkinhook withdraw chat 4

    :param version: version in force, as 'show' prints it.
    """
    info = _unwrap(access.connect().withdraw(service, version))
    access.show(attrs.asdict(info), f"withdrawn as change {info.number}")
    return Exit.OK


def history(service: str = "", *, limit: int = 20, access: Access = DEFAULT_ACCESS) -> int:
    """List accepted changes, newest first.

    Example: catkinhook history chat --limit 5
    """
    infos = _unwrap(access.connect().history(service, limit))
    access.show([attrs.asdict(info) for info in infos], render_history(infos))
    return Exit.OK


def status(*, access: Access = DEFAULT_ACCESS) -> int:
    """Show instances with their configuration number, models with copies and zones, open orders.

    Example: catkinhook status --output json
    """
    client = access.connect()
    value = _unwrap(client.status())
    claims = client.claims().ok()
    value["claims_in_doubt"] = None if claims is None else len(claims)
    access.show(value, render_status(value))
    return Exit.OK


claims = cyclopts.App(name="claims", help="Claims of non-repeatable requests without an outcome.")


@claims.command(name="list")
def list_claims(*, access: Access = DEFAULT_ACCESS) -> int:
    """List claims whose outcome is not known.

    Example: catkinhook claims list
    """
    rows = _unwrap(access.connect().claims())
    access.show(rows, render_claims(rows))
    return Exit.OK


@claims.command(name="settle")
def settle_claim(key: str, outcome: str, *, note: str = "", access: Access = DEFAULT_ACCESS) -> int:
    """Record what you found out about a claim at the service itself.

    Example: catkinhook claims settle 5f3a... not-run --note "no entry in the ledger"

    :param key: key as 'claims list' prints it.
    :param outcome: ran, or not-run, which lets the caller send the request again.
    """
    if outcome not in ("ran", "not-run"):
        fail(f"outcome must be ran or not-run, not {outcome!r}", Exit.INVALID)
    _unwrap(access.connect().settle(key, f"settled-{outcome}", note))
    access.show({"key": key, "outcome": outcome}, f"{key}: settled as {outcome}")
    return Exit.OK


report = cyclopts.App(name="report", help="Reports.")


@report.command(name="burn")
def report_burn(*, html: Path | None = None, access: Access = DEFAULT_ACCESS) -> int:
    """Show how fast each class uses up its error budget.

    Example: catkinhook report burn --html burn.html

    :param html: also write a page with charts to this file.
    """
    from catkinhook.operations.burnpage import read_report, render_html, render_text

    value = _unwrap(access.connect().burn())
    burn = read_report(value)
    access.show(value, render_text(burn))
    if html is not None:
        html.write_text(render_html(burn), encoding="utf-8")
        print(f"wrote {html}", file=sys.stderr)
    return Exit.OK


def register(app: cyclopts.App) -> None:
    """Add the operators' commands to a command line."""
    for command in (check, apply, show, diff, withdraw, history, status):
        app.command(command)
    for group in (claims, report):
        app.command(group)
