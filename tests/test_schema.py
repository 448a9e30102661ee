"""The reference pages, the JSON schema and the examples match the attrs classes."""

import re
import unittest
from pathlib import Path

from ruamel.yaml import YAML

from catkinhook.operations.schema import make_schema, render_reference
from catkinhook.settings import Settings
from catkinhook.state.documents import Document, parse_document

ROOT = Path(__file__).resolve().parent.parent


class ReferenceTest(unittest.TestCase):
    def test_pages_contain_rendered_reference(self) -> None:
        """Guards against a key that the reference pages lack or describe differently."""
        for name, attrs_class in (("settings", Settings), ("documents", Document)):
            page = (ROOT / "docs" / f"{name}.md").read_text(encoding="utf-8")
            self.assertIn(render_reference(attrs_class), page, name)

    def test_describes_every_key(self) -> None:
        for attrs_class in (Settings, Document):
            for line in render_reference(attrs_class).splitlines():
                self.assertFalse(line.endswith("|  |"), line)

    def test_every_refusal_code_is_documented(self) -> None:
        """Guards against an error code that the operations manual lacks."""
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        for path in sorted((ROOT / "catkinhook").rglob("*.py")):
            text = path.read_text(encoding="utf-8")
            for code, _ in re.findall(r'"([a-z]+(?:-[a-z]+)+)", ([45]\d\d)\b', text):
                self.assertIn(f"`{code}`", page, path.name)

    def test_examples_are_valid_and_use_known_keys(self) -> None:
        """Guards against examples that ``catkinhook check`` would reject."""
        known_keys = make_schema(Document)["properties"]
        for path in sorted((ROOT / "examples").glob("*.yaml")):
            text = path.read_text(encoding="utf-8")
            if not text.lstrip("# ").count("\nservice:"):
                continue
            self.assertTrue(parse_document(text, path.name).is_ok(), path.name)
            self.assertLessEqual(set(YAML(typ="safe").load(text)), set(known_keys))


if __name__ == "__main__":
    unittest.main()
