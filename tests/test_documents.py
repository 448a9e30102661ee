"""Parsing and validation of documents: all faults are reported together, each with its line."""

import unittest

from catkinhook.state.documents import build_catalog, check_model_owners, parse_document

VALID_DOCUMENT = """\
service: drafting-models
owner: jusoor
models:
  - name: summary
    memory: 14GiB
    copies: 2
    adapters:
      - {name: tender-ar, memory: 120MiB}
classes:
  live: {first_token: 310ms, between_tokens: 46ms}
default_class: live
"""


class ParseDocumentTest(unittest.TestCase):
    def test_converts_units(self) -> None:
        document = parse_document(VALID_DOCUMENT).unwrap()
        self.assertEqual(document.models[0].memory, 14 << 30)
        self.assertAlmostEqual(document.get_class("live").first_token, 0.31)

    def test_reports_all_faults_with_lines(self) -> None:
        """Guards against validation that stops at the first fault."""
        text = (
            VALID_DOCUMENT.replace("14GiB", "14").replace("copies: 2", "copys: 2") + "colour: red\n"
        )
        faults = parse_document(text, "a.yaml").unwrap_err()
        line_by_key = {fault.key: fault.line for fault in faults}
        self.assertEqual(line_by_key["models[0].memory"], 5)
        self.assertEqual(line_by_key["models[0].copys"], 6)
        self.assertEqual(line_by_key["colour"], 12)

    def test_rejects_unknown_default_class(self) -> None:
        text = VALID_DOCUMENT.replace("default_class: live", "default_class: lives")
        faults = parse_document(text).unwrap_err()
        self.assertEqual([(fault.key, fault.line) for fault in faults], [("default_class", 11)])

    def test_rejects_model_of_another_service(self) -> None:
        """Guards against two services that offer the same model."""
        first = parse_document(VALID_DOCUMENT).unwrap()
        second = parse_document(VALID_DOCUMENT.replace("drafting-models", "other")).unwrap()
        faults = check_model_owners(second, build_catalog(1, [first]))
        self.assertEqual(len(faults), 1)
        self.assertIn("drafting-models", faults[0].reason)


if __name__ == "__main__":
    unittest.main()
