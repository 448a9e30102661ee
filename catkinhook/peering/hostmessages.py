"""Messages between hosts and their conversion to and from thrift structs."""

from collections.abc import Iterable

import attrs

from catkinhook.control.enginerecords import Demand, EngineRecord
from catkinhook.peering import capacitymessages
from catkinhook.peering.limitmessages import (
    LIMIT_FIELDS,
    decode_shares,
    decode_uses,
    encode_shares,
    encode_uses,
)
from catkinhook.peering.partmessages import decode_part_events, encode_part_events
from catkinhook.peering.readers import Reader
from catkinhook.peering.thriftfields import (
    decode_age,
    decode_suspects,
    encode_age,
    encode_count,
    encode_suspects,
    require_fields,
)
from catkinhook.requests.endpointavailability import LeavingEndpoint
from catkinhook.requests.limitreports import ALL_READ, UnreadUses
from catkinhook.requests.partquarantine import PartEvent
from catkinhook.requests.sharedspeeds import MeasuredSpeed
from catkinhook.requests.suspects import SuspectEvent
from catkinhook.requests.workspacelimits import LimitShare, LimitUse
from catkinhook.state.gatewayreports import Suspect, make_suspect_events
from catkinhook.thrift_hosts import ttypes

# Maximum number of suspect events in one message; the newest are sent.
MAX_SUSPECTS = 64
# Maximum number of endpoints in one message that said that they leave; the newest are sent.
MAX_LEAVING_SENT = 512
# Fields that older processes leave out.
_OPTIONAL_FIELDS = frozenset(
    {
        "leaving",
        "zone",
        "millicores",
        "known_members",
        "readers",
        "members",
        "host_count",
        "speeds",
        "workspaces",
        "shares",
        "limit_number",
    }
)
_NESTED_OPTIONAL_FIELDS = capacitymessages.OPTIONAL_FIELDS | LIMIT_FIELDS
MILLICORES = 1000
# Rates are encoded as integers in requests per 1,000 s, which take fewer bytes than doubles.
RATE_SCALE = 1000


