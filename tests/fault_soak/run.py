"""Plays one seed and returns what broke."""

from __future__ import annotations

import pathlib
import random
import signal

import trio

from fault_soak import callers, checks, fleet, injector, plan

DOMAINS = 3
SIZE = 7
PLACES = ("dc", "dc", "dc2", "dc2")
CALLERS = 6
START_SECONDS = 20.0
RECOVER_SECONDS = 10.0
"""After the last fault every entry serves again within this; groups need a load at most."""
PROBE_SECONDS = 0.3
SPREAD_SECONDS = 0.5


async def _wait_ready(world, seconds):
    """Wait until each entry serves every kind of request; return those that did not."""
    left = {one.name: "" for one in world.entries}
    with trio.move_on_after(seconds):
        while left:
            for one in [entry for entry in world.entries if entry.name in left]:
                status = await callers.ask(one.readiness, "/readyz")
                shown = await callers.ask(one.callers, f"/v{world.version}/x")
                left[one.name] = f"readiness {status}, newest route {shown}"
                if status == 200 and shown == 200 and len(world.serving()) >= 2:
                    del left[one.name]
            await trio.sleep(0.1)
    return [
        f"{name} is not back {seconds:g} s after the last fault: {text}"
        for name, text in left.items()
    ]


async def _probe_versions(world, seen):
    """Ask each entry which configuration is in force, by the route that it knows."""
    while True:
        await trio.sleep(PROBE_SECONDS)
        for one in world.entries:
            life = f"{one.name}/{one.lives}"
            newest = world.version
            for version in range(newest, max(0, newest - 4), -1):
                if await callers.ask(one.callers, f"/v{version}/x", 0.3) == 200:
                    if life == f"{one.name}/{one.lives}":
                        seen.setdefault(life, []).append(version)
                    break


async def _check_recovered(world, rng, sent):
    """Some requests of each kind at each entry, after all faults."""
    broken = await _wait_ready(world, RECOVER_SECONDS)
    await trio.sleep(SPREAD_SECONDS)
    late = []
    for one in world.entries:
        caller = callers.Caller(rng, [one], late, [world.keys[0]])
        await caller.run(trio.current_time() + 0.8)
    sent += late
    whole = [one for one in late if one.note == "left" or (one.status == 200 and one.is_whole)]
    if len(whole) < 0.9 * len(late):
        texts = [
            f"{one.kind} {one.attempt}@{one.entry}: {one.status} {one.note}"
            for one in late
            if one not in whole
        ]
        broken.append(f"{len(texts)} of {len(late)} requests failed after recovery: {texts[:4]}")
    return broken


async def play(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Play the faults of a seed for so long; return the promises that broke."""
    rng = random.Random(seed)
    log: list[str] = []
    sent: list = []
    seen: dict[str, list[int]] = {}
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        world = fleet.Fleet(nursery, folder)
        try:
            await world.start(DOMAINS, SIZE, PLACES)
            broken += await _wait_ready(world, START_SECONDS)
            probes = trio.CancelScope()
            nursery.start_soon(_probe_until, probes, world, seen)
            until = trio.current_time() + seconds + 1.0
            async with trio.open_nursery() as busy:
                for _ in range(CALLERS):
                    one = callers.Caller(
                        random.Random(rng.random()), world.entries, sent, world.keys
                    )
                    busy.start_soon(one.run, until)
                inject = injector.Injector(world, log)
                await inject.run(plan.draw(seed, seconds))
            probes.cancel()
            broken += await _check_recovered(world, rng, sent)
            for one in world.entries:
                if one.has_ended_itself():
                    broken.append(f"{one.name} ended by itself")
        finally:
            for one in world.entries:
                one.signal(signal.SIGCONT)
                one.kill()
            nursery.cancel_scope.cancel()
    broken += checks.check_streams(sent)
    broken += checks.check_once(sent, world.ledger)
    broken += checks.check_not_run(sent, world.ledger)
    broken += checks.check_revoked(sent, world.ledger, world.revoked)
    broken += checks.check_leaving(world.ledger, world.left)
    broken += checks.check_versions(seen)
    broken += checks.check_joins(world.taken)
    (folder / "faults.txt").write_text("\n".join(log))
    (folder / "broken.txt").write_text("\n".join(broken))
    (folder / "sent.txt").write_text("\n".join(str(one) for one in sent))
    (folder / "ledger.txt").write_text("\n".join(str(one) for one in world.ledger))
    served = sum(one.status == 200 and one.is_whole for one in sent)
    print(
        f"seed {seed}: {len(log)} faults, {len(sent)} requests, {served} whole, "
        f"{len(broken)} broken"
    )
    return broken


async def _probe_until(scope, world, seen):
    with scope:
        await _probe_versions(world, seen)
