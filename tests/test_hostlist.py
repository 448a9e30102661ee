"""Host list of the platform: odd rows and answers."""

import json
import unittest
from unittest import mock

from catkinhook.addresses import split_address
from catkinhook.state.hostlist import Host, HttpHostList
from tests.odd_values import ODD_VALUES, TOO_NESTED

ROW = {"host": "a", "address": "127.0.0.1:1", "service": "s", "zone": "z", "state": "live"}
PLACE = "(odd value)"
HOST = Host("a", "127.0.0.1:1", "s", "z")


class HostListTest(unittest.TestCase):
    """Answers of a list to which other writers may add rows."""

    def list_hosts(self, data: bytes) -> object:
        hosts = HttpHostList("http://127.0.0.1:1", 1.0)
        answer = mock.Mock(status=200, data=data)
        log = mock.patch("catkinhook.state.hostlist._log")
        with log, mock.patch.object(hosts._pool, "request", return_value=answer):
            return hosts.list_hosts()

    def test_any_odd_row_hides_no_other(self) -> None:
        """Guards against a host list that stays as it was while one odd row stands in it."""
        for field in ("host", "address", "service", "zone", "state", ""):
            for value in ODD_VALUES:
                row = {**ROW, "host": "odd", field: PLACE} if field else PLACE
                text = json.dumps({"hosts": [row, ROW, {}]}).replace(json.dumps(PLACE), value)
                with self.subTest(field=field, value=value[:60]):
                    self.check_answer(text)

    def check_answer(self, text: str) -> None:
        result = self.list_hosts(text.encode())
        if result.is_err():
            # Only an answer that is no JSON as a whole may hide the other rows.
            self.assertRaises((ValueError, RecursionError), json.loads, text)
            return
        self.assertIn(HOST, result.unwrap())
        for host in result.unwrap():
            host.endpoint.encode()
            split_address(host.address)

    def test_nested_answer_is_an_error(self) -> None:
        """Guards against an exception in the thread that follows the list."""
        self.assertTrue(self.list_hosts(TOO_NESTED.encode()).is_err())


if __name__ == "__main__":
    unittest.main()