@attrs.frozen(kw_only=True)
class HostReport:
    """Report of a host to the holder of the order lease.

    :ivar address: ``IP:port`` of the host's thrift listener.
    :ivar incarnation: differs after each restart.
    :ivar configuration: version of the configuration in force there.
    :ivar demand_by_item: demand by service and item.
    :ivar running_by_use: the host's requests in progress by endpoint and model.
    :ivar tokens_by_use: unread prompt tokens and reserved tokens of these requests, empty if the
        host does not share capacity.
    :ivar speeds: speeds measured since the last report, None if the host does not share capacity.
    :ivar down: endpoints that the host recently failed to reach.
    :ivar part_events: evidence about prompt parts that crash engines.
    :ivar leaving: endpoints that said in an answer that they leave.
    :ivar known_fence: fencing token of the latest view that the host received.
    :ivar known_revision: revision of that view.
    :ivar cores: CPU capacity of the host in ordinary cores.
    :ivar known_members: revision of the last list of addresses that the host received.
    :ivar limit_uses: uses of workspace limits, None if no workspace has a limit.
    :ivar limit_number: rises with each report of an incarnation that has such uses, None in
        reports without them and from older senders.
    :ivar limit_faults: why entries about limits in the message are ignored.
    :ivar limit_unread: of which workspaces these entries are; it is not sent.
    """

    node: str
    address: str
    incarnation: str
    configuration: int
    demand_by_item: dict[tuple[str, str], Demand]
    running_by_use: dict[tuple[str, str], int]
    down: frozenset[str] = frozenset()
    suspects: tuple[SuspectEvent, ...] = ()
    part_events: tuple[PartEvent, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()
    stopping: bool = False
    known_fence: int = 0
    known_revision: int = 0
    zone: str = ""
    cores: float = 0.0
    known_members: int = -1
    tokens_by_use: dict[tuple[str, str], tuple[float, float]] = attrs.Factory(dict)
    speeds: tuple[MeasuredSpeed, ...] | None = None
    limit_uses: tuple[LimitUse, ...] | None = None
    limit_number: int | None = None
    limit_faults: tuple[str, ...] = ()
    limit_unread: UnreadUses = ALL_READ


@attrs.frozen(kw_only=True)
class Holding:
    """Models and adapters loaded on an engine, as known to the holder of the order lease.

    :ivar sequence: number of orders that the engine accepted since its start.
    """

    endpoint: str
    boot_id: str
    sequence: int
    models: frozenset[str]
    adapters: frozenset[str]


@attrs.frozen(kw_only=True)
class HolderView:
    """Answer of the holder of the order lease to a host's report.

    :ivar holds: false when the sender does not hold the lease.
    :ivar holdings: holdings that changed since the revision in the report.
    :ivar running_by_id: requests of all hosts in progress by endpoint.
    :ivar tokens_by_id: unread prompt tokens and reserved tokens of these requests, without
        endpoints of which none are reported.
    :ivar speeds: merged speeds that changed since the revision in the report, None if the receiver
        does not share capacity.
    :ivar wait_by_item: estimated seconds until missing items are available.
    :ivar addresses: thrift listeners of all hosts that reported recently, empty if their list has
        the revision that the report names.
    :ivar members: revision of that list.
    :ivar host_count: number of hosts that reported recently.
    :ivar readers: hosts that follow the store, None if they are not chosen yet.
    :ivar part_events: evidence about prompt parts that crash engines.
    :ivar leaving: endpoints that said in an answer to any host that they leave.
    :ivar lease_version: version of the lease's row in the store.
    :ivar revision: revision of the holdings.
    :ivar limit_shares: the receiver's shares of workspace limits, None if no workspace has a limit.
    :ivar limit_version: version of the configuration from which the holder derived them; it is not
        sent.
    :ivar limit_faults: as in ``HostReport``.
    """

    node: str
    fence: int
    holds: bool
    holdings: tuple[Holding, ...] = ()
    wait_by_item: dict[tuple[str, str], float] = attrs.Factory(dict)
    addresses: tuple[str, ...] = ()
    configuration: int = 0
    suspects: tuple[SuspectEvent, ...] = ()
    part_events: tuple[PartEvent, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()
    lease_version: int = 0
    revision: int = 0
    running_by_id: dict[str, int] = attrs.Factory(dict)
    members: int = 0
    host_count: int = 0
    readers: tuple[Reader, ...] | None = None
    tokens_by_id: dict[str, tuple[float, float]] = attrs.Factory(dict)
    speeds: tuple[MeasuredSpeed, ...] | None = None
    limit_shares: tuple[LimitShare, ...] | None = None
    limit_version: int = 0
    limit_faults: tuple[str, ...] = ()


def make_holding(record: EngineRecord) -> Holding:
    """Return the holding of an engine, without models and adapters if it is not usable.

    An empty holding tells hosts that can't reach the store that the engine is leaving.
    """
    models = record.usable_models() if record.is_usable else frozenset()
    adapters = [item for item in record.resident_adapters() if item.partition("/")[0] in models]
    return Holding(
        endpoint=record.view.endpoint,
        boot_id=record.view.boot_id,
        sequence=record.sequence,
        models=models,
        adapters=frozenset(adapters),
    )


def encode_report(report: HostReport, now: float) -> ttypes.HostReport:
    """Return the struct of a report."""
    return ttypes.HostReport(
        node=report.node,
        address=report.address,
        incarnation=report.incarnation,
        configuration=report.configuration,
        items=[
            ttypes.ItemDemand(
                service_name=service,
                item=item,
                rate=encode_count(demand.rate * RATE_SCALE),
                unmet=encode_count(demand.unmet * RATE_SCALE),
                waiting=encode_count(demand.waiting),
                running=encode_count(demand.running),
            )
            for (service, item), demand in report.demand_by_item.items()
        ],
        uses=capacitymessages.encode_uses(report.running_by_use, report.tokens_by_use),
        suspects=_encode_events(report.suspects, now) + encode_part_events(report.part_events, now),
        stopping=report.stopping,
        known_fence=report.known_fence,
        known_revision=report.known_revision,
        down=sorted(report.down),
        leaving=_encode_leaving(report.leaving, now),
        zone=report.zone,
        millicores=encode_count(report.cores * MILLICORES),
        known_members=report.known_members,
        speeds=capacitymessages.encode_speeds(report.speeds, now),
        workspaces=encode_uses(report.limit_uses),
        limit_number=None if report.limit_uses is None else report.limit_number,
    )


def decode_report(struct: ttypes.HostReport, now: float) -> HostReport:
    """Return the report of a struct.

    :raises StepError: if a field is absent.
    """
    require_fields(struct, struct.node or "", _OPTIONAL_FIELDS, _NESTED_OPTIONAL_FIELDS)
    limit_uses, limit_faults, limit_unread = decode_uses(struct.workspaces)
    return HostReport(
        node=struct.node,
        address=struct.address,
        incarnation=struct.incarnation,
        configuration=struct.configuration,
        demand_by_item={
            (entry.service_name, entry.item): Demand(
                rate=max(0, entry.rate) / RATE_SCALE,
                unmet=max(0, entry.unmet) / RATE_SCALE,
                waiting=max(0, entry.waiting),
                running=max(0, entry.running),
            )
            for entry in struct.items
        },
        running_by_use={(use.endpoint, use.model): max(0, use.running) for use in struct.uses},
        suspects=_decode_events(struct.suspects, now),
        part_events=decode_part_events(struct.suspects, now),
        stopping=struct.stopping,
        known_fence=struct.known_fence,
        known_revision=struct.known_revision,
        down=frozenset(struct.down),
        leaving=_decode_leaving(struct.leaving or (), now),
        zone=struct.zone or "",
        cores=max(0, struct.millicores or 0) / MILLICORES,
        known_members=-1 if struct.known_members is None else struct.known_members,
        tokens_by_use=capacitymessages.decode_tokens(struct.uses),
        speeds=capacitymessages.decode_speeds(struct.speeds, now),
        limit_uses=limit_uses,
        limit_number=struct.limit_number,
        limit_faults=limit_faults,
        limit_unread=limit_unread,
    )


def encode_view(view: HolderView, now: float) -> ttypes.HolderView:
    """Return the struct of a holder's view."""
    return ttypes.HolderView(
        node=view.node,
        fence=view.fence,
        holds=view.holds,
        holdings=[
            ttypes.Holding(
                endpoint=holding.endpoint,
                boot_id=holding.boot_id,
                sequence=holding.sequence,
                models=sorted(holding.models),
                adapters=sorted(holding.adapters),
            )
            for holding in view.holdings
        ],
        expected=[
            ttypes.ExpectedItem(service_name=service, item=item, wait_ms=encode_count(wait * 1000))
            for (service, item), wait in view.wait_by_item.items()
        ],
        addresses=list(view.addresses),
        configuration=view.configuration,
        suspects=_encode_events(view.suspects, now) + encode_part_events(view.part_events, now),
        lease_version=view.lease_version,
        revision=view.revision,
        uses=capacitymessages.encode_uses(
            {(endpoint, ""): running for endpoint, running in view.running_by_id.items()},
            {(endpoint, ""): tokens for endpoint, tokens in view.tokens_by_id.items()},
        ),
        leaving=_encode_leaving(view.leaving, now),
        members=view.members,
        host_count=encode_count(view.host_count),
        readers=(
            None
            if view.readers is None
            else [ttypes.Reader(address=r.address, zone=r.zone) for r in view.readers]
        ),
        speeds=capacitymessages.encode_speeds(view.speeds, now),
        shares=encode_shares(view.limit_shares),
    )


def decode_view(struct: ttypes.HolderView, now: float) -> HolderView:
    """Return the holder's view of a struct.

    :raises StepError: if a field is absent.
    """
    require_fields(struct, struct.node or "", _OPTIONAL_FIELDS, _NESTED_OPTIONAL_FIELDS)
    limit_shares, limit_faults = decode_shares(struct.shares)
    return HolderView(
        node=struct.node,
        fence=struct.fence,
        holds=struct.holds,
        holdings=tuple(
            Holding(
                endpoint=entry.endpoint,
                boot_id=entry.boot_id,
                sequence=entry.sequence,
                models=frozenset(entry.models),
                adapters=frozenset(entry.adapters),
            )
            for entry in struct.holdings
        ),
        wait_by_item={
            (entry.service_name, entry.item): max(0, entry.wait_ms) / 1000
            for entry in struct.expected
        },
        addresses=tuple(struct.addresses),
        configuration=struct.configuration,
        suspects=_decode_events(struct.suspects, now),
        part_events=decode_part_events(struct.suspects, now),
        lease_version=struct.lease_version,
        revision=struct.revision,
        running_by_id={use.endpoint: max(0, use.running) for use in struct.uses},
        leaving=_decode_leaving(struct.leaving or (), now),
        members=struct.members or 0,
        host_count=len(struct.addresses) if struct.host_count is None else struct.host_count,
        readers=(
            None
            if struct.readers is None
            else tuple(Reader(r.address, r.zone) for r in struct.readers)
        ),
        tokens_by_id={
            endpoint: tokens
            for (endpoint, _), tokens in capacitymessages.decode_tokens(struct.uses).items()
        },
        speeds=capacitymessages.decode_speeds(struct.speeds, now),
        limit_shares=limit_shares,
        limit_faults=limit_faults,
    )


def _encode_leaving(
    endpoints: Iterable[LeavingEndpoint], now: float
) -> list[ttypes.LeavingEndpoint]:
    newest = sorted(endpoints, key=lambda leaving: leaving.told_at, reverse=True)
    return [
        ttypes.LeavingEndpoint(
            endpoint=leaving.endpoint,
            boot_id=leaving.boot_id,
            age_ms=encode_age(leaving.told_at, now),
        )
        for leaving in newest[:MAX_LEAVING_SENT]
    ]


def _decode_leaving(
    structs: Iterable[ttypes.LeavingEndpoint], now: float
) -> tuple[LeavingEndpoint, ...]:
    return tuple(
        LeavingEndpoint(
            endpoint=struct.endpoint,
            boot_id=struct.boot_id,
            told_at=decode_age(struct.age_ms, now),
        )
        for struct in structs
    )


def _encode_events(events: Iterable[SuspectEvent], now: float) -> list:
    shared = [
        Suspect(
            fingerprint=event.fingerprint,
            model=event.model,
            kind=event.kind,
            origin=event.origin,
            sequence=event.sequence,
            seen_at=now - event.age,
            endpoint=event.endpoint,
            boot_id=event.boot_id,
        )
        for event in events
    ]
    return encode_suspects(shared, now)


def _decode_events(structs: list, now: float) -> tuple[SuspectEvent, ...]:
    return tuple(make_suspect_events(decode_suspects(structs, now), now))
