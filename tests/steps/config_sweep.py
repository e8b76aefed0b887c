"""Steps for the removal of sections on a simulated platform with a virtual clock."""

from __future__ import annotations

import contextlib
import random

import config_accept
import msgspec
import trio
from behave import then

from galenavane.config import accept, canonical, head_store, sections, sweep
from galenavane.config import head as heads


class SlowPlatform:
    """A platform client that delays each call by a random time."""

    def __init__(self, platform, rng):
        self.platform = platform
        self.rng = rng

    def __getattr__(self, name):
        async def call(*args):
            await trio.sleep(self.rng.uniform(0, 0.5))
            return await getattr(self.platform, name)(*args)

        return call


@then("random concurrent changes with sweeps and seed {seed:d} keep every referenced section")
def check_random_sweeps(context, seed):
    rng = random.Random(seed)
    removed = []

    async def operate(platform, declared):
        for _ in range(2 * config_accept.CHANGES_PER_OPERATOR):
            base = await accept.read_current(platform)
            if base.is_error():
                # While the sections of this head were read, more generations were accepted than are
                # kept.
                assert (await config_accept.read_head(platform)).generation > sweep.KEPT_GENERATIONS
                continue
            account = msgspec.structs.replace(declared.accounts[0], name=f"a{rng.randrange(6)}")
            new_declared = msgspec.structs.replace(declared, accounts=[account])
            result = await accept.accept(platform, base.ok, new_declared, "ordinary")
            if result.is_ok():
                removed.append((await sweep.sweep(platform, result.ok.generation)).ok)

    async def scenario(simulated, platform, declared):
        async with trio.open_nursery() as nursery:
            for _ in range(config_accept.OPERATOR_COUNT):
                nursery.start_soon(operate, SlowPlatform(platform, rng), declared)
        current = await accept.read_current(platform)
        assert current.is_ok(), current.error
        for distance in range(1, sweep.KEPT_GENERATIONS + 1):
            earlier = await accept.read_generation(platform, current.ok.head.generation - distance)
            assert earlier.is_ok(), earlier.error
        listed = (await platform.list_objects(heads.HISTORY_PREFIX)).ok.objects
        assert sum(removed) > 10 and len(listed) <= 2 * sweep.KEPT_GENERATIONS, len(listed)

    with lower_limits():
        config_accept.run_on_platform(context, scenario, seed)


@contextlib.contextmanager
def lower_limits():
    """Sweep after each acceptance, keep four generations, and list all sections in each sweep."""
    limits = (sweep.KEPT_GENERATIONS, sweep.SWEEP_INTERVAL_GENERATIONS, sweep._SHARD_DIGITS)
    sweep.KEPT_GENERATIONS, sweep.SWEEP_INTERVAL_GENERATIONS, sweep._SHARD_DIGITS = 4, 1, [""]
    try:
        yield
    finally:
        sweep.KEPT_GENERATIONS, sweep.SWEEP_INTERVAL_GENERATIONS, sweep._SHARD_DIGITS = limits


@then("accepting while a sweep runs keeps a section written {when}")
def check_concurrent_sweep(context, when):
    async def scenario(simulated, platform, declared):
        async def accept_account(number):
            base = await accept.read_current(platform)
            account = msgspec.structs.replace(declared.accounts[0], name=f"a{number}")
            new_declared = msgspec.structs.replace(declared, accounts=[account])
            return new_declared, await accept.accept(platform, base.ok, new_declared, "ordinary")

        first, _ = await accept_account(0)
        for number in range(1, 7):
            await accept_account(number)
        texts = canonical.encode_sections(first)
        section_hashes = {name: heads.hash_text(text) for name, text in texts.items()}
        if when == "after it was marked":
            assert (await sweep.sweep(platform, 7)).is_ok()
            await accept_account(7)
            base = await accept.read_current(platform)
            await sections.write(platform, texts, set(base.ok.head.sections.values()))
            assert (await sweep.sweep(platform, 8)).is_ok()
        else:
            base = await accept.read_current(platform)
            await sections.write(platform, texts, set(base.ok.head.sections.values()))
            for _ in range(2):
                assert (await sweep.sweep(platform, 7)).is_ok()
        head = heads.Head(base.ok.head.generation + 1, section_hashes, "ordinary", "writer")
        assert (await head_store.write_head(platform, head, base.ok.version)).is_ok()
        assert (await accept.read_current(platform)).ok.declared == first

    with lower_limits():
        config_accept.run_on_platform(context, scenario)
