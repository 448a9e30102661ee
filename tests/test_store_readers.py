"""Complete hosts that follow a reader of the store over thrift."""

import unittest
from unittest import mock

from catkinhook.host import Host
from catkinhook.hostsettings import Bounds, HostSettings
from catkinhook.peering import readers
from catkinhook.platform.assembly import make_platform
from tests.hostcase import find_port, wait_until
from tests.platform_fakes import FakeEndpoint, FakeStore, make_configuration

HOSTS = 4
DRAIN_S = 4.0


class StoreReadersTest(unittest.TestCase):
    """Four hosts, of which one is a reader and one holds the lease for orders."""

    def setUp(self) -> None:
        for name, value in (("MIN_HOSTS_WITH_READERS", HOSTS - 1), ("MIN_READERS", 1)):
            patch = mock.patch.object(readers, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = FakeStore()
        self.engine = FakeEndpoint("i-e1", ("m1",))
        for fake in (self.store, self.engine):
            fake.start()
            self.addCleanup(fake.close)
        self.store.put("op", "config", make_configuration())
        self.store.put("servers", self.engine.endpoint, self.engine.entry("llm"))
        self.hosts = [self.start_host(number) for number in range(HOSTS)]
        wait_until(lambda: len(self.followers()) >= HOSTS - 2)

    def start_host(self, number: int) -> Host:
        """Start one host."""
        settings = HostSettings(
            node=f"front-{number}",
            zone=f"z{number % 2}",
            region="r1",
            front_address=f"127.0.0.1:{find_port()}",
            ready_address=f"127.0.0.1:{find_port()}",
            peer_address=f"127.0.0.1:{find_port()}",
            seeds=(),
            store_address=self.store.address,
            bounds=Bounds(lease_s=3.0, drain_s=DRAIN_S),
        )
        host = Host(settings, make_platform(settings))
        host.kernel.start()
        self.addCleanup(host.kernel.close)
        return host

    def followers(self) -> list[Host]:
        """Return the hosts that follow a reader."""
        return [host for host in self.hosts if host.follower._followed]

    def knows_leaving(self, host: Host) -> bool:
        """Return whether a host knows that the engine leaves."""
        view = host.endpoints._table.views().get(self.engine.endpoint)
        return view is None or view.leaving

    def count_calls(self, hosts: list[Host]) -> int:
        """Return the calls of some hosts to the store since their start."""
        return sum(sum(host._store_calls().values()) for host in hosts)

    def test_followers_learn_without_calls(self) -> None:
        """Guards against calls to the store by each host, and changes that reach only readers."""
        followers = self.followers()
        calls = self.count_calls(followers)
        entry = {**self.engine.entry("llm"), "state": "draining"}
        self.store.put("servers", self.engine.endpoint, entry)
        self.store.put("op", "config", make_configuration(version=2))
        wait_until(lambda: all(self.knows_leaving(host) for host in self.hosts))
        wait_until(lambda: all(host.configuration.version == 2 for host in self.hosts))
        self.assertEqual(self.count_calls(followers), calls)
        self.assertEqual(len({host.lease.holder().node for host in self.hosts}), 1)

    def test_followers_go_on_without_their_reader(self) -> None:
        """Guards against hosts that know nothing new after their reader has ended."""
        address = self.followers()[0].follower._followed
        reader = next(h for h in self.hosts if h._settings.peer_address == address)
        reader.kernel.close()
        self.hosts.remove(reader)
        entry = {**self.engine.entry("llm"), "state": "draining"}
        self.store.put("servers", self.engine.endpoint, entry)
        wait_until(lambda: all(self.knows_leaving(host) for host in self.hosts))


if __name__ == "__main__":
    unittest.main()
