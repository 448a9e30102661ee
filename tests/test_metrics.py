"""Every metric is listed in the documentation."""

import re
import unittest
from pathlib import Path

from tests.loopback_deployment import TOKEN, Deployment

PAGE = Path(__file__).resolve().parent.parent / "docs" / "metrics.md"


class MetricsTest(unittest.TestCase):
    def test_page_lists_every_metric_of_the_daemons(self) -> None:
        """Guards against an undocumented metric."""
        deployment = Deployment()
        self.addCleanup(deployment.close)
        node = deployment.add_node("entry-1", "zone-a")
        headers = {"Authorization": f"Bearer {TOKEN}"}
        texts = [
            deployment.http.request("GET", f"{node.url}/metrics").data.decode(),
            deployment.http.request(
                "GET", f"http://{node.admin_address}/metrics", headers=headers
            ).data.decode(),
        ]
        page = PAGE.read_text(encoding="utf-8")
        for text in texts:
            names = set(re.findall(r"^# TYPE (\S+) (?:counter|gauge|histogram)$", text, re.M))
            self.assertTrue(names, text)
            for name in names:
                if not name.endswith("_created"):
                    self.assertIn(f"`{name}", page)
        refused = deployment.http.request("GET", f"http://{node.admin_address}/metrics")
        self.assertEqual(refused.status, 401)


if __name__ == "__main__":
    unittest.main()
