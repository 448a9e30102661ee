"""Admin API over HTTP: versions, validation errors, authentication and size limits."""

import unittest

import attrs
import urllib3
from result import Ok, Result

from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.operations.admin import AdminApplication, AdminServer
from catkinhook.operations.adminclient import AdminClient
from catkinhook.operations.burn import Bucket
from catkinhook.operations.overview import Instance, Overview
from catkinhook.state.configuration import ConfigurationPoller, ConfigurationStore
from catkinhook.state.documents import MAX_DOCUMENT_BYTES
from tests.test_configuration import no_peer, render_document
from tests.test_membership import make_member

TOKEN = "operators' bearer token"


@attrs.frozen
class OpenClaim:
    key: str
    service: str


class FakeClaims:
    def __init__(self) -> None:
        self.settled: list[tuple[str, str, str]] = []

    def list_open(self) -> Result:
        return Ok([OpenClaim("k1", "ledger")])

    def settle(self, key: str, outcome: str, note: str) -> Result:
        self.settled.append((key, outcome, note))
        return Ok(None)


class AdminTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemoryTable()
        store = ConfigurationStore(self.table)
        poller = ConfigurationPoller(store, no_peer, 2.0, 15.0)
        self.claims = FakeClaims()
        instance = Instance(make_member(1), True, 5, 2, [])
        overview = Overview([instance], [], [], [Bucket("desk", "live", 1, 10, 9)], ["entry-009"])
        application = AdminApplication(
            TOKEN.encode(),
            store,
            lambda: poller.state,
            poller.poll,
            lambda service: [24 << 30],
            lambda: overview,
            self.claims,
        )
        server = AdminServer("127.0.0.1:0", application)
        server.start()
        self.addCleanup(server.close)
        self.url = f"http://{server.address}"
        self.client = self.make_client(TOKEN)

    def make_client(self, token: str) -> AdminClient:
        client = AdminClient(self.url, token, "amal", 20.0)
        self.addCleanup(client.close)
        return client

    def test_edit_conflict_and_history(self) -> None:
        """Guards against an operator who unknowingly overwrites another's change."""
        first = self.client.apply("desk", render_document("desk"), 0).unwrap()
        self.assertEqual((first.version, first.number, first.author), (1, 1, "amal"))
        edited = self.client.read("desk").unwrap()
        self.client.apply("desk", render_document("desk", "second"), edited.version).unwrap()
        error = self.client.apply("desk", render_document("desk", "third"), edited.version)
        conflict = error.unwrap_err()
        self.assertEqual((conflict.status, conflict.code), (412, "document-conflict"))
        self.assertIn("second", conflict.current.body)
        self.assertIn("+owner: third", conflict.diff)
        self.assertEqual([c.number for c in self.client.history("desk").unwrap()], [2, 1])
        self.assertEqual(self.client.withdraw("desk", 2).unwrap().withdrawn, True)
        self.assertEqual(self.client.documents().unwrap(), [])
        self.assertEqual(self.client.read("desk").unwrap_err().status, 404)

    def test_refuses_faults_duplicate_models_and_oversized_models(self) -> None:
        self.client.apply("a", render_document("a", model="summary"), 0).unwrap()
        large = render_document("b", model="large").replace("1GiB", "25GiB")
        for text, key in (
            (render_document("b") + "colour: red\n", "colour"),
            (render_document("b", model="summary"), "models[0].name"),
            (large, "models[0].memory"),
            (render_document("c"), "service"),
        ):
            error = self.client.apply("b", text, 0).unwrap_err()
            self.assertEqual((error.status, [f.key for f in error.faults]), (422, [key]))

    def test_wrong_token_is_refused_everywhere(self) -> None:
        for token in ("", TOKEN[:-1], TOKEN + "x", "\u00e9"):
            client = self.make_client(token.encode().decode("latin-1"))
            self.assertEqual(client.documents().unwrap_err().status, 401)
            self.assertEqual(client.settle("k1", "settled-ran").unwrap_err().status, 401)
        self.assertEqual(self.claims.settled, [])

    def test_change_without_version_is_refused(self) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        url = f"{self.url}/api/documents/desk"
        for extra, status in (({}, 428), ({"If-Match": "*"}, 400)):
            response = urllib3.request(
                "PUT", url, body=b"x", headers=headers | extra, retries=False
            )
            self.assertEqual(response.status, status)

    def test_large_and_undecodable_bodies_are_refused(self) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}", "If-Match": "0"}
        url = f"{self.url}/api/documents/desk"
        for body, status in ((b"#" * (MAX_DOCUMENT_BYTES + 9), 413), (b"\xff", 400)):
            response = urllib3.request("PUT", url, body=body, headers=headers, retries=False)
            self.assertEqual(response.status, status)

    def test_store_outage_is_reported(self) -> None:
        self.client.apply("desk", render_document("desk"), 0).unwrap()
        self.table.faults.down = True
        error = self.client.apply("desk", render_document("desk", "x"), 1).unwrap_err()
        self.assertEqual((error.status, error.code), (503, "store-unavailable"))
        self.assertIn("jusoor", self.client.read("desk").unwrap().body)

    def test_status_burn_and_claims(self) -> None:
        self.client.apply("desk", render_document("desk"), 0).unwrap()
        status = self.client.status().unwrap()
        self.assertEqual(status["instances"][0]["member"]["node"], "entry-001")
        self.assertEqual((status["missing"], status["number"]), (["entry-009"], 1))
        self.assertEqual(self.client.burn().unwrap()["classes"][0]["total"], 10)
        self.assertEqual(self.client.claims().unwrap(), [{"key": "k1", "service": "ledger"}])
        self.client.settle("k1", "settled-not-run", "asked the bank").unwrap()
        self.assertEqual(self.claims.settled, [("k1", "settled-not-run", "amal: asked the bank")])
        self.assertEqual(self.client.settle("k1", "maybe").unwrap_err().status, 400)


if __name__ == "__main__":
    unittest.main()
