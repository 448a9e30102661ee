"""Orders to engines: memory is never exceeded, and what is asked for gets a place."""

import random
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhook.control.enginerecords import Demand
from catkinhook.control.enginestates import EngineState, OrderReply, SequencedOrder
from catkinhook.control.provisioning import OutgoingOrder, Provisioner
from catkinhook.hostsettings import Bounds
from catkinhook.peering.hostmessages import make_holding
from catkinhook.requests.routes import EngineSpec, ModelSpec, RouteTable, ServiceSpec
from catkinhook.state.views import EndpointView

MEMORY_MB = 220.0
PLACES = 3
STEP_S = 0.05
MODELS = [f"m{number}" for number in range(6)]


def make_table() -> RouteTable:
    """Return a service with six models, of which an engine holds three."""
    models = {
        name: ModelSpec(
            name=name,
            memory_mb=70.0,
            load_s=8.0,
            disk_load_s=1.6,
            memory_load_s=0.8,
            adapter_mb=1.0,
            adapters=4 if name in ("m0", "m1") else 0,
        )
        for name in MODELS
    }
    spec = EngineSpec(
        slots=64,
        cache_tokens=100_000,
        memory_mb=MEMORY_MB,
        adapter_slots=PLACES,
        loads_per_s=1.0,
        model_by_name=models,
    )
    services = {"llm": ServiceSpec(name="llm", max_connections=99, engine=spec)}
    return RouteTable(version=1, routes=(), service_by_name=services)


@attrs.define
class FakeEngine:
    """An engine that carries out orders and fails where the memory is exceeded.

    :ivar history: past states with their times, for reports that lag.
    :ivar used_until: time at which the last request of a model ends.
    """

    view: EndpointView
    models: dict[str, set[str]]
    on_disk: set[str] = attrs.Factory(set)
    sequence: int = 0
    busy: tuple[SequencedOrder, float] | None = None
    incoming: dict[tuple[str, str], float] = attrs.Factory(dict)
    fence: int = 0
    store_loads: list[float] = attrs.Factory(list)
    history: list[tuple[float, EngineState]] = attrs.Factory(list)
    late: list[tuple[float, SequencedOrder]] = attrs.Factory(list)
    used_until: dict[str, float] = attrs.Factory(dict)

    def take(self, order: SequencedOrder, now: float) -> OrderReply:
        """Answer an order."""
        if order.fence < self.fence:
            return OrderReply.FENCED
        self.fence = order.fence
        if self.busy is not None or order.expected != self.sequence:
            return OrderReply.REFUSED
        self.sequence += 1
        if order.adapter and order.is_load:
            self.incoming[order.model, order.adapter] = now + 0.02
        elif order.adapter:
            self.models[order.model].discard(order.adapter)
            self.check()
            return OrderReply.HOLDS
        else:
            seconds = max(0.05, self.used_until.get(order.model, 0.0) - now)
            if order.is_load:
                is_kept = order.model in self.on_disk
                seconds = 1.6 if is_kept else 8.0
                if not is_kept:
                    self.store_loads.append(now)
            self.busy = (order, now + seconds)
        self.check()
        return OrderReply.ACCEPTED

    def check(self) -> None:
        """Fail when memory or the places of adapters are exceeded."""
        held = set(self.models)
        if self.busy is not None and self.busy[0].is_load:
            held.add(self.busy[0].model)
        adapters = sum(map(len, self.models.values())) + len(self.incoming)
        used = 70.0 * len(held) + adapters
        assert used <= MEMORY_MB, f"{used} MB of {MEMORY_MB} MB"
        assert adapters <= PLACES, f"{adapters} adapters in {PLACES} places"

    def advance(self, now: float) -> None:
        """Carry out what is due."""
        for at, order in [pair for pair in self.late if pair[0] <= now]:
            self.late.remove((at, order))
            self.take(order, now)
        for key in [key for key, at in self.incoming.items() if at <= now]:
            del self.incoming[key]
            self.models.setdefault(key[0], set()).add(key[1])
        if self.busy is not None and self.busy[1] <= now:
            order, self.busy = self.busy[0], None
            if order.is_load:
                self.models[order.model] = set()
                self.on_disk.add(order.model)
            else:
                self.models.pop(order.model, None)
        self.check()
        self.history.append((now, self.state()))

    def state(self) -> EngineState:
        """Return the state now."""
        return EngineState(
            boot_id="1",
            sequence=self.sequence,
            busy=self.busy is not None,
            models=frozenset(self.models),
            adapters=frozenset(f"{m}/{a}" for m, names in self.models.items() for a in names),
            incoming=frozenset(f"{m}/{a}" for m, a in self.incoming),
            on_disk=frozenset(self.on_disk),
        )

    def report(self, now: float) -> EngineState:
        """Return the state of 0.2 s ago."""
        return next((s for at, s in reversed(self.history) if at <= now - 0.2), self.history[0][1])


