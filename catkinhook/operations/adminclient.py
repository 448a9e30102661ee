"""Client of the admin API, for the command line."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import attrs
import urllib3
from result import Err, Ok, Result

from catkinhook.errors import StepError
from catkinhook.httpheads import make_pool_manager
from catkinhook.jsontexts import decode_json
from catkinhook.state.configuration import HISTORY_LIMIT
from catkinhook.validationerrors import Fault

STEP = "adminclient"
# Collecting the status of all instances waits for those that do not respond.
TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class DocumentInfo:
    """An accepted change of a document.

    :ivar version: version of the document, which the next edit must name.
    :ivar number: configuration number.
    :ivar body: YAML text; empty when withdrawn or when only listed.
    """

    service: str
    version: int
    number: int
    author: str
    withdrawn: bool = False
    body: str = ""


@attrs.define(auto_exc=True)
class AdminError(StepError):
    """The controller refused a request or could not be reached.

    :ivar code: stable error code, ``unreachable`` without a response.
    :ivar status: HTTP status, 0 without a response.
    :ivar current: document in force, when another operator changed it first.
    :ivar diff: unified diff from that document to the refused one.
    :ivar faults: validation errors of a refused document.
    """

    code: str = "unreachable"
    status: int = 0
    current: DocumentInfo | None = None
    diff: str = ""
    faults: list[Fault] = attrs.Factory(list)


class AdminClient:
    """Client of one controller's admin API.

    :param url: base URL of a controller's admin API, such as ``http://127.0.0.1:7180``.
    :param token: the operators' bearer token.
    :param author: name of the operator, recorded with changes.
    """

    def __init__(
        self, url: str, token: str, author: str = "operator", timeout: float = TIMEOUT_S
    ) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}", "X-Author": author}
        # A change whose response was lost may have been applied, so it must not be retried blindly.
        self._pool = make_pool_manager(retries=False, timeout=urllib3.Timeout(total=timeout))

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def documents(self) -> Result[list[DocumentInfo], AdminError]:
        """Return the documents in force, without their texts."""
        return self._call("GET", "/api/documents", lambda value: _decode_infos(value["documents"]))

    def read(self, service: str) -> Result[DocumentInfo, AdminError]:
        """Return a document with its text."""
        return self._call("GET", _document_path(service), _decode_info)

    def apply(self, service: str, text: str, version: int) -> Result[DocumentInfo, AdminError]:
        """Put a document into force.

        :param version: version that was edited, 0 for a new document.
        """
        return self._call("PUT", _document_path(service), _decode_info, text.encode(), version)

    def withdraw(self, service: str, version: int) -> Result[DocumentInfo, AdminError]:
        """Take a document out of force."""
        return self._call("DELETE", _document_path(service), _decode_info, version=version)

    def history(
        self, service: str = "", limit: int = HISTORY_LIMIT
    ) -> Result[list[DocumentInfo], AdminError]:
        """Return accepted changes with their texts, newest first."""
        path = f"/api/history?service={quote(service, safe='')}&limit={limit}"
        return self._call("GET", path, lambda value: _decode_infos(value["changes"]))

    def status(self) -> Result[dict[str, Any], AdminError]:
        """Return the status of all instances, with the members of ``overview.Overview``."""
        return self._call("GET", "/api/status", dict)

    def burn(self) -> Result[dict[str, Any], AdminError]:
        """Return the error budget report, with the members of ``burn.BurnReport``."""
        return self._call("GET", "/api/burn", dict)

    def claims(self) -> Result[list[dict[str, Any]], AdminError]:
        """Return the claims whose outcome is unknown."""
        return self._call("GET", "/api/claims", lambda value: list(value["claims"]))

    def settle(self, key: str, outcome: str, note: str = "") -> Result[None, AdminError]:
        """Record the outcome of a claim: ``settled-ran`` or ``settled-not-run``."""
        body = json.dumps({"outcome": outcome, "note": note}).encode()
        path = f"/api/claims/{quote(key, safe='')}/settle"
        return self._call("POST", path, lambda value: None, body)

    def _call(
        self,
        method: str,
        path: str,
        decode: Callable[[Any], Any],
        body: bytes | None = None,
        version: int = -1,
    ) -> Result[Any, AdminError]:
        headers = self._headers | ({"If-Match": f'"{version}"'} if version >= 0 else {})
        try:
            response = self._pool.request(method, self._url + path, body=body, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return Err(AdminError(STEP, self._url, f"no answer: {error}"))
        try:
            value = decode_json(response.data)
            if response.status == 200:
                return Ok(decode(value))
            return Err(_decode_problem(response.status, value))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            reason = f"answer {response.status} can't be decoded: {error!r}"
            return Err(AdminError(STEP, self._url, reason, "bad-answer", response.status))


def _document_path(service: str) -> str:
    return f"/api/documents/{quote(service, safe='')}"


def _decode_info(value: dict[str, Any]) -> DocumentInfo:
    names = [field.name for field in attrs.fields(DocumentInfo)]
    return DocumentInfo(**{name: value[name] for name in names if name in value})


def _decode_infos(values: list[dict[str, Any]]) -> list[DocumentInfo]:
    return [_decode_info(value) for value in values]


def _decode_problem(status: int, value: dict[str, Any]) -> AdminError:
    current = value.get("current")
    return AdminError(
        step=value["step"],
        peer=value["peer"],
        reason=value["detail"],
        code=value["type"].rpartition(":")[2],
        status=status,
        current=_decode_info(current) if current else None,
        diff=value.get("diff", ""),
        faults=[Fault(**fault) for fault in value.get("faults", [])],
    )
