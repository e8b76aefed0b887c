"""Generates schedules of faults."""

from __future__ import annotations

import random

from galenavane.soak import fault, topology

MAX_FAULTS = 14
PLANNED_ONLY_SHARE = 0.2
CUT_AFTER_BYTES = (100, 3000)
SLOW_FACTOR = 12
_Kind = fault.Kind


def generate(
    rng: random.Random, found: topology.Topology, length_seconds: float
) -> list[fault.Fault]:
    """Return faults in order of time; some schedules hold planned ones only."""
    kinds = sorted(fault.PLANNED) if rng.random() < PLANNED_ONLY_SHARE else list(_Kind)
    faults: list[fault.Fault] = []
    for _ in range(rng.randint(2, MAX_FAULTS)):
        made = _make(rng, found, rng.choice(kinds), rng.uniform(0.0, length_seconds))
        faults.append(made)
        if rng.random() < 0.2:
            faults.append(_soon_after(rng, made))
    return sorted(faults, key=lambda one: one.at_seconds)


def _soon_after(rng: random.Random, made: fault.Fault) -> fault.Fault:
    """Return the same fault once more, perhaps while the first one lasts."""
    later = round(made.at_seconds + rng.uniform(0.0, made.seconds + 2.0), 3)
    return fault.Fault(later, made.kind, made.seconds, made.names, made.others, made.amount)


def _make(
    rng: random.Random, found: topology.Topology, kind: fault.Kind, at_seconds: float
) -> fault.Fault:
    at_seconds = round(at_seconds, 3)
    seconds = round(rng.choice([0.3, 1.0, 3.0, 8.0, 15.0]) * rng.uniform(0.5, 1.5), 3)
    names, others = _sides(rng, found, kind)
    amounts = {
        _Kind.CUT_AFTER: rng.randint(0, rng.choice(CUT_AFTER_BYTES)),
        _Kind.PLATFORM_RATE: rng.randint(1, 40),
        _Kind.STRAGGLER: SLOW_FACTOR,
    }
    return fault.Fault(at_seconds, kind, seconds, names, others, amounts.get(kind, 0))


def _sides(
    rng: random.Random, found: topology.Topology, kind: fault.Kind
) -> tuple[list[str], list[str]]:
    entries = [one.name for one in found.entries]
    engines = [one.name for one in found.engines]
    plains = [one.name for one in found.plains]
    everyone = entries + engines + plains
    if kind in fault.PLATFORM:
        return ["platform"], []
    if kind in (_Kind.SWITCH_PRESET, _Kind.OPERATOR_RACE):
        count = 1 if kind is _Kind.SWITCH_PRESET else 2
        return [rng.choice(sorted(topology.PRESETS)) for _ in range(count)], []
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
        return _cut(rng, found, everyone)
    if kind in (_Kind.KILL, _Kind.FREEZE):
        return [rng.choice(rng.choice([entries, engines, engines, plains]))], []
    return [rng.choice(everyone)], []


def _cut(
    rng: random.Random, found: topology.Topology, everyone: list[str]
) -> tuple[list[str], list[str]]:
    inside = found.in_data_centre(rng.choice(found.data_centres))
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
