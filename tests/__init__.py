"""Tests of catkinhook; ``python -m tests`` runs them all."""

import os

from hypothesis import settings

# CI results must be reproducible, so Hypothesis derives its seed from the source of each test.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
