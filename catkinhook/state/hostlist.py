"""Client of the platform's list of live and leaving hosts, which is updated with a delay."""

import logging
from typing import Any, Protocol

import attrs
import urllib3
from result import Err, Ok, Result

from catkinhook.addresses import split_address
from catkinhook.errors import StoreError
from catkinhook.httpheads import make_pool_manager
from catkinhook.jsontexts import decode_json
from catkinhook.texts import is_encodable

_log = logging.getLogger(__name__)


@attrs.frozen
class Host:
    """One endpoint host in the list.

    :ivar host: name, unique within its service.
    :ivar address: ``IP:port``.
    :ivar leaving: true when the host is about to stop.
    """

    host: str
    address: str
    service: str
    zone: str
    leaving: bool = False

    @property
    def endpoint(self) -> str:
        """Return the endpoint id, ``service/host``."""
        return f"{self.service}/{self.host}"


class HostList(Protocol):
    """Source of endpoint hosts."""

    def list_hosts(self) -> Result[list[Host], StoreError]:
        """Return the hosts currently in the list."""


class HttpHostList:
    """Client of the host list over HTTP.

    :param url: base URL of the platform.
    :param timeout: timeout of one call in seconds.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._pool = make_pool_manager(retries=False, timeout=urllib3.Timeout(total=timeout))
        self._invalid_rows = 0

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def list_hosts(self) -> Result[list[Host], StoreError]:
        """Return the hosts currently in the list."""
        try:
            response = self._pool.request("GET", f"{self._url}/hosts")
            if response.status != 200:
                return Err(StoreError("hosts", self._url, f"answered {response.status}"))
            rows = decode_json(response.data)["hosts"]
            return Ok(self._decode_hosts(rows))
        except urllib3.exceptions.HTTPError as error:
            return Err(StoreError("hosts", self._url, f"no answer: {error}"))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return Err(StoreError("hosts", self._url, f"answer can't be decoded: {error!r}"))

    def _decode_hosts(self, rows: list) -> list[Host]:
        """Return the valid hosts; an invalid row names no endpoint to use."""
        hosts = [host for row in rows if (host := _decode_host(row)) is not None]
        invalid_rows = len(rows) - len(hosts)
        if invalid_rows != self._invalid_rows:
            self._invalid_rows = invalid_rows
            _log.warning("%d rows of the host list are invalid", invalid_rows)
        return hosts


def _decode_host(row: Any) -> Host | None:
    """Return a host, None if a field of its row is missing or invalid."""
    if not isinstance(row, dict):
        return None
    texts = [row.get(field) for field in ("host", "address", "service", "zone")]
    if not all(isinstance(text, str) and is_encodable(text) for text in texts):
        return None
    try:
        split_address(texts[1])
    except ValueError:
        return None
    return Host(*texts, leaving=row.get("state") == "leaving")
