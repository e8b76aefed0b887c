"""Steps for the configuration in force on entries, in simulated deployments."""

from __future__ import annotations

import random

import msgspec
import trio
from behave import then

from galenavane.cli import changes, configuration_change
from galenavane.config import accept, declaration_files
from galenavane.entry import configuration_task
from galenavane.net import message
from galenavane.simulate import deployment, virtual_clock
from galenavane.standin import platform_faults
from galenavane.store import client

ENTRIES_BY_DATA_CENTRE = {"makole": ["e0", "e1"], "kikuyu": ["e2", "e3"], "chamwino": ["e4", "e5"]}
ENTRY_NAMES = [name for names in ENTRIES_BY_DATA_CENTRE.values() for name in names]
PROPAGATION_SECONDS = 6.0
START_SECONDS = 10.0
RANDOM_ACTIONS = 15


class World:
    """Six entries in three data centres, with a stand-in platform and an operator."""

    def __init__(self, made, declared):
        self.made = made
        self.declared = declared
        self.platform = client.make(made.operator, made.platform, 2.0)

    async def start(self, name, seeds=""):
        data_centre = next(
            data_centre for data_centre, names in ENTRIES_BY_DATA_CENTRE.items() if name in names
        )
        await self.made.start_entry(name, data_centre, seeds)

    async def apply(self, preset):
        base = await accept.read_current(self.platform)
        return await accept.accept(self.platform, base.ok, self.declared, preset)

    def generation(self, name):
        current = self.made.views[name].configuration.value
        return current.head.generation if current else 0

    async def wait_generation(self, generation, seconds, names=ENTRY_NAMES):
        with trio.move_on_after(seconds):
            while any(self.generation(name) < generation for name in names):
                await trio.sleep(0.05)
        generations = {name: self.generation(name) for name in names}
        assert all(reached >= generation for reached in generations.values()), (
            generation,
            generations,
        )

    async def set_faults(self, **faults):
        body = platform_faults.Faults(**faults)
        await self.made.call(self.made.platform, message.json_request("POST", "/faults", body))

    def cut_from_platform(self, names):
        self.made.net.links.add_partition(frozenset(["platform"]), frozenset(names))

    async def is_ready(self, name):
        address = self.made.entries[name]
        return (await self.made.call(address, message.Request("GET", "/readyz"))).status == 200


def run_scenario(context, scenario, seed=1):
    """Run a scenario once generation 1 is in force on six entries."""
    declared = declaration_files.read_folder(context.root / "examples" / "dodoma")

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(deployment.Deployment(nursery, random.Random(seed)), declared)
            await world.made.start_platform()
            assert (await world.apply("ordinary")).is_ok()
            for name in ENTRY_NAMES:
                await world.start(name)
            await world.wait_generation(1, START_SECONDS)
            await trio.sleep(START_SECONDS)
            await scenario(world)
            nursery.cancel_scope.cancel()

    virtual_clock.run(main, seed)


@then("configurations are in force on 6 entries within 6 seconds when {fault}")
def check_reaches_all_entries(context, fault):
    async def scenario(world):
        if fault == "watches return no changes":
            await world.set_faults(silent_watch=True)
        elif fault == "the platform is slow":
            await world.set_faults(slow_seconds=0.5)
        elif fault == "a data centre is disconnected from the platform":
            world.cut_from_platform(ENTRIES_BY_DATA_CENTRE["makole"])
        elif fault == "only one entry is connected to the platform":
            world.cut_from_platform(ENTRY_NAMES[1:])
        else:
            assert fault == "there is no fault"
        for number in range(2, 8):
            await trio.sleep(world.made.rng.uniform(0, 10))
            accepted = await world.apply(["ordinary", "maintenance"][number % 2])
            assert accepted.ok.generation == number
            await world.wait_generation(number, PROPAGATION_SECONDS)

    run_scenario(context, scenario)


@then(
    "configurations reach a data centre whose {count:d} watchers alone are disconnected "
    "from the platform"
)
def check_watchers_cut_off(context, count):
    async def scenario(world):
        local = [*ENTRIES_BY_DATA_CENTRE["makole"], "f1", "f2", "f3"]
        for name in local[2:]:
            await world.made.start_entry(name, "makole")
        await world.wait_generation(1, START_SECONDS, local)
        await trio.sleep(START_SECONDS)
        watchers = [name for name in local if configuration_task.is_watcher(world.made.views[name])]
        assert len(watchers) == count, watchers
        world.cut_from_platform(
            [*watchers, *ENTRIES_BY_DATA_CENTRE["kikuyu"], *ENTRIES_BY_DATA_CENTRE["chamwino"]]
        )
        for number in range(2, 6):
            await trio.sleep(world.made.rng.uniform(0, 10))
            assert (await world.apply(["ordinary", "maintenance"][number % 2])).is_ok()
            await world.wait_generation(number, PROPAGATION_SECONDS, local)

    run_scenario(context, scenario)


