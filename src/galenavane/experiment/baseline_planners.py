"""Simple planners as baselines for the comparison with the real one."""

from __future__ import annotations

import msgspec

from galenavane.control import condition, group_requirement, plan, pool, table


def repair_from_spares(inputs: plan.Inputs) -> table.Table:
    """Replace lost members by spares of the same fabric domain, once there are enough."""
    groups = list(inputs.current.groups)
    free = pool.make(groups, inputs.statuses, (), 0, inputs.now)
    next_epoch = inputs.current.next_epoch
    for index, group in enumerate(groups):
        group_condition = condition.assess_group(group, inputs.statuses, inputs.now)
        is_drained = group.epoch in inputs.drained_epochs
        if group_condition is condition.Condition.LEAVING and not is_drained:
            groups[index] = msgspec.structs.replace(group, phase=table.Phase.DRAINING)
        elif group_condition is not condition.Condition.INTACT:
            members = _replace_members(group, inputs, free)
            if members:
                groups[index] = msgspec.structs.replace(
                    group, members=members, epoch=next_epoch, phase=table.Phase.ACTIVE
                )
                next_epoch += 1
    return table.replace_groups(inputs.current, groups, next_epoch)


def _replace_members(
    group: table.Group, inputs: plan.Inputs, free: pool.Pool
) -> list[table.Member]:
    """Return the repaired group's members; empty when there are too few spares."""
    members = [_keep_member(member, inputs) for member in group.members]
    domain = inputs.statuses[group.members[0].instance].instance.fabric_domain
    if free.count(domain) < members.count(None):
        return []
    spares = iter(sorted(free.domains[domain].free) if free.count(domain) else [])
    return [
        member if member is not None else _take_spare(free, domain, next(spares))
        for member in members
    ]


def _keep_member(member: table.Member, inputs: plan.Inputs) -> table.Member | None:
    """Return the member on its own instance, restarted or not, if that is available."""
    status = inputs.statuses[member.instance]
    return pool.make_member(status) if condition.is_available(status, inputs.now) else None


def _take_spare(free: pool.Pool, domain: str, name: str) -> table.Member:
    return pool.make_member(free.domains[domain].free.pop(name))


def rebuild_group(inputs: plan.Inputs) -> table.Table:
    """Dissolve each group that has lost a member and form it again wherever it fits."""
    current = inputs.current
    kept = []
    for group in current.groups:
        group_condition = condition.assess_group(group, inputs.statuses, inputs.now)
        if (
            group_condition is condition.Condition.LEAVING
            and group.epoch not in inputs.drained_epochs
        ):
            kept.append(msgspec.structs.replace(group, phase=table.Phase.DRAINING))
        elif group_condition is condition.Condition.INTACT:
            kept.append(group)
    free = pool.make(kept, inputs.statuses, (), 0, inputs.now)
    next_epoch = current.next_epoch
    names = {group.name for group in kept}
    for requirement in group_requirement.compute_requirements(
        inputs.configuration, current.data_centre
    ):
        for number in range(requirement.count):
            name = f"{requirement.service}.{current.data_centre}.{number}"
            members = free.take(requirement) if name not in names else []
            if members:
                kept.append(_make_group(name, requirement, next_epoch, members))
                next_epoch += 1
    return table.replace_groups(current, kept, next_epoch)


def _make_group(
    name: str, requirement: group_requirement.Requirement, epoch: int, members: list[table.Member]
) -> table.Group:
    return table.Group(
        name,
        requirement.service,
        requirement.model,
        requirement.version,
        epoch,
        members,
        requirement.adapters,
    )