class World:
    """A provisioner, engines and demand on a clock.

    :ivar loses: tells whether the next answer to an order is lost; half of these orders are
        carried out late.
    """

    def __init__(
        self, engines: int, rng: random.Random, lose: float = 0.0, on_disk: tuple = ()
    ) -> None:
        self.now = 50.0
        self.rng = rng
        self.loses = lambda: rng.random() < lose
        self.engines = {}
        for number in range(engines):
            view = EndpointView(
                endpoint=f"e{number}", address="a", service="llm", zone="z", boot_id="1", slots=64
            )
            held = MODELS[:3] if number % 2 == 0 else MODELS[1:4]
            engine = FakeEngine(view, {name: set() for name in held}, {*held, *on_disk})
            engine.advance(self.now)
            self.engines[view.endpoint] = engine
        self.down: set[str] = set()
        self.provisioner = Provisioner("host", Bounds())
        self.provisioner.set_table(make_table())
        self.provisioner.set_endpoints([e.view for e in self.engines.values()], self.now)
        self.begin(1)

    def begin(self, fence: int) -> None:
        """Become the holder."""
        self.provisioner.begin_term(fence, {}, self.now)

    def run(self, seconds: float, demand: dict[str, Demand]) -> None:
        """Let time pass under a demand by item."""
        by_key = {("llm", item): wanted for item, wanted in demand.items()}
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for engine in self.engines.values():
                engine.advance(self.now)
            self.provisioner.set_demand(by_key, self.now)
            self.provisioner.set_running(
                {
                    (name, model): 2
                    for name, engine in self.engines.items()
                    for model, until in engine.used_until.items()
                    if until > self.now
                }
            )
            for view in self.provisioner.due_reports(self.now):
                is_down = view.endpoint in self.down
                state = None if is_down else self.engines[view.endpoint].report(self.now)
                self.provisioner.record_report(view.endpoint, state, self.now)
            for command in self.provisioner.plan(self.now):
                self.send(command)

    def send(self, command: OutgoingOrder) -> None:
        """Deliver an order, or lose its answer."""
        engine, reply = self.engines[command.view.endpoint], None
        if command.view.endpoint in self.down:
            reply = None
        elif not self.loses():
            reply = engine.take(command.order, self.now)
        elif self.rng.random() < 0.5:
            engine.late.append((self.now + self.rng.uniform(0.1, 6.0), command.order))
        else:
            engine.take(command.order, self.now)
        self.provisioner.record_reply(command.view.endpoint, command.order, reply, self.now)

    def holders(self, item: str) -> list[str]:
        """Return the engines that hold a model or adapter."""
        model, _, adapter = item.partition("/")
        return [
            name
            for name, engine in self.engines.items()
            if model in engine.models and (not adapter or adapter in engine.models[model])
        ]


WAITING = Demand(rate=1.0, waiting=3)


