"""Stored answers for repeated requests: small ones in the row, large ones in the object store."""

import base64

import attrs
from result import Err, Ok, Result

from catkinhook.errors import StoreError
from catkinhook.state.objectstore import ObjectStore
from catkinhook.units import KIB

MAX_INLINE_BYTES = 32 * KIB


@attrs.frozen(kw_only=True)
class Answer:
    """An answer as it is returned to the caller.

    :ivar headers: header fields, which are returned to repeated requests as well.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class AnswerStore:
    """Encodes answers as row values and stores large bodies in the object store.

    :param prefix: prefix of the object keys.
    """

    def __init__(self, objects: ObjectStore, prefix: str) -> None:
        self._objects = objects
        self._prefix = prefix

    def put(self, key: str, claimant: str, answer: Answer) -> Result[dict, StoreError]:
        """Store an answer and return its row value; safe to repeat after an error.

        :param claimant: id of the attempt, which keeps the answers of several attempts apart.
        """
        value = {"status": answer.status, "headers": answer.headers}
        if len(answer.body) <= MAX_INLINE_BYTES:
            return Ok(value | {"body": base64.b64encode(answer.body).decode()})
        name = f"{self._prefix}/{key}/{claimant}"
        stored = self._objects.put(name, answer.body)
        return stored.map(lambda _: value | {"object": name})

    def get(self, value: dict) -> Result[Answer, StoreError]:
        """Return the answer for a row value from ``put``."""
        if "object" not in value:
            body = base64.b64decode(value["body"])
            return Ok(Answer(status=value["status"], headers=value["headers"], body=body))
        result = self._objects.get(value["object"])
        if result.is_err():
            return Err(result.unwrap_err())
        body = result.unwrap()
        if body is None:
            return Err(StoreError("objects", "", f"object {value['object']!r} is missing"))
        return Ok(Answer(status=value["status"], headers=value["headers"], body=body))

    def delete(self, value: dict) -> Result[None, StoreError]:
        """Delete the object of a row value from ``put``, if it has one."""
        return self._objects.delete(value["object"]) if "object" in value else Ok(None)
