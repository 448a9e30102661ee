"""Fuzz tests of documents and settings with arbitrary and mutated texts."""

import tempfile
import time
import tracemalloc
import unittest
from pathlib import Path

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhook.settings import read_settings
from catkinhook.state.documents import _check_unique, parse_document
from catkinhook.validationerrors import Fault
from catkinhook.yamlfile import MAX_NODES, Parsed

HANG_TIMEOUT_S = 20.0
DOCUMENT = """\
service: drafts
owner: &o tests
endpoints: {kind: engine, max_message_delay: 30s, weight_store: {loads_per_second: 1.5}}
models:
  - {name: summary, memory: 1GiB, copies: 2, adapters: [{name: ar, memory: 1MiB}]}
classes: {live: {first_token: 5s, objective: 0.9}}
default_class: live
callers: [{name: desk, caller_class: live, token_sha256: "%s"}]
routes: [{path: /a, method: GET, repeatable: true}]
limits: {requests_per_second: 5.5}
""" % ("0" * 64)
SETTINGS = """\
node: n1
zone: a
secret_file: /dev/null
admin_token_file: "a\\0b"
platform: {url: "http://127.0.0.1:1", timeout: 1s}
controller: {peers: ["127.0.0.1:1"], lease_time: 10s}
"""
FRAGMENTS = (
    "&a |*a|*o|<<: |? |!!int |!!set |!!omap |!!binary |!!timestamp |!x |%YAML 1.1\n---\n|---\n|["
)
FRAGMENTS += (
    "|]|{|}|: |- |\n|  |\t|#|.nan|-.inf|null|1e999|0x|0o8|2001-99-99|1:99|=|>\n|'|\"|\\0|\0"
)
FRAGMENT = st.sampled_from(
    [*FRAGMENTS.split("|"), "9" * 400, "9" * 400 + "GiB", "\ud800", "\u2028"]
)
REQUIRED_KEYS = "service: a\nowner: b\n"


@st.composite
def mutate(draw: st.DrawFn, text: str) -> str:
    """Return a text with some spans replaced by YAML fragments or other text."""
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(text)))
        end = start + draw(st.integers(0, 12))
        text = text[:start] + draw(FRAGMENT | st.text(max_size=6)) + text[end:]
    return text


class DocumentTest(unittest.TestCase):
    def check(self, text: str) -> list[Fault]:
        result = parse_document(text)
        faults = result.err() or []
        self.assertTrue(result.is_ok() or faults)
        self.assertTrue(all(isinstance(f, Fault) and f.line >= 0 and str(f) for f in faults))
        self.assertNotRegex(str(result.ok() and attrs.asdict(result.unwrap())), r"\b(nan|inf)\b")
        return faults

    @settings(max_examples=150)
    @given(st.text() | st.lists(FRAGMENT, max_size=20).map("".join) | mutate(DOCUMENT))
    def test_arbitrary_and_mutated_text(self, text: str) -> None:
        """Guards against an exception instead of faults for an invalid text."""
        self.check(text)

    def test_regressions(self) -> None:
        """Guards against an AttributeError in ruamel.yaml, infinity, and names with line breaks."""
        texts = ["x: &a {<<: *a}", "limits: {requests_per_second: .inf}", 'service: "a\\n"']
        texts += ["placement: {move_cost: .nan}", f"classes: {{c: {{first_token: {'9' * 400}s}}}}"]
        for text in texts:
            required_keys = "owner: b\n" if text.startswith("service") else REQUIRED_KEYS
            self.assertTrue(self.check(required_keys + text), text)

    def test_time_and_memory_are_bounded(self) -> None:
        """Guards against a small text that takes excessive time or memory."""
        texts = [
            "a0: &a0 x\n" + "".join(f"a{n}: &a{n} [{f'*a{n - 1},' * 9}]\n" for n in range(1, 12)),
            "&x\n" + "".join(f"k{n}: 1\n" for n in range(1000)) + "z: *x\n",
            "x: " + "[" * 5000,
            "x: [" + ("[" * 200 + "]" * 200 + ",") * 20 + "]",
        ]
        for text in texts:
            with self.subTest(text[:20]):
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                started = time.monotonic()
                self.assertTrue(self.check(text))
                self.assertLess(time.monotonic() - started, HANG_TIMEOUT_S)
                self.assertLess(tracemalloc.get_traced_memory()[1], 400 * MAX_NODES)
                tracemalloc.stop()
        started, names = time.monotonic(), [f"name-{index}" for index in range(80_000)]
        self.assertEqual(_check_unique(Parsed(None, {}, "f"), ("models",), names), [])
        self.assertLess(time.monotonic() - started, HANG_TIMEOUT_S)

    def test_settings(self) -> None:
        """Guards against a traceback at startup instead of a list of all faults."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name, "settings.yaml")

        @settings(max_examples=60)
        @given(mutate(SETTINGS) | st.just(SETTINGS))
        def check(text: str) -> None:
            path.write_bytes(text.encode("utf-8", "surrogatepass"))
            self.assertTrue(all(isinstance(f, Fault) for f in read_settings(path).unwrap_err()))

        check()
        path.write_text(SETTINGS)
        keys = [fault.key for fault in read_settings(path).unwrap_err()]
        self.assertEqual(keys, ["secret_file", "admin_token_file"])
