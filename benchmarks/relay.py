"""Overhead of the gateway over direct calls to the engine: time to first token and CPU time.

Engine and gateway run in separate processes; direct and relayed load alternate within one run.
"""

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs

from catkinhook.operations.loadgenerator import LoadResult, LoadSettings, run_load

ROOT = Path(__file__).resolve().parent.parent
STREAMS = (20, 200)
ROUNDS = 3
REQUESTS_PER_STREAM = 3
MAX_TOKENS = 64
STOP_TIMEOUT_S = 20.0

ENGINE_PROGRAM = (
    "from catkinhook.emulators.engine import EngineSettings, run_engine;"
    "raise SystemExit(run_engine(EngineSettings(resident={'summary': 1})))"
)


@attrs.frozen(kw_only=True)
class RelayResult:
    """Results for one number of concurrent streams.

    :ivar added_ms: added milliseconds to the first token at the median and 95th percentile.
    :ivar us_per_token: CPU time of the gateway per relayed token in microseconds.
    """

    streams: int
    direct_ms: tuple[float, float]
    gateway_ms: tuple[float, float]
    added_ms: tuple[float, float]
    tokens_per_second: float
    us_per_token: float
    ends: dict[str, int]


@contextlib.contextmanager
def _run_process(*command: str) -> Iterator[subprocess.Popen]:
    with subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, cwd=ROOT, text=True
    ) as process:
        try:
            yield process
        finally:
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()


def _read_cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    # Fields 14 and 15 of the whole line are user and system time in clock ticks.
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _first_token_ms(result: LoadResult) -> tuple[float, float]:
    percentiles = result.describe()["milliseconds"]["first_token"]
    return percentiles["p50"], percentiles["p95"]


def measure(
    streams: int, rounds: int, engine_url: str, gateway_url: str, gateway_pid: int
) -> RelayResult:
    """Run direct and relayed load alternately and compare them."""
    direct, relayed, cpu_seconds = LoadResult(), LoadResult(), 0.0
    for _ in range(rounds):
        for url, result in ((engine_url, direct), (gateway_url, relayed)):
            before = _read_cpu_seconds(gateway_pid)
            load = run_load(
                LoadSettings(
                    url=url,
                    models=("summary",),
                    concurrency=streams,
                    count=streams * REQUESTS_PER_STREAM,
                    max_tokens=MAX_TOKENS,
                )
            )
            result.merge(load)
            result.seconds += load.seconds
            if result is relayed:
                cpu_seconds += _read_cpu_seconds(gateway_pid) - before
    direct_ms, gateway_ms = _first_token_ms(direct), _first_token_ms(relayed)
    return RelayResult(
        streams=streams,
        direct_ms=direct_ms,
        gateway_ms=gateway_ms,
        added_ms=tuple(
            round(relayed_ms - base_ms, 3)
            for base_ms, relayed_ms in zip(direct_ms, gateway_ms, strict=True)
        ),
        tokens_per_second=relayed.describe()["tokens_per_second"],
        us_per_token=round(cpu_seconds / max(1, relayed.tokens) * 1e6, 1),
        ends=dict(relayed.ends),
    )


def main() -> int:
    """Print the results; fails if any answer is incomplete."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="*", default=STREAMS)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    arguments = parser.parse_args()
    with _run_process("-c", ENGINE_PROGRAM) as engine:
        address = json.loads(engine.stdout.readline())["address"]
        command = ("-m", "tests.gateway_process", address, "concurrent_requests=256")
        with _run_process(*command) as gateway:
            url = f"http://127.0.0.1:{int(gateway.stdout.readline())}"
            results = [
                measure(streams, arguments.rounds, f"http://{address}", url, gateway.pid)
                for streams in arguments.streams
            ]
    print(json.dumps([attrs.asdict(result) for result in results], indent=2))
    return 0 if all(set(result.ends) == {"complete"} for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
