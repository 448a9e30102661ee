"""Creates a host's dependencies on the platform."""

import random
from collections.abc import Callable

from catkinhook.host import Platform
from catkinhook.hostsettings import HostSettings
from catkinhook.hoststate import HostState
from catkinhook.platform import protocolnames
from catkinhook.platform.engineclient import EngineClient
from catkinhook.platform.front import (
    FrontApplication,
    ReadinessApplication,
    find_request_id,
)
from catkinhook.platform.records import decode_configuration, decode_endpoint
from catkinhook.platform.storeclient import StoreClient, TableFeed, TableRow
from catkinhook.requests.attempts import ConnectionPool
from catkinhook.requests.endpointavailability import EndpointAvailability
from catkinhook.requests.forwarding import Forwarder
from catkinhook.requests.routetable import RouteTable


def make_platform(settings: HostSettings) -> Platform:
    """Return the dependencies of a host on the platform."""
    store = StoreClient(settings.store_address)

    def make_front_application(
        get_route_table: Callable[[], RouteTable | None],
        forwarder: Forwarder,
        connections: ConnectionPool,
        availability: EndpointAvailability,
        state: HostState,
    ) -> FrontApplication:
        return FrontApplication(
            get_route_table, forwarder, connections, availability, state, random.Random()
        )

    def watch_store_era(on_era: Callable[[int, int], object]) -> None:
        store.on_era = on_era

    return Platform(
        configuration_feed=TableFeed(store, protocolnames.CONFIG_TABLE),
        configuration_key=protocolnames.CONFIG_KEY,
        endpoint_feed=TableFeed(store, protocolnames.ENDPOINT_TABLE),
        lease_row=TableRow(store, protocolnames.OWN_TABLE, protocolnames.LEASE_KEY),
        quarantine_row=TableRow(store, protocolnames.OWN_TABLE, protocolnames.QUARANTINE_KEY),
        engines=EngineClient(),
        decode_configuration=decode_configuration,
        decode_endpoint=decode_endpoint,
        find_request_id=find_request_id,
        make_front_application=make_front_application,
        make_readiness_application=ReadinessApplication,
        store_calls=lambda: dict(store.calls_by_purpose),
        watch_store_era=watch_store_era,
    )
