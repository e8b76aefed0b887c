"""Queries entries for their status and renders their answers."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

import msgspec
import trio

from galenavane.entry import status
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import message, round_trip, tcp, transport_error

TIMEOUT_SECONDS = 3.0
MAX_ANSWER_BYTES = 64_000_000
STALE_AFTER_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class GroupFilter:
    """Selects the groups to list; an empty field matches every group.

    :ivar incomplete: whether only incomplete groups are listed.
    :ivar max_groups: largest number of groups to list.
    """

    service: str
    data_centre: str
    incomplete: bool
    max_groups: int


class Answer(msgspec.Struct, frozen=True):
    """Answer of one entry.

    :ivar status: ``None`` when the entry did not answer with a valid status.
    :ivar problem: why there is no status, else empty.
    """

    address: str
    status: status.EntryStatus | None
    problem: str = ""


async def query_entries(entry_addresses: abc.Sequence[addresses.Address]) -> list[Answer]:
    """Query all entries concurrently.

    :returns: one answer for each address, in the same order.
    :raises failure.UserError: when no address is given.
    """
    if not entry_addresses:
        text = "no entry was named: give the IP:port of an entry's operators' address"
        raise failure.UserError(failure.Failure(codes.Code.BAD_REQUEST, text))
    answers: dict[addresses.Address, Answer] = {}

    async def ask(address: addresses.Address) -> None:
        answers[address] = await _query_entry(address)

    async with trio.open_nursery() as nursery:
        for address in entry_addresses:
            nursery.start_soon(ask, address)
    return [answers[address] for address in entry_addresses]


async def _query_entry(address: addresses.Address) -> Answer:
    req = message.Request("GET", "/status")
    try:
        response = await round_trip.send(
            tcp.make(), address, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES
        )
        entry = msgspec.json.decode(response.body, type=status.EntryStatus)
    except (transport_error.TransportError, msgspec.DecodeError) as exc:
        return Answer(str(address), None, str(exc) or "no answer")
    return Answer(str(address), entry)


def is_healthy(answers: list[Answer]) -> bool:
    """Whether every entry answered and sees the wanted groups of its data centre complete."""
    return all(
        answer.status is not None
        and answer.status.generation > 0
        and _count_complete(answer.status.groups, answer.status.data_centre) >= answer.status.wanted
        for answer in answers
    )


def render(answers: list[Answer], group_filter: GroupFilter) -> str:
    """Return the summary, then the entries, then the groups that the filter matches."""
    statuses = [answer.status for answer in answers if answer.status is not None]
    if not statuses:
        return "\n".join(_render_unreachable(answer) for answer in answers)
    newest = max(statuses, key=lambda entry: entry.generation)
    groups = _merge_groups(statuses)
    lines = _render_summary(statuses, newest, groups)
    lines += [_render_entry(entry, newest.generation) for entry in statuses]
    lines += [_render_unreachable(answer) for answer in answers if answer.status is None]
    lines += _render_peers_only(statuses)
    return "\n".join(lines + _render_groups(groups, group_filter))


def _render_summary(
    statuses: list[status.EntryStatus],
    newest: status.EntryStatus,
    groups: list[status.GroupStatus],
) -> list[str]:
    status_by_data_centre = {entry.data_centre: entry for entry in statuses}
    wanted = sum(entry.wanted for entry in status_by_data_centre.values())
    complete = sum(_count_complete(groups, name) for name in status_by_data_centre)
    stranded = sorted({name for entry in status_by_data_centre.values() for name in entry.stranded})
    leaving = sorted({name for entry in statuses for name in entry.leaving_targets})
    downtime = sum(entry.downtime_seconds for entry in status_by_data_centre.values())
    stranded_seconds = sum(entry.stranded_seconds for entry in status_by_data_centre.values())
    return [
        f'generation {newest.generation}, preset "{newest.preset}"',
        f"groups: {complete} of {wanted} wanted are complete, down {downtime:.0f} s so far",
        f"idle accelerators: {len(stranded)}, stranded {stranded_seconds:.0f} s so far"
        + (f"  {' '.join(stranded[:8])}" if stranded else ""),
        f"leaving targets: {' '.join(leaving) or 'none'}",
    ]


def _render_entry(entry: status.EntryStatus, newest_generation: int) -> str:
    parts = [f"entry {entry.name} in {entry.data_centre}: generation {entry.generation}"]
    if entry.generation < newest_generation:
        parts.append("BEHIND")
    if 0 < entry.platform_generation < entry.generation:
        parts.append(f"the platform LOST CHANGES: it holds generation {entry.platform_generation}")
    if entry.token is not None:
        parts.append(f"holds the lease with token {entry.token}")
    if entry.leaving:
        parts.append("leaving")
    parts.append(f"{entry.active} in flight")
    parts.append(f"{len(entry.peers)} peers")
    parts.append(_render_age("platform", entry.platform_age_seconds))
    parts.append(_render_age("reports", entry.reports_age_seconds))
    return ", ".join(parts)


def _render_age(label: str, age: float | None) -> str:
    if age is None:
        return f"{label} never answered"
    if age > STALE_AFTER_SECONDS:
        return f"{label} NOT REACHED for {age:.0f} s"
    return f"{label} {age:.1f} s ago"


def _render_unreachable(answer: Answer) -> str:
    return f"entry at {answer.address}: NOT ASKED: {answer.problem}"


def _render_peers_only(statuses: list[status.EntryStatus]) -> list[str]:
    queried_names = {entry.name for entry in statuses}
    unqueried_peers = {
        peer.name: peer
        for entry in statuses
        for peer in entry.peers
        if peer.name not in queried_names
    }
    return [
        f"entry {name} in {peer.data_centre}: not asked; a peer heard generation "
        f"{peer.generation} {peer.age_seconds:.1f} s ago"
        for name, peer in sorted(unqueried_peers.items())
    ]


def _merge_groups(statuses: list[status.EntryStatus]) -> list[status.GroupStatus]:
    """Return every group once, as seen by an entry of its own data centre if one was queried."""
    merged: dict[str, status.GroupStatus] = {}
    for entry in sorted(statuses, key=lambda entry: entry.name):
        for group in entry.groups:
            if group.name not in merged or group.data_centre == entry.data_centre:
                merged[group.name] = group
    return [merged[name] for name in sorted(merged)]


def _render_groups(groups: list[status.GroupStatus], group_filter: GroupFilter) -> list[str]:
    chosen = [
        group
        for group in groups
        if (not group_filter.service or group.service == group_filter.service)
        and (not group_filter.data_centre or group.data_centre == group_filter.data_centre)
        and not (group_filter.incomplete and group.complete)
    ]
    lines = _render_counts(groups)
    lines += [_render_group(group) for group in chosen[: group_filter.max_groups]]
    hidden_count = len(chosen) - group_filter.max_groups
    if hidden_count > 0:
        lines.append(
            f"  ... and {hidden_count} more; --groups, --service, --incomplete show others"
        )
    return lines


def _render_counts(groups: list[status.GroupStatus]) -> list[str]:
    total = collections.Counter(group.service for group in groups)
    complete = collections.Counter(group.service for group in groups if group.complete)
    return [f"service {name}: {complete[name]} of {total[name]} complete" for name in sorted(total)]


def _render_group(group: status.GroupStatus) -> str:
    state = "complete" if group.complete else "INCOMPLETE"
    members = " ".join(group.members[:4]) + (" ..." if len(group.members) > 4 else "")
    return (
        f"  {group.name}  {group.version}  epoch {group.epoch}  {group.phase.value}  "
        f"{state}  {members}"
    )


def _count_complete(groups: list[status.GroupStatus], data_centre: str) -> int:
    return sum(group.complete and group.data_centre == data_centre for group in groups)
