"""Conversion of controllers' and gateways' messages to and from thrift structs.

Ages on the wire are converted to times on the local clock here, so that no other module handles
both.
"""

from collections.abc import Iterable
from struct import Struct

from catkinhook.errors import StepError
from catkinhook.operations.burn import Bucket
from catkinhook.peering import membership
from catkinhook.peering.thriftfields import (
    decode_age,
    decode_suspects,
    encode_age,
    encode_suspects,
    require_fields,
)
from catkinhook.state import configurationchanges, gatewayreports, views
from catkinhook.thrift_gen import ttypes

# Identity and heartbeat of one member in the field ``beats`` of a digest.
_HEARTBEAT_ENTRY = Struct("!qi")


def encode_change(change: configurationchanges.Change) -> ttypes.Change:
    """Return the struct of a change."""
    return ttypes.Change(
        change.number, change.service, change.version, change.body, change.author, change.nonce
    )


def decode_change(struct: ttypes.Change) -> configurationchanges.Change:
    """Return the change of a struct."""
    return configurationchanges.Change(
        number=struct.number,
        service=struct.service_name,
        version=struct.version,
        body=struct.body,
        author=struct.author,
        nonce=struct.nonce,
    )


def encode_batch(batch: configurationchanges.ChangeBatch) -> ttypes.ChangeBatch:
    """Return the struct of a batch of changes."""
    return ttypes.ChangeBatch(batch.number, [encode_change(c) for c in batch.changes])


def decode_batch(struct: ttypes.ChangeBatch, peer: str) -> configurationchanges.ChangeBatch:
    """Return the batch of a struct.

    :raises StepError: if a field is absent, because a change must never be applied partially.
    """
    require_fields(struct, peer)
    return configurationchanges.ChangeBatch(
        struct.number, tuple(decode_change(c) for c in struct.documents)
    )


def encode_endpoint(view: views.EndpointView, now: float) -> ttypes.EndpointView:
    """Return the struct of an endpoint."""
    report = view.report and ttypes.LoadReport(
        view.report.running,
        view.report.waiting,
        encode_age(view.report.taken_at, now),
        view.report.tokens_per_second,
    )
    return ttypes.EndpointView(
        endpoint=view.endpoint,
        address=view.address,
        service_name=view.service,
        zone=view.zone,
        kind=view.kind,
        leaving=view.leaving,
        role=view.role,
        boot_id=view.boot_id,
        models=sorted(view.models),
        adapters=sorted(view.adapters),
        report=report,
        prefixes=sorted(view.prefixes),
    )


def decode_endpoint(struct: ttypes.EndpointView, now: float) -> views.EndpointView:
    """Return the endpoint of a struct."""
    return views.EndpointView(
        endpoint=struct.endpoint,
        address=struct.address,
        service=struct.service_name,
        zone=struct.zone,
        kind=struct.kind,
        leaving=struct.leaving,
        role=struct.role,
        boot_id=struct.boot_id,
        models=frozenset(struct.models),
        adapters=frozenset(struct.adapters),
        report=struct.report and _decode_load(struct.report, now),
        prefixes=frozenset(struct.prefixes),
    )


def _decode_load(struct: ttypes.LoadReport, now: float) -> views.LoadReport:
    taken_at = decode_age(struct.age_ms, now)
    return views.LoadReport(struct.running, struct.waiting, struct.tokens_per_second, taken_at)


def encode_burn(buckets: Iterable[Bucket]) -> list[ttypes.BurnCounter]:
    """Return the structs of burn counters."""
    return [
        ttypes.BurnCounter(b.service, b.caller_class, b.minutes_ago, b.total, b.met)
        for b in buckets
    ]


def decode_burn(structs: Iterable[ttypes.BurnCounter]) -> list[Bucket]:
    """Return the burn counters of structs."""
    return [Bucket(s.service_name, s.caller_class, s.minutes_ago, s.total, s.met) for s in structs]


def encode_report(report: gatewayreports.GatewayReport, now: float) -> ttypes.GatewayReport:
    """Return the struct of a gateway's report."""
    return ttypes.GatewayReport(
        gateway=report.gateway,
        incarnation=report.incarnation,
        in_progress=report.in_progress,
        demands=[
            ttypes.Demand(d.model, d.requests_per_second, d.in_progress, d.unmet)
            for d in report.demands
        ],
        suspects=encode_suspects(report.suspects, now),
        burn=encode_burn(report.burn),
        ready=report.ready,
    )


def decode_report(
    struct: ttypes.GatewayReport, now: float, peer: str
) -> gatewayreports.GatewayReport:
    """Return the report of a struct.

    :raises StepError: if a field is absent.
    """
    require_fields(struct, peer)
    demands = (
        gatewayreports.Demand(
            model=d.model,
            requests_per_second=d.requests_per_second,
            in_progress=d.in_progress,
            unmet=d.unmet,
        )
        for d in struct.demands
    )
    return gatewayreports.GatewayReport(
        gateway=struct.gateway,
        incarnation=struct.incarnation,
        in_progress=struct.in_progress,
        demands=tuple(demands),
        suspects=tuple(decode_suspects(struct.suspects, now)),
        burn=tuple(decode_burn(struct.burn)),
        ready=struct.ready,
    )


def encode_member(member: membership.Member) -> ttypes.Member:
    """Return the struct of a member."""
    return ttypes.Member(
        node=member.node,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        address=member.address,
        zone=member.zone,
        region=member.region,
        weight=member.weight,
        configuration=member.configuration,
        leaving=member.leaving,
    )


def decode_member(struct: ttypes.Member) -> membership.Member:
    """Return the member of a struct."""
    return membership.Member(
        node=struct.node,
        incarnation=struct.incarnation,
        heartbeat=struct.heartbeat,
        address=struct.address,
        zone=struct.zone,
        region=struct.region,
        weight=struct.weight,
        configuration=struct.configuration,
        leaving=struct.leaving,
    )


def encode_digest(
    digest: membership.Digest, events: Iterable[gatewayreports.Suspect], now: float
) -> ttypes.Digest:
    """Return the struct of a digest with suspect events."""
    return ttypes.Digest(
        sender=encode_member(digest.sender),
        members=[encode_member(member) for member in digest.members],
        suspects=encode_suspects(events, now),
        configuration=digest.sender.configuration,
        beats=b"".join([_HEARTBEAT_ENTRY.pack(b.identity, b.heartbeat) for b in digest.beats]),
        known=digest.known,
        wanted=list(digest.wanted),
        stale=list(digest.stale),
    )


def decode_digest(struct: ttypes.Digest, peer: str) -> membership.Digest:
    """Return the digest of a struct, without its suspect events.

    :raises StepError: if a field is absent or the heartbeats are malformed.
    """
    require_fields(struct, peer)
    if len(struct.beats) % _HEARTBEAT_ENTRY.size:
        reason = f"size of beats, {len(struct.beats)}, is not a multiple of {_HEARTBEAT_ENTRY.size}"
        raise StepError("wire", peer, reason)
    return membership.Digest(
        sender=decode_member(struct.sender),
        members=tuple(decode_member(member) for member in struct.members),
        beats=tuple(
            membership.HeartbeatEntry(*pair) for pair in _HEARTBEAT_ENTRY.iter_unpack(struct.beats)
        ),
        known=struct.known,
        wanted=tuple(struct.wanted),
        stale=tuple(struct.stale),
    )
