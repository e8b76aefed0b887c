"""Waits after a schedule until everything is whole again, and says what is stuck."""

from __future__ import annotations

import trio

from galenavane.config import head as heads
from galenavane.entry import status as entry_status
from galenavane.simulate import deployment
from galenavane.soak import injector, invariant_checker, operators, topology, violation

RECOVERY_TIMEOUT_SECONDS = 60.0
STABLE_SECONDS = 3.0
POLL_SECONDS = 0.5


async def end_faults(inject: injector.Injector, found: topology.Topology) -> None:
    """Remove every cut and start what is not alive."""
    inject.simulation.net.links.heal()
    for place in found.entries + found.engines + found.plain_targets:
        inject.simulation.owners[place.name].thaw()
        await inject.start_process(place.name)


async def check_recovered(
    made: deployment.Deployment,
    found: topology.Topology,
    ops: operators.Operators,
    seen: invariant_checker.InvariantChecker,
) -> None:
    """Wait until nothing is stuck; report what still is when the time is over."""
    wrong = ["nothing was looked at"]
    good_since = float("inf")
    with trio.move_on_after(RECOVERY_TIMEOUT_SECONDS):
        while trio.current_time() - good_since < STABLE_SECONDS:
            await trio.sleep(POLL_SECONDS)
            head = await ops.read_head()
            wrong = _list_stuck(made, found, head.ok) if head.is_ok() else [str(head.error)]
            good_since = min(good_since, trio.current_time()) if not wrong else float("inf")
    for text in wrong:
        seen.report(
            violation.STUCK, f"{text} {RECOVERY_TIMEOUT_SECONDS:.0f} s after the last fault"
        )
    head = await ops.read_head()
    if head.is_ok():
        seen.check_accepted(head.ok.generation)


def _list_stuck(
    made: deployment.Deployment, found: topology.Topology, head: heads.Head
) -> list[str]:
    version = topology.PRESET_VERSIONS[head.preset]
    wanted = topology.count_groups(found.scale, head.preset) * len(found.data_centres)
    stuck: list[str] = []
    for name, view in made.views.items():
        status = entry_status.describe(view)
        if status.generation != head.generation:
            stuck.append(f"{name} has generation {status.generation}, not {head.generation}")
        if status.active:
            stuck.append(f"{name} has {status.active} requests that have not ended")
        right = sum(group.complete and group.version == version for group in status.groups)
        if right != wanted or len(status.groups) != wanted:
            text = f"{right} of {wanted} groups complete, {len(status.groups)} in the tables"
            stuck.append(f"{name} sees {text}")
    return stuck
