"""Run all test modules, a few at a time, and print one summary line.

Tests listed in KNOWN-RED.txt are run and printed, and do not change the exit code.
"""

import io
import multiprocessing
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
# Modules with wall-clock bounds, which tests running in parallel would disturb.
ISOLATED_MODULES = ("tests.test_benchmarks", "tests.test_emulators")


def read_known_red() -> set[str]:
    """Return the ids of tests listed as ``test: <id>`` in KNOWN-RED.txt."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def _find_modules(names: list[str]) -> list[str]:
    found = sorted(path.stem for path in (ROOT / "tests").glob("test_*.py"))
    return [f"tests.{name}" for name in found if not names or name in names]


def _run_module(name: str) -> tuple[str, int, list[tuple[str, str]], int, float]:
    started = time.monotonic()
    output = io.StringIO()
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(stream=output, verbosity=1).run(suite)
    failures = [(test.id(), text) for test, text in result.failures + result.errors]
    failures += [(test.id(), "unexpected success") for test in result.unexpectedSuccesses]
    failed = len({test for test, _ in failures})
    passed = max(0, result.testsRun - failed - len(result.skipped))
    return name, passed, failures, len(result.skipped), time.monotonic() - started


def _run_all(modules: list[str]) -> Iterator[tuple[str, int, list[tuple[str, str]], int, float]]:
    parallel = [name for name in modules if name not in ISOLATED_MODULES]
    isolated = [name for name in modules if name in ISOLATED_MODULES]
    for workers, part in ((WORKERS, parallel), (1, isolated)):
        with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
            yield from pool.imap_unordered(_run_module, part, chunksize=1)


def main(names: list[str]) -> int:
    """Run the named modules, or all; returns the exit code."""
    known_red = read_known_red()
    passed = skipped = 0
    failed: set[str] = set()
    for name, count, failures, skips, seconds in _run_all(_find_modules(names)):
        print(f"{name}: {count} passed, {len(failures)} failed in {seconds:.1f} s", flush=True)
        passed += count
        skipped += skips
        for test, text in failures:
            label = "KNOWN RED" if test in known_red else "FAILED"
            print(f"{label}: {test}\n{text}", flush=True)
            failed.add(test)
    red = failed & known_red
    print(f"passed over as known red: {', '.join(sorted(red)) or 'none'}")
    print(f"{passed} passed, {len(failed - known_red)} failed, {skipped + len(red)} skipped")
    return 1 if failed - known_red or not passed else 0
