"""The deployments of section 1.6 of the design, and the requests sent to them."""

import random

import attrs

from catkinhook.requests.gatewaydispatcher import Request
from catkinhook.state.documents import (
    Adapter,
    CallerClass,
    Document,
    Endpoints,
    Limits,
    Model,
    PlacementPolicy,
    WeightStore,
)

GIB = 1 << 30
MIB = 1 << 20
TEMPLATES_PER_MODEL = 6
ADAPTER_SHARE = 0.4


@attrs.frozen(kw_only=True)
class Deployment:
    """One user's service.

    :ivar speeds: speed and availability zone by engine.
    :ivar requests_per_second: total request rate under steady demand.
    """

    name: str
    document: Document
    engines: dict[str, tuple[float, str]]
    memory: int
    requests_per_second: float
    gateways: int
    zones: tuple[str, ...]


def _make_models(count: int, adapters: int, seed: int) -> list[Model]:
    rng = random.Random(seed)
    models = []
    for index in range(count):
        model_adapters = [
            Adapter(name=f"a{number:02}", memory=rng.randrange(60, 140) * MIB)
            for number in range(index, adapters, count)
        ]
        memory = rng.choice((4, 6, 8, 10, 14)) * GIB
        models.append(Model(name=f"m{index:02}", memory=memory, adapters=model_adapters))
    return models


def _make_caller_classes() -> dict[str, CallerClass]:
    return {
        "live": CallerClass(first_token=0.8, between_tokens=0.06),
        "night": CallerClass(priority="deferrable", finish_within=90.0),
    }


def jusoor() -> Deployment:
    """Return the deployment of Jusoor: 18 models, 40 adapters, 5 engines, 3 zones."""
    zones = ("tn-north-a", "tn-north-b", "tn-north-c")
    document = Document(
        service="drafting-models",
        owner="jusoor",
        endpoints=Endpoints(
            adapters_in_flight=70,
            weight_store=WeightStore(name="tn", loads_per_second=1.0, loads_at_once=9),
        ),
        models=_make_models(18, 40, 18),
        classes=_make_caller_classes(),
        default_class="live",
        limits=Limits(concurrent_requests=4000, requests_per_second=4000.0),
        placement=PlacementPolicy(move_cost=0.2, moves_per_hour=240),
    )
    speeds = (1.0, 1.5, 2.0, 3.0, 4.0)
    return _make_deployment("jusoor", document, speeds, zones, 31.0, 8)


def kegyelet() -> Deployment:
    """Return the deployment of Kegyelet: 21 models, 80 adapters, 6 engines, 4 zones."""
    zones = ("buda-a", "pest-b", "obuda-c", "csepel-d")
    document = Document(
        service="levelezo",
        owner="kegyelet",
        endpoints=Endpoints(
            adapters_in_flight=90,
            weight_store=WeightStore(name="hu", loads_per_second=1.5, loads_at_once=11),
        ),
        models=_make_models(21, 80, 21),
        classes=_make_caller_classes(),
        default_class="live",
        limits=Limits(concurrent_requests=4000, requests_per_second=4000.0),
        placement=PlacementPolicy(move_cost=0.5, moves_per_hour=120),
    )
    speeds = (1.0, 1.0, 2.0, 2.0, 3.0, 4.0)
    return _make_deployment("kegyelet", document, speeds, zones, 36.0, 7)


def _make_deployment(
    name: str,
    document: Document,
    speeds: tuple[float, ...],
    zones: tuple[str, ...],
    requests_per_second: float,
    gateways: int,
) -> Deployment:
    engines = {
        f"{document.service}/e{index}": (speed, zones[index % len(zones)])
        for index, speed in enumerate(speeds)
    }
    return Deployment(
        name=name,
        document=document,
        engines=engines,
        memory=80 * GIB,
        requests_per_second=requests_per_second,
        gateways=gateways,
        zones=zones,
    )


def request_shares(deployment: Deployment) -> dict[str, float]:
    """Return the share of requests by model, skewed towards a few popular models."""
    names = [model.name for model in deployment.document.models]
    random.Random(deployment.name).shuffle(names)
    weights = {name: 1.0 / (rank + 2) for rank, name in enumerate(names)}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


class RequestSource:
    """Seeded source of requests."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._document = deployment.document
        self._adapters = {
            model.name: [adapter.name for adapter in model.adapters]
            for model in deployment.document.models
        }
        self._rng = rng
        self._count = 0

    def make_request(self, model: str, now: float, fingerprint: str = "") -> Request:
        """Return a new request for a model."""
        rng = self._rng
        self._count += 1
        class_name = "night" if rng.random() < 0.25 else "live"
        adapters = self._adapters[model]
        adapter = rng.choice(adapters) if adapters and rng.random() < ADAPTER_SHARE else ""
        template = f"{model}/{adapter}/{rng.randrange(TEMPLATES_PER_MODEL)}"
        return Request(
            request_id=str(self._count),
            document=self._document,
            class_name=class_name,
            caller_class=self._document.classes[class_name],
            fingerprint=fingerprint or f"f{self._count}",
            arrived=now,
            model=model,
            adapter=adapter,
            prompt_tokens=rng.randrange(200, 900),
            output_tokens=(
                rng.randrange(150, 350) if class_name == "night" else rng.randrange(30, 130)
            ),
            prefixes=(f"{template}/a", f"{template}/b"),
        )
