"""Deterministic text of emulated engines, derived from the request alone.

A caller can recompute the text of its request, which detects a response to another request.
"""

import json
from collections.abc import Iterator
from typing import Any

import attrs
import xxhash

DEFAULT_MAX_TOKENS = 16
BYTES_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 256


@attrs.frozen(kw_only=True)
class Prompt:
    """The fields of a completion request that determine its response.

    :ivar model: ``model`` or ``model/adapter``.
    :ivar text: the prompt, or the chat messages as JSON.
    :ivar tokens: tokens to generate.
    """

    model: str
    text: str
    tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt in tokens."""
        return max(1, len(self.text.encode()) // BYTES_PER_TOKEN)


def read_prompt(body: dict[str, Any]) -> Prompt:
    """Read the prompt of a completion request.

    :raises ValueError: if the body is not a completion request.
    """
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        raise ValueError("the body must be an object with a string 'model'")
    if "messages" in body:
        text = json.dumps(body["messages"], sort_keys=True)
    else:
        text = json.dumps(body.get("prompt", ""))
    tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(tokens) is not int or tokens < 1:
        raise ValueError("'max_tokens' must be a whole number above 0")
    return Prompt(model=body["model"], text=text, tokens=tokens)


def generate_tokens(prompt: Prompt) -> Iterator[str]:
    """Yield the tokens of the response."""
    seed = xxhash.xxh64_intdigest(f"{prompt.model}\0{prompt.text}".encode())
    for index in range(prompt.tokens):
        yield f"{xxhash.xxh32_hexdigest(index.to_bytes(8, 'big'), seed & 0xFFFFFFFF)} "


def generate_text(body: dict[str, Any]) -> str:
    """Return the complete generated text for a completion request.

    :param body: the request's JSON body.
    """
    return "".join(generate_tokens(read_prompt(body)))


def hash_prefix_blocks(prompt: Prompt) -> list[str]:
    """Return the hashes of a prompt's prefixes in whole blocks, shortest first."""
    content = prompt.text.encode()
    state = xxhash.xxh64(prompt.model.encode())
    hashes = []
    for start in range(0, len(content) - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
        state.update(content[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(state.hexdigest())
    return hashes
