"""Checks that a deployment recovers after a fault schedule and reports what is stuck."""

from __future__ import annotations

import trio

from galenavane.config import head as heads
from galenavane.entry import status as entry_status
from galenavane.simulate import deployment
from galenavane.soak import injector, invariant_checker, operators, topology, violation

RECOVERY_TIMEOUT_SECONDS = 60.0
STABLE_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.5


async def end_faults(fault_injector: injector.Injector, layout: topology.Topology) -> None:
    """Heal every network partition, resume frozen processes and start stopped ones."""
    fault_injector.simulation.net.links.heal_all()
    for placement in layout.entries + layout.engines + layout.plain_targets:
        fault_injector.simulation.processes[placement.name].thaw()
        await fault_injector.start_process(placement.name)


async def check_recovered(
    simulation: deployment.Deployment,
    layout: topology.Topology,
    ops: operators.Operators,
    checker: invariant_checker.InvariantChecker,
) -> None:
    """Wait until the deployment has recovered; report what is stuck at the time limit.

    The state has to stay recovered for ``STABLE_SECONDS``.
    """
    stuck = ["nothing was looked at"]
    recovered_since = float("inf")
    with trio.move_on_after(RECOVERY_TIMEOUT_SECONDS):
        while trio.current_time() - recovered_since < STABLE_SECONDS:
            await trio.sleep(POLL_INTERVAL_SECONDS)
            head = await ops.read_head()
            stuck = _list_stuck(simulation, layout, head.ok) if head.is_ok() else [str(head.error)]
            recovered_since = (
                min(recovered_since, trio.current_time()) if not stuck else float("inf")
            )
    for text in stuck:
        checker.report(
            violation.STUCK, f"{text} {RECOVERY_TIMEOUT_SECONDS:.0f} s after the last fault"
        )
    head = await ops.read_head()
    if head.is_ok():
        checker.check_accepted(head.ok.generation)


def _list_stuck(
    simulation: deployment.Deployment, layout: topology.Topology, head: heads.Head
) -> list[str]:
    version = topology.PRESET_VERSIONS[head.preset]
    expected_groups = topology.count_groups(layout.scale, head.preset) * len(layout.data_centres)
    stuck: list[str] = []
    for name, view in simulation.views.items():
        status = entry_status.describe(view)
        if status.generation != head.generation:
            stuck.append(f"{name} has generation {status.generation}, not {head.generation}")
        if status.active:
            stuck.append(f"{name} has {status.active} requests that have not ended")
        ready_groups = sum(group.complete and group.version == version for group in status.groups)
        if ready_groups != expected_groups or len(status.groups) != expected_groups:
            text = (
                f"{ready_groups} of {expected_groups} groups complete, "
                f"{len(status.groups)} in the tables"
            )
            stuck.append(f"{name} sees {text}")
    return stuck
