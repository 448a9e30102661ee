"""Client of the platform's list of live and leaving hosts, which is updated with a delay."""

import json
from typing import Protocol

import attrs
import urllib3
from result import Err, Ok, Result

from catkinhook.errors import StoreError


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
        self._pool = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(total=timeout))

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
            rows = json.loads(response.data)["hosts"]
            return Ok([_decode_host(row) for row in rows])
        except urllib3.exceptions.HTTPError as error:
            return Err(StoreError("hosts", self._url, f"no answer: {error}"))
        except (ValueError, KeyError, TypeError) as error:
            return Err(StoreError("hosts", self._url, f"answer can't be decoded: {error!r}"))


def _decode_host(row: dict) -> Host:
    leaving = row["state"] == "leaving"
    return Host(row["host"], row["address"], row["service"], row["zone"], leaving)
