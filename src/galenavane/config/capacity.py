"""Compares the number of instances that a preset needs with the live instances."""

from __future__ import annotations

import collections

from galenavane.config import declaration
from galenavane.store import instance


def list_shortages(
    declared: declaration.Declarations, preset: str, instances: list[instance.Instance]
) -> list[str]:
    """Return one line for each data centre with fewer live engines than a preset needs."""
    needed: collections.Counter[str] = collections.Counter()
    for run in declared.list_runs(preset):
        service = declared.find_service(run.service)
        members = service.members if service else 1
        for data_centre, replicas in run.replicas.items():
            needed[data_centre] += replicas * members
    live = collections.Counter(
        candidate.data_centre for candidate in instances if _is_live_engine(candidate)
    )
    return [
        f'preset "{preset}" needs {count} instances in {name}, {live[name]} are live'
        for name, count in sorted(needed.items())
        if count > live[name]
    ]


def _is_live_engine(candidate: instance.Instance) -> bool:
    return candidate.kind is instance.Kind.ENGINE and candidate.state is instance.State.LIVE
