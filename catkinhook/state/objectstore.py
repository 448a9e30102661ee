"""Client of the platform's object store."""

from typing import Protocol
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from catkinhook.errors import Effect, StoreError
from catkinhook.httpheads import is_delimited, make_pool_manager


class ObjectStore(Protocol):
    """Calls of the object store that the system uses; thread-safe."""

    def put(self, key: str, content: bytes) -> Result[None, StoreError]:
        """Store an object, replacing an existing one with the same key."""

    def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Return the content of an object, or None if it does not exist."""

    def delete(self, key: str) -> Result[None, StoreError]:
        """Delete an object; it is not an error if it does not exist."""


class HttpObjectStore:
    """Client of the object store over HTTP.

    :param url: base URL of the platform.
    :param timeout: timeout of one call in seconds.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._pool = make_pool_manager(
            maxsize=8, retries=False, timeout=urllib3.Timeout(total=timeout)
        )

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def put(self, key: str, content: bytes) -> Result[None, StoreError]:
        """Store an object, replacing an existing one with the same key."""
        return self._call("PUT", key, content).map(lambda _: None)

    def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Return the content of an object, or None if it does not exist."""
        return self._call("GET", key)

    def delete(self, key: str) -> Result[None, StoreError]:
        """Delete an object; it is not an error if it does not exist."""
        return self._call("DELETE", key).map(lambda _: None)

    def _call(self, method: str, key: str, body: bytes | None = None) -> Result:
        effect = Effect.NONE if method == "GET" else Effect.UNKNOWN
        try:
            response = self._pool.request(
                method, f"{self._url}/objects/{quote(key, safe='')}", body=body
            )
        except urllib3.exceptions.HTTPError as error:
            return Err(StoreError("objects", self._url, f"no answer: {error}", effect))
        if response.status == 404:
            return Ok(None)
        if response.status >= 400:
            return Err(StoreError("objects", self._url, f"answered {response.status}", effect))
        if method == "GET" and not is_delimited(response.headers):
            reason = "sent an object whose end can't be told from a lost connection"
            return Err(StoreError("objects", self._url, reason, effect))
        return Ok(response.data)
