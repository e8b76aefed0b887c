"""Generates random fault schedules."""

from __future__ import annotations

import random

from galenavane.soak import fault_types, topology

MAX_DRAWN_FAULTS = 14
PLANNED_ONLY_PROBABILITY = 0.2
CUT_AFTER_BYTES = (100, 3000)
SLOW_FACTOR = 12
_Kind = fault_types.Kind


def generate(
    rng: random.Random, layout: topology.Topology, length_seconds: float
) -> list[fault_types.Fault]:
    """Draw the faults of a schedule, ordered by start; some schedules have only planned ones.

    :param length_seconds: latest start of a fault, except that a repeated fault may start later.
    """
    kinds = (
        sorted(fault_types.PLANNED_KINDS)
        if rng.random() < PLANNED_ONLY_PROBABILITY
        else list(_Kind)
    )
    faults: list[fault_types.Fault] = []
    for _ in range(rng.randint(2, MAX_DRAWN_FAULTS)):
        drawn = _draw_fault(rng, layout, rng.choice(kinds), rng.uniform(0.0, length_seconds))
        faults.append(drawn)
        if rng.random() < 0.2:
            faults.append(_repeat_fault(rng, drawn))
    return sorted(faults, key=lambda item: item.at_seconds)


def _repeat_fault(rng: random.Random, original: fault_types.Fault) -> fault_types.Fault:
    """Return a copy of a fault that may overlap it."""
    repeat_at = round(original.at_seconds + rng.uniform(0.0, original.duration_seconds + 2.0), 3)
    return fault_types.Fault(
        repeat_at,
        original.kind,
        original.duration_seconds,
        original.names,
        original.opposite_names,
        original.amount,
    )


def _draw_fault(
    rng: random.Random, layout: topology.Topology, kind: fault_types.Kind, at_seconds: float
) -> fault_types.Fault:
    at_seconds = round(at_seconds, 3)
    duration_seconds = round(rng.choice([0.3, 1.0, 3.0, 8.0, 15.0]) * rng.uniform(0.5, 1.5), 3)
    names, opposite_names = _draw_names(rng, layout, kind)
    amounts = {
        _Kind.CUT_AFTER: rng.randint(0, rng.choice(CUT_AFTER_BYTES)),
        _Kind.PLATFORM_RATE: rng.randint(1, 40),
        _Kind.STRAGGLER: SLOW_FACTOR,
    }
    return fault_types.Fault(
        at_seconds, kind, duration_seconds, names, opposite_names, amounts.get(kind, 0)
    )


def _draw_names(
    rng: random.Random, layout: topology.Topology, kind: fault_types.Kind
) -> tuple[list[str], list[str]]:
    entries = [entry.name for entry in layout.entries]
    engines = [engine.name for engine in layout.engines]
    plain_targets = [target.name for target in layout.plain_targets]
    all_names = entries + engines + plain_targets
    if kind in fault_types.PLATFORM_KINDS:
        return ["platform"], []
    if kind in (_Kind.SWITCH_PRESET, _Kind.OPERATOR_RACE):
        count = 1 if kind is _Kind.SWITCH_PRESET else 2
        return [rng.choice(sorted(topology.PRESET_VERSIONS)) for _ in range(count)], []
    if kind is _Kind.DARK_DOMAIN:
        domain = rng.choice(sorted({engine.fabric_domain for engine in layout.engines}))
        return [engine.name for engine in layout.engines if engine.fabric_domain == domain], []
    if kind is _Kind.STOP_ENTRY:
        return [rng.choice(entries)], []
    if kind is _Kind.LEAVE:
        return [rng.choice(engines + plain_targets)], []
    if kind in (_Kind.STRAGGLER, _Kind.ENGINE_SILENT):
        return [rng.choice(engines)], []
    if kind is _Kind.LOSE_ANSWERS:
        return [rng.choice(plain_targets)], []
    if kind is _Kind.CUT:
        return _draw_partition(rng, layout, all_names)
    if kind in (_Kind.KILL, _Kind.FREEZE):
        return [rng.choice(rng.choice([entries, engines, engines, plain_targets]))], []
    return [rng.choice(all_names)], []


def _draw_partition(
    rng: random.Random, layout: topology.Topology, all_names: list[str]
) -> tuple[list[str], list[str]]:
    inside = layout.list_processes(rng.choice(layout.data_centres))
    outside = [name for name in all_names if name not in inside]
    shape = rng.randrange(4)
    if shape == 0:
        return inside, [*outside, "platform"]
    if shape == 1:
        return inside, ["platform"]
    if shape == 2:
        return inside, outside
    isolated = rng.sample(all_names, rng.randint(1, 3))
    return isolated, [name for name in [*all_names, "platform"] if name not in isolated]
