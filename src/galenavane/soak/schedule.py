"""Generates schedules of faults."""

from __future__ import annotations

import random

from galenavane.soak import fault_types, topology

MAX_DRAWN_FAULTS = 14
PLANNED_ONLY_PROBABILITY = 0.2
CUT_AFTER_BYTES = (100, 3000)
SLOW_FACTOR = 12
_Kind = fault_types.Kind


def generate(
    rng: random.Random, found: topology.Topology, length_seconds: float
) -> list[fault_types.Fault]:
    """Return faults in order of time; some schedules hold planned ones only."""
    kinds = (
        sorted(fault_types.PLANNED_KINDS)
        if rng.random() < PLANNED_ONLY_PROBABILITY
        else list(_Kind)
    )
    faults: list[fault_types.Fault] = []
    for _ in range(rng.randint(2, MAX_DRAWN_FAULTS)):
        made = _draw_fault(rng, found, rng.choice(kinds), rng.uniform(0.0, length_seconds))
        faults.append(made)
        if rng.random() < 0.2:
            faults.append(_repeat_fault(rng, made))
    return sorted(faults, key=lambda one: one.at_seconds)


def _repeat_fault(rng: random.Random, made: fault_types.Fault) -> fault_types.Fault:
    """Return the same fault once more, perhaps while the first one lasts."""
    later = round(made.at_seconds + rng.uniform(0.0, made.duration_seconds + 2.0), 3)
    return fault_types.Fault(
        later, made.kind, made.duration_seconds, made.names, made.opposite_names, made.amount
    )


def _draw_fault(
    rng: random.Random, found: topology.Topology, kind: fault_types.Kind, at_seconds: float
) -> fault_types.Fault:
    at_seconds = round(at_seconds, 3)
    seconds = round(rng.choice([0.3, 1.0, 3.0, 8.0, 15.0]) * rng.uniform(0.5, 1.5), 3)
    names, others = _draw_names(rng, found, kind)
    amounts = {
        _Kind.CUT_AFTER: rng.randint(0, rng.choice(CUT_AFTER_BYTES)),
        _Kind.PLATFORM_RATE: rng.randint(1, 40),
        _Kind.STRAGGLER: SLOW_FACTOR,
    }
    return fault_types.Fault(at_seconds, kind, seconds, names, others, amounts.get(kind, 0))


def _draw_names(
    rng: random.Random, found: topology.Topology, kind: fault_types.Kind
) -> tuple[list[str], list[str]]:
    entries = [one.name for one in found.entries]
    engines = [one.name for one in found.engines]
    plains = [one.name for one in found.plain_targets]
    everyone = entries + engines + plains
    if kind in fault_types.PLATFORM_KINDS:
        return ["platform"], []
    if kind in (_Kind.SWITCH_PRESET, _Kind.OPERATOR_RACE):
        count = 1 if kind is _Kind.SWITCH_PRESET else 2
        return [rng.choice(sorted(topology.PRESET_VERSIONS)) for _ in range(count)], []
    if kind is _Kind.DARK_DOMAIN:
        domain = rng.choice(sorted({one.fabric_domain for one in found.engines}))
        return [one.name for one in found.engines if one.fabric_domain == domain], []
    if kind is _Kind.STOP_ENTRY:
        return [rng.choice(entries)], []
    if kind is _Kind.LEAVE:
        return [rng.choice(engines + plains)], []
    if kind in (_Kind.STRAGGLER, _Kind.ENGINE_SILENT):
        return [rng.choice(engines)], []
    if kind is _Kind.LOSE_ANSWERS:
        return [rng.choice(plains)], []
    if kind is _Kind.CUT:
        return _draw_cut(rng, found, everyone)
    if kind in (_Kind.KILL, _Kind.FREEZE):
        return [rng.choice(rng.choice([entries, engines, engines, plains]))], []
    return [rng.choice(everyone)], []


def _draw_cut(
    rng: random.Random, found: topology.Topology, everyone: list[str]
) -> tuple[list[str], list[str]]:
    inside = found.list_processes(rng.choice(found.data_centres))
    outside = [one for one in everyone if one not in inside]
    sort = rng.randrange(4)
    if sort == 0:
        return inside, [*outside, "platform"]
    if sort == 1:
        return inside, ["platform"]
    if sort == 2:
        return inside, outside
    some = rng.sample(everyone, rng.randint(1, 3))
    return some, [one for one in [*everyone, "platform"] if one not in some]
