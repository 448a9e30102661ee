"""Conversion of token counts and speeds of endpoints to and from thrift structs."""

from collections.abc import Iterable, Mapping

from catkinhook.peering.thriftfields import decode_age, encode_age, encode_count
from catkinhook.requests.sharedspeeds import MeasuredSpeed
from catkinhook.thrift_hosts import ttypes

# Largest number of speeds that is read from one message.
MAX_SPEEDS_READ = 512
# Largest text of a key in a message.
MAX_KEY_LENGTH = 256
# Largest number of tokens at one endpoint that is read from a message. It keeps sums and
# predictions within plausible ranges; the largest KV cache holds 72,000 tokens.
MAX_TOKENS = 100_000_000
MIN_PACE, MAX_PACE = 10, 10_000
# Fields of nested structs that deployments leave out which don't share capacity.
OPTIONAL_FIELDS = frozenset({"prompt_tokens", "reserved_tokens", "pace", "pace_age_ms"})

_NS_PER_S = 1_000_000_000
_US_PER_S = 1_000_000
_WEIGHT_SCALE = 100
_PACE_SCALE = 100


def encode_uses(
    running_by_use: Mapping[tuple[str, str], int],
    tokens_by_use: Mapping[tuple[str, str], tuple[float, float]],
) -> list[ttypes.EndpointUse]:
    """Return the structs of the requests in progress by endpoint and model.

    :param tokens_by_use: unread prompt tokens and reserved tokens; empty if they aren't shared.
    """
    uses = []
    for use, running in running_by_use.items():
        struct = ttypes.EndpointUse(endpoint=use[0], running=encode_count(running), model=use[1])
        if use in tokens_by_use:
            unread, reserved = tokens_by_use[use]
            struct.prompt_tokens = encode_count(unread)
            struct.reserved_tokens = encode_count(reserved)
        uses.append(struct)
    return uses


def decode_tokens(
    uses: Iterable[ttypes.EndpointUse],
) -> dict[tuple[str, str], tuple[float, float]]:
    """Return unread prompt tokens and reserved tokens by endpoint and model."""
    return {
        (use.endpoint, use.model): (
            _clamp(use.prompt_tokens, 0, MAX_TOKENS),
            _clamp(use.reserved_tokens, 0, MAX_TOKENS),
        )
        for use in uses
        if use.prompt_tokens is not None and use.reserved_tokens is not None
    }


def encode_speeds(
    speeds: tuple[MeasuredSpeed, ...] | None, now: float
) -> list[ttypes.EndpointSpeed] | None:
    """Return the structs of measured speeds, None if speeds are not shared."""
    if speeds is None:
        return None
    return [
        ttypes.EndpointSpeed(
            endpoint=speed.key,
            prompt_token_ns=encode_count(speed.prompt_token_s * _NS_PER_S),
            event_us=encode_count(speed.event_s * _US_PER_S),
            weight=encode_count(speed.weight * _WEIGHT_SCALE),
            pace=None if speed.pace is None else encode_count(speed.pace * _PACE_SCALE),
            pace_age_ms=None if speed.pace is None else encode_age(speed.pace_at, now),
        )
        for speed in speeds
    ]


def decode_speeds(
    structs: Iterable[ttypes.EndpointSpeed] | None, now: float
) -> tuple[MeasuredSpeed, ...] | None:
    """Return the measured speeds of a message; implausible ones are left out.

    :returns: None if the sender doesn't share speeds.
    """
    if structs is None:
        return None
    speeds = []
    for struct in list(structs)[:MAX_SPEEDS_READ]:
        if not struct.endpoint or len(struct.endpoint) > MAX_KEY_LENGTH or struct.weight <= 0:
            continue
        # A pace of unknown age could replace a later one.
        has_pace = struct.pace is not None and struct.pace_age_ms is not None
        has_pace = has_pace and MIN_PACE <= struct.pace <= MAX_PACE
        speeds.append(
            MeasuredSpeed(
                key=struct.endpoint,
                prompt_token_s=max(0, struct.prompt_token_ns) / _NS_PER_S,
                event_s=max(0, struct.event_us) / _US_PER_S,
                weight=struct.weight / _WEIGHT_SCALE,
                pace=struct.pace / _PACE_SCALE if has_pace else None,
                pace_at=decode_age(struct.pace_age_ms, now) if has_pace else float("-inf"),
            )
        )
    return tuple(speeds)


def _clamp(value: float, least: float, most: float) -> float:
    return max(least, min(most, value))