@then("configurations reach an entry that is replaced during an outage of the platform")
def check_replaced_in_outage(context):
    async def scenario(world):
        assert (await world.apply("maintenance")).is_ok()
        await world.wait_generation(2, PROPAGATION_SECONDS)
        world.cut_from_platform(ENTRY_NAMES)
        world.made.kill("e0")
        await trio.sleep(30)
        del world.made.entries["e0"]
        seeds = " ".join(f"{world.made.entries[name].host}:8002" for name in ("e1", "e4"))
        await world.start("e0", seeds)
        await world.wait_generation(2, START_SECONDS, ["e0"])
        assert await world.is_ready("e0")

    run_scenario(context, scenario)


@then("an entry without connections has no configuration and is not ready until it is connected")
def check_isolated_entry(context):
    async def scenario(world):
        others = frozenset([*ENTRY_NAMES[1:], "platform"])
        world.made.kill("e0")
        world.made.net.links.add_partition(others, frozenset(["e0"]))
        await world.start("e0", "10.0.0.9:8002")
        for _ in range(60):
            await trio.sleep(1)
            assert world.generation("e0") == 0
            assert not await world.is_ready("e0")
        world.made.net.links.heal_all()
        await world.wait_generation(1, PROPAGATION_SECONDS)
        assert await world.is_ready("e0")

    run_scenario(context, scenario)


@then("configurations are not reverted when the platform loses accepted changes")
def check_platform_data_loss(context):
    async def scenario(world):
        await world.made.call(world.made.platform, message.Request("POST", "/keep"))
        assert (await world.apply("maintenance")).is_ok()
        await world.wait_generation(2, PROPAGATION_SECONDS)
        await world.made.call(world.made.platform, message.Request("POST", "/lose"))
        world.made.kill("e0")
        await world.start("e0")
        await trio.sleep(START_SECONDS)
        generations = [world.generation(name) for name in ENTRY_NAMES]
        assert generations == [2] * 6, generations
        assert world.made.views["e0"].platform_generation.value == 1
        declarations = changes.make_apply(world.declared, "ordinary")
        assert (
            await configuration_change.apply_change(
                world.made.operator, world.platform, declarations
            )
            == 0
        )
        await world.wait_generation(3, PROPAGATION_SECONDS)

    run_scenario(context, scenario)


@then("an entry that is stopped as planned is no longer registered")
def check_unregistered(context):
    async def scenario(world):
        assert len((await world.platform.list_objects("entry/")).ok.objects) == 6
        world.made.stop_events["e0"].set()
        await trio.sleep(PROPAGATION_SECONDS)
        listed = (await world.platform.list_objects("entry/")).ok.objects
        assert [registered.key for registered in listed] == [
            f"entry/{name}" for name in ENTRY_NAMES[1:]
        ]

    run_scenario(context, scenario)


@then("configurations never go back or get lost with seed {seed:d}")
def check_random_faults(context, seed):
    rng = random.Random(seed)
    accepted = [1]
    highest_seen = {}

    async def watch(world):
        while True:
            for name, view in world.made.views.items():
                incarnation = (name, view.incarnation)
                assert world.generation(name) >= highest_seen.get(
                    incarnation, 0
                ), "an entry's generation went back"
                highest_seen[incarnation] = world.generation(name)
            await trio.sleep(0.1)

    async def operate(world):
        for _ in range(RANDOM_ACTIONS):
            await trio.sleep(rng.uniform(0, 3))
            base = await accept.read_current(world.platform)
            if base.is_error():
                continue
            name = f"a{rng.getrandbits(32)}"
            account = msgspec.structs.replace(world.declared.accounts[0], name=name)
            declarations = msgspec.structs.replace(world.declared, accounts=[account])
            result = await accept.accept(world.platform, base.ok, declarations, "ordinary")
            if result.is_ok():
                assert result.ok.generation not in accepted
                accepted.append(result.ok.generation)

    async def disturb(world):
        for _ in range(RANDOM_ACTIONS):
            await trio.sleep(rng.uniform(0, 3))
            fault = rng.randrange(6)
            if fault == 0:
                world.cut_from_platform(rng.sample(ENTRY_NAMES, rng.randrange(1, 7)))
            elif fault == 1:
                await world.set_faults(lose_answers=rng.random() < 0.5)
            elif fault == 2:
                await world.set_faults(silent_watch=True, slow_seconds=rng.uniform(0, 1))
            elif fault == 3:
                halves = rng.sample(ENTRY_NAMES, 6)
                world.made.net.links.add_partition(frozenset(halves[:3]), frozenset(halves[3:]))
            elif fault == 4:
                name = rng.choice(ENTRY_NAMES)
                world.made.kill(name)
                await trio.sleep(rng.uniform(0, 2))
                await world.start(name)
            else:
                world.made.net.links.heal_all()
                await world.set_faults()

    async def scenario(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, world)
            async with trio.open_nursery() as workload_nursery:
                workload_nursery.start_soon(disturb, world)
                for _ in range(2):
                    workload_nursery.start_soon(operate, world)
            world.made.net.links.heal_all()
            await world.set_faults()
            head = (await accept.read_current(world.platform)).ok.head
            assert head.generation >= max(accepted) > 2, accepted
            await world.wait_generation(head.generation, 2 * PROPAGATION_SECONDS)
            writers = {
                world.made.views[name].configuration.value.head.writer for name in ENTRY_NAMES
            }
            assert writers == {head.writer}
            nursery.cancel_scope.cancel()

    run_scenario(context, scenario, seed)