class ProvisioningTest(unittest.TestCase):
    """Single load patterns."""

    def make(self, engines: int = 2, lose: float = 0.0) -> World:
        """Return a world after its start, without demand to spread copies for."""
        world = World(engines, random.Random(1), lose, tuple(MODELS))
        world.run(1.5, {})
        return world

    def test_model_that_nobody_holds_is_loaded(self) -> None:
        """Guards against models that stay out of reach."""
        world = self.make()
        world.run(4.0, {"m5": WAITING})
        self.assertTrue(world.holders("m5"))

    def test_adapter_comes_within_a_tenth_of_a_second(self) -> None:
        """Guards against interactive requests that miss their objective for an adapter."""
        world = self.make()
        world.run(0.2, {"m1/a2": WAITING})
        self.assertTrue(world.holders("m1/a2"))

    def test_adapters_make_way_for_others(self) -> None:
        """Guards against adapters that are refused when all places are taken."""
        world = self.make(1)
        for number in range(6):
            world.run(1.0, {f"m0/a{number}": WAITING})
            self.assertTrue(world.holders(f"m0/a{number}"))

    def test_adapters_that_nobody_waits_for_do_not_displace_each_other(self) -> None:
        """Guards against two adapters of refused callers that are dropped for each other in turn.

        On scale-1 of kegyelet-kozpont one adapter was dropped and loaded ten times in 0.4 s.
        """
        world = self.make(1)
        refused = Demand(rate=1.0, unmet=0.5)
        world.run(2.0, {f"m{m}/a{n}": refused for m in (0, 1) for n in range(4)})
        # Two for each place: it is filled once, and may change once in two seconds.
        self.assertLessEqual(world.engines["e0"].sequence, 1 + 3 * PLACES)

    def test_adapters_come_while_a_model_is_emptied(self) -> None:
        """Guards against an unload that waits for long streams and blocks all other orders.

        On scale-1 of kegyelet-kozpont an engine waited for 8 s in an unload, and the adapters of
        its other models were refused all the while.
        """
        world = self.make(1)
        engine = world.engines["e0"]
        engine.used_until = dict.fromkeys(("m0", "m1", "m2"), world.now + 4.0)
        busy = {name: Demand(rate=5.0, running=9) for name in ("m0", "m1")}
        world.run(0.5, {**busy, "m5": WAITING})
        world.run(0.3, {**busy, "m5": WAITING, "m1/a2": WAITING})
        self.assertTrue(world.holders("m1/a2"))
        world.run(6.0, {**busy, "m5": WAITING})
        self.assertTrue(world.holders("m5"))

    def test_model_is_expected_until_it_is_there(self) -> None:
        """Guards against callers that are refused while a place is made for their model.

        Hosts heard no time for a model between its choice and the start of its load, and refused
        what had waited for a while.
        """
        world = self.make(1)
        world.engines["e0"].used_until = dict.fromkeys(("m0", "m1", "m2"), world.now + 3.0)
        busy = {name: Demand(rate=0.2, running=2) for name in ("m0", "m1", "m2")}
        while not world.holders("m5"):
            world.run(0.1, {**busy, "m5": WAITING})
            if not world.holders("m5"):
                self.assertIn(("llm", "m5"), world.provisioner.expected_waits(world.now))
            self.assertLess(world.now, 70.0)

    def test_lost_answers_hold_an_adapter_up_for_half_a_second_at_most(self) -> None:
        """Guards against callers that wait in vain while an engine's answers to orders are lost.

        On scale-1 of kegyelet-kozpont each lost answer held an engine up for 1.2 s.
        """
        world = self.make(1)
        lost = [True, True, False]
        world.loses = lambda: lost.pop(0) if lost else False
        world.run(0.5, {"m1/a2": WAITING})
        self.assertTrue(world.holders("m1/a2"))

    def test_hot_model_that_nobody_holds_is_loaded_twice(self) -> None:
        """Guards against one engine for the model that most callers move to.

        On scale-2 of jusoor-alerts the only copy came after 8 s, its engine crashed 5 s later, and
        the second copy took 8 s again.
        """
        world = World(4, random.Random(1))
        world.run(1.0, {"m0": Demand(rate=0.1)})
        world.run(9.5, {"m5": Demand(rate=5.0, unmet=5.0, waiting=9)})
        self.assertGreaterEqual(len(world.holders("m5")), 2)

    def test_rare_models_leave_engines_for_a_hot_one(self) -> None:
        """Guards against a hot model that waits until an engine ends a load for a rare one.

        On scale-2 of kegyelet-kozpont all engines were in loads of 8 s for rare models when the
        engine of the model with most callers crashed.
        """
        world = World(2, random.Random(1))
        world.run(1.0, {"m0": Demand(rate=0.1)})
        world.run(1.0, {name: Demand(rate=0.5, waiting=1) for name in ("m4", "m5")})
        loading = [e for e in world.engines.values() if e.busy and e.busy[1] - world.now > 2.0]
        self.assertEqual(len(loading), 1)
        waits = world.provisioner.expected_waits(world.now)
        self.assertGreater(max(waits["llm", "m4"], waits["llm", "m5"]), 8.0)

    def test_engine_that_is_down_or_leaves_is_not_offered(self) -> None:
        """Guards against hosts that send to an engine which only the holder knows to be gone."""
        world = self.make(2)
        world.down.add("e0")
        world.provisioner.request_reports(["e0"])
        world.run(1.0, {"m1": Demand(rate=1.0)})
        view = attrs.evolve(world.engines["e1"].view, leaving=True)
        world.provisioner.set_endpoints([world.engines["e0"].view, view], world.now)
        offered = [make_holding(book) for book in world.provisioner.known_engines()]
        self.assertEqual([holding.models for holding in offered], [frozenset()] * 2)

    def test_busy_model_is_not_dropped_for_a_rare_one(self) -> None:
        """Guards against a load that thrashes the model that most callers use."""
        world = self.make(1)
        busy = {name: Demand(rate=5.0, running=9) for name in ("m0", "m1")}
        world.run(6.0, {**busy, "m2": Demand(rate=0.0), "m5": WAITING})
        self.assertTrue(world.holders("m0") and world.holders("m1") and world.holders("m5"))

    def test_crowded_model_gets_another_copy(self) -> None:
        """Guards against one engine that reads the prompts of all while others idle."""
        world = self.make(3)
        world.run(10.0, {"m0": Demand(rate=14.0, running=40)})
        self.assertGreaterEqual(len(world.holders("m0")), 3)

    def test_model_of_a_lost_engine_is_loaded_elsewhere(self) -> None:
        """Guards against a model whose only engine crashed while its entry lives on."""
        world = self.make(2)
        world.run(1.0, {})
        world.down.add("e0")
        world.provisioner.request_reports(["e0"])
        world.run(6.0, {"m0": WAITING})
        self.assertIn("e1", world.holders("m0"))

    def test_new_holder_keeps_busy_models(self) -> None:
        """Guards against a takeover that drops what the demand of the last minute needs."""
        world = self.make(1)
        world.provisioner.begin_term(2, {"m0": 5.0, "m1": 5.0}, world.now)
        world.run(3.0, {"m4": WAITING})
        self.assertTrue(world.holders("m0") and world.holders("m1"))

    def test_weight_store_rate_is_kept(self) -> None:
        """Guards against more loads from the weight store than it allows."""
        world = World(8, random.Random(2))
        world.run(30.0, dict.fromkeys(MODELS, WAITING))
        begun = sorted(at for e in world.engines.values() for at in e.store_loads)
        for start in begun:
            count = sum(start <= at < start + 5.0 for at in begun)
            self.assertLessEqual(count, 1.0 * 5.0 * 1.1 + 3)

    def test_higher_token_ends_the_orders(self) -> None:
        """Guards against a holder that goes on after an engine has seen another one."""
        world = self.make(1)
        engine = world.engines["e0"]
        engine.fence = 9
        world.provisioner.set_demand({("llm", "m5"): WAITING}, world.now)
        for command in world.provisioner.plan(world.now):
            reply = engine.take(command.order, world.now)
            self.assertFalse(world.provisioner.record_reply("e0", command.order, reply, world.now))

    def test_model_with_few_callers_is_not_passed_over_for_ever(self) -> None:
        """Guards against a model that never comes because others always have more callers.

        On scale-1 of jusoor-alerts-grown digests waited up to 18 s for models that were loaded
        once in 37 s, and 12 models or adapters were never served.
        """
        world = self.make(1)
        busy = {name: Demand(rate=5.0, running=9) for name in ("m0", "m1")}
        until = world.now + 60.0
        while not world.holders("m3") and world.now < until:
            wanted = {
                name: Demand(rate=0.5, waiting=0 if world.holders(name) else 3)
                for name in ("m4", "m5", "m2")
            }
            world.run(0.2, {**busy, **wanted, "m3": Demand(rate=0.05, waiting=1)})
        self.assertTrue(world.holders("m3"))

    def test_every_rare_model_is_served_in_turn(self) -> None:
        """Guards against models that are never served while others hold all places."""
        world = self.make(1)
        served = set()
        for name in MODELS:
            world.run(5.0, {name: WAITING})
            served.update(world.engines["e0"].models)
        self.assertEqual(served, set(MODELS))


class MemoryTest(unittest.TestCase):
    """Memory under lost and late orders and changes of the holder."""

    @settings(max_examples=60)
    @given(st.integers(0, 10_000), st.sampled_from((0.0, 0.2, 0.5)))
    def test_memory_is_never_exceeded(self, seed: int, lose: float) -> None:
        """Guards against an engine that crashes because it was ordered more than it holds.

        Orders lose their answers, are carried out seconds late, and holders take over from each
        other; the stand-in raises when its memory or its places for adapters are exceeded.
        """
        rng = random.Random(seed)
        world = World(rng.choice((1, 2, 3)), rng, lose)
        items = [*MODELS, *(f"{m}/a{n}" for m in ("m0", "m1") for n in range(4))]
        for fence in range(2, 5):
            for _ in range(4):
                chosen = rng.sample(items, rng.randint(1, 6))
                demand = {
                    item: Demand(
                        rate=rng.uniform(0, 9),
                        waiting=rng.randint(0, 9),
                        running=rng.randint(0, 40),
                    )
                    for item in chosen
                }
                world.run(rng.uniform(0.5, 4.0), demand)
            world.begin(fence)


if __name__ == "__main__":
    unittest.main()
