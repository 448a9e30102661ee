"""Reference pages and schema match the classes."""

import re
import unittest
from pathlib import Path

from ruamel.yaml import YAML

from catkinhook.operations.schema import make_schema, render_reference
from catkinhook.settings import Settings
from catkinhook.state.documents import Document, parse_document

ROOT = Path(__file__).resolve().parent.parent


class ReferenceTest(unittest.TestCase):
    def test_pages_hold_the_reference_as_rendered(self) -> None:
        """Guards against a setting without documentation."""
        for name, kind in (("settings", Settings), ("documents", Document)):
            page = (ROOT / "docs" / f"{name}.md").read_text(encoding="utf-8")
            self.assertIn(render_reference(kind), page, name)

    def test_every_key_is_described(self) -> None:
        for kind in (Settings, Document):
            for line in render_reference(kind).splitlines():
                self.assertFalse(line.endswith("|  |"), line)

    def test_every_refusal_code_is_documented(self) -> None:
        """Guards against an undocumented error code."""
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        for path in sorted((ROOT / "catkinhook").rglob("*.py")):
            text = path.read_text(encoding="utf-8")
            for code, _ in re.findall(r'"([a-z]+(?:-[a-z]+)+)", ([45]\d\d)\b', text):
                self.assertIn(f"`{code}`", page, path.name)

    def test_examples_are_valid_and_use_known_keys(self) -> None:
        """Guards against examples that ``catkinhook check`` would reject."""
        known = make_schema(Document)["properties"]
        for path in sorted((ROOT / "examples").glob("*.yaml")):
            text = path.read_text(encoding="utf-8")
            if not text.lstrip("# ").count("\nservice:"):
                continue
            self.assertTrue(parse_document(text, path.name).is_ok(), path.name)
            self.assertLessEqual(set(YAML(typ="safe").load(text)), set(known))


if __name__ == "__main__":
    unittest.main()
