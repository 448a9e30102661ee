"""Emulated weight store, which limits the rate and the number of concurrent model loads."""

import threading
import time
import uuid
from collections.abc import Callable

import attrs
from result import Err, Ok, Result


@attrs.frozen(kw_only=True)
class WeightLimits:
    """Limits of one weight store.

    :ivar loads_per_second: maximum rate of model loads.
    :ivar loads_at_once: maximum number of concurrent model loads.
    :ivar adapters_in_flight: concurrent adapter loads above which each takes proportionally longer.
    """

    loads_per_second: float = 1.0
    loads_at_once: int = 9
    adapters_in_flight: int = 70


@attrs.frozen
class Load:
    """A load admitted by the store.

    :ivar factor: multiple of the normal load time.
    """

    load_id: str
    factor: float


class WeightStores:
    """All weight stores of a platform; an unknown name has the default limits.

    :param tolerance: share by which the interval between two loads may undercut the rate limit.
    """

    def __init__(
        self,
        limits_by_name: dict[str, WeightLimits] | None = None,
        clock: Callable[[], float] = time.monotonic,
        tolerance: float = 0.05,
    ) -> None:
        self._clock = clock
        self._tolerance = tolerance
        self._lock = threading.Lock()
        self._limits_by_name = dict(limits_by_name or {})
        self._model_loads_by_name: dict[str, set[str]] = {}
        self._adapter_loads_by_name: dict[str, set[str]] = {}
        self._last_load_at_by_name: dict[str, float] = {}
        self._refused_by_name: dict[str, int] = {}
        self._admitted_by_name: dict[str, int] = {}

    def set_limits(self, name: str, limits: WeightLimits) -> None:
        """Set the limits of one store."""
        with self._lock:
            self._limits_by_name[name] = limits

    def begin_load(self, name: str, kind: str) -> Result[Load, str]:
        """Begin a load of kind ``load_model`` or ``load_adapter``; the error names the limit."""
        with self._lock:
            limits = self._limits_by_name.get(name, WeightLimits())
            load_id = uuid.uuid4().hex
            if kind == "load_adapter":
                in_flight = self._adapter_loads_by_name.setdefault(name, set())
                in_flight.add(load_id)
                return Ok(Load(load_id, max(1.0, len(in_flight) / limits.adapters_in_flight)))
            refusal = self._find_exceeded_limit(name, limits)
            if refusal:
                self._refused_by_name[name] = self._refused_by_name.get(name, 0) + 1
                return Err(refusal)
            self._model_loads_by_name.setdefault(name, set()).add(load_id)
            self._last_load_at_by_name[name] = self._clock()
            self._admitted_by_name[name] = self._admitted_by_name.get(name, 0) + 1
            return Ok(Load(load_id, 1.0))

    def end_load(self, name: str, load_id: str) -> None:
        """End a load; an unknown id is ignored."""
        with self._lock:
            self._model_loads_by_name.get(name, set()).discard(load_id)
            self._adapter_loads_by_name.get(name, set()).discard(load_id)

    def describe(self, name: str) -> dict[str, int]:
        """Return the counters of one store."""
        with self._lock:
            return {
                "models_loading": len(self._model_loads_by_name.get(name, ())),
                "adapters_loading": len(self._adapter_loads_by_name.get(name, ())),
                "admitted": self._admitted_by_name.get(name, 0),
                "refused": self._refused_by_name.get(name, 0),
            }

    def _find_exceeded_limit(self, name: str, limits: WeightLimits) -> str:
        if len(self._model_loads_by_name.get(name, ())) >= limits.loads_at_once:
            return f"{limits.loads_at_once} loads are in progress"
        min_interval_s = (1 - self._tolerance) / limits.loads_per_second
        if self._clock() - self._last_load_at_by_name.get(name, float("-inf")) < min_interval_s:
            return f"more than {limits.loads_per_second} loads a second"
        return ""
