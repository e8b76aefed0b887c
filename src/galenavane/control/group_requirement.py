"""Derives from the preset in force the groups that a data centre should run."""

from __future__ import annotations

import dataclasses

from galenavane.config import declaration, in_force
from galenavane.control import table
from galenavane.target import command

IMPORTANCE_BASE = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Requirement:
    """Identical groups that one service should have.

    :ivar members: number of instances in each group.
    :ivar count: number of groups.
    :ivar priority: priority of the service; a lower number is more important.
    :ivar value: cost of one second in which one of these groups is missing.
    :ivar shards: weights that each rank holds.
    """

    service: str
    model: str
    version: str
    adapters: list[str]
    members: int
    count: int
    priority: int
    value: float
    shards: tuple[str, ...]

    def matches(self, group: table.Group) -> bool:
        """Whether a group meets this requirement."""
        return (group.service, group.model, group.version, len(group.members)) == (
            self.service,
            self.model,
            self.version,
            self.members,
        )


def compute_requirements(
    configuration: in_force.Configuration, data_centre: str
) -> list[Requirement]:
    """Return the requirements of a data centre, the most important first, then the largest."""
    declared = configuration.declared
    requirements = []
    for run in configuration.list_runs():
        service = declared.find_service(run.service)
        if service is not None:
            requirements.append(_make_requirement(declared.deployment, service, run, data_centre))
    requirements.sort(
        key=lambda requirement: (requirement.priority, -requirement.members, requirement.service)
    )
    return requirements


def _make_requirement(
    weights: declaration.Deployment,
    service: declaration.Service,
    run: declaration.Run,
    data_centre: str,
) -> Requirement:
    count = service.members
    return Requirement(
        service=service.name,
        model=run.model,
        version=run.version,
        adapters=run.adapters,
        members=count,
        count=run.replicas.get(data_centre, 0),
        priority=service.priority,
        value=compute_group_value(weights, service),
        shards=tuple(
            command.format_shard(run.model, run.version, rank, count) for rank in range(count)
        ),
    )


def compute_group_value(weights: declaration.Deployment, service: declaration.Service) -> float:
    """Return the cost of one second in which a group of a service can't serve."""
    importance = IMPORTANCE_BASE**-service.priority
    return weights.downtime_weight * importance + weights.stranded_weight * service.members
