"""Load generator, and the gateway in front of emulated engines."""

import unittest

from catkinhook.emulators.batching import BatchSettings
from catkinhook.emulators.engine import Engine, EngineSettings
from catkinhook.gateway import StaticSnapshotSource, build_kernel
from catkinhook.operations.loadgenerator import LoadSettings, run_load
from tests.gateway_fakes import FakeEndpoint, make_settings, make_snapshot, make_view


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        fast = BatchSettings(step_time=0.002)
        self.engines = [
            Engine(EngineSettings(resident={"summary": 1}, batch=fast)) for _ in range(2)
        ]
        for engine in self.engines:
            engine.start()
            self.addCleanup(engine.close)
        views = [make_view(e.address, name=str(i)) for i, e in enumerate(self.engines)]
        settings = make_settings(concurrent_requests=32)
        kernel = build_kernel(settings, StaticSnapshotSource(make_snapshot(*views)))
        kernel.start()
        self.addCleanup(kernel.close)
        self.url = f"http://127.0.0.1:{kernel.find('listener').port}"

    def run_load(self, url: str, count: int, **changes: object) -> dict[str, int]:
        settings = LoadSettings(
            url=url, models=("summary",), concurrency=8, count=count, max_tokens=6, **changes
        )
        return run_load(settings).describe()["ends"]

    def test_all_answers_belong_to_their_prompts(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream):
                self.assertEqual(self.run_load(self.url, 60, stream=stream), {"complete": 60})

    def test_engine_faults_are_masked(self) -> None:
        """Guards against broken, refused and crossed streams that reach a caller."""
        for engine in self.engines:
            engine.faults.set_switches({"break_streams": 5, "refuse": 2, "cross_events": 3})
        ends = self.run_load(self.url, 60)
        self.assertEqual(ends.get("wrong", 0), 0, ends)
        self.assertEqual(ends.get("failed", 0), 0, ends)
        for engine in self.engines:
            self.assertEqual(engine.faults.break_streams, 0)

    def test_wrong_text_is_detected(self) -> None:
        """Guards against a load generator that accepts any answer."""
        endpoint = FakeEndpoint()
        self.addCleanup(endpoint.close)
        self.assertEqual(self.run_load(f"http://{endpoint.address}", 5), {"wrong": 5})

    def test_settings_out_of_bounds_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            LoadSettings(url="", models=("m",), concurrency=10_000)


if __name__ == "__main__":
    unittest.main()
