"""Asks entries for their status and renders the answers."""

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
OLD_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class GroupFilter:
    """Which groups are listed; empty texts let every group pass.

    :ivar max_groups: most groups to list.
    """

    service: str
    data_centre: str
    incomplete: bool
    max_groups: int


class Answer(msgspec.Struct, frozen=True):
    """What one entry answered.

    :ivar problem: why there is no status, else empty.
    """

    address: str
    status: status.EntryStatus | None
    problem: str = ""


async def query_entries(where: abc.Sequence[addresses.Address]) -> list[Answer]:
    """Ask every entry at once.

    :raises failure.UserError: when none was named.
    """
    if not where:
        text = "no entry was named: give the IP:port of an entry's operators' address"
        raise failure.UserError(failure.Failure(codes.Code.BAD_REQUEST, text))
    answers: dict[addresses.Address, Answer] = {}

    async def ask(one: addresses.Address) -> None:
        answers[one] = await _ask(one)

    async with trio.open_nursery() as nursery:
        for one in where:
            nursery.start_soon(ask, one)
    return [answers[one] for one in where]


async def _ask(where: addresses.Address) -> Answer:
    req = message.Request("GET", "/status")
    try:
        response = await round_trip.send(tcp.make(), where, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
        found = msgspec.json.decode(response.body, type=status.EntryStatus)
    except (transport_error.TransportError, msgspec.DecodeError) as exc:
        return Answer(str(where), None, str(exc) or "no answer")
    return Answer(str(where), found)


def is_healthy(answers: list[Answer]) -> bool:
    """Whether every entry answered and sees its wanted groups complete."""
    return all(
        one.status is not None
        and one.status.generation > 0
        and _count_complete(one.status.groups, one.status.data_centre) >= one.status.wanted
        for one in answers
    )


def render(answers: list[Answer], shown: GroupFilter) -> str:
    """Return the summary, then the entries, then the groups that pass the filter."""
    found = [one.status for one in answers if one.status is not None]
    if not found:
        return "\n".join(_render_silent(one) for one in answers)
    newest = max(found, key=lambda one: one.generation)
    groups = _merge_groups(found)
    lines = _render_summary(found, newest, groups)
    lines += [_render_entry(one, newest.generation) for one in found]
    lines += [_render_silent(one) for one in answers if one.status is None]
    lines += _render_unasked(found)
    return "\n".join(lines + _render_groups(groups, shown))


def _render_summary(
    found: list[status.EntryStatus],
    newest: status.EntryStatus,
    groups: list[status.GroupStatus],
) -> list[str]:
    centres = {one.data_centre: one for one in found}
    wanted = sum(one.wanted for one in centres.values())
    complete = sum(_count_complete(groups, name) for name in centres)
    stranded = sorted({name for one in centres.values() for name in one.stranded})
    leaving = sorted({name for one in found for name in one.leaving_targets})
    downtime = sum(one.downtime_seconds for one in centres.values())
    waste = sum(one.stranded_seconds for one in centres.values())
    return [
        f'generation {newest.generation}, preset "{newest.preset}"',
        f"groups: {complete} of {wanted} wanted are complete, down {downtime:.0f} s so far",
        f"idle accelerators: {len(stranded)}, stranded {waste:.0f} s so far"
        + (f"  {' '.join(stranded[:8])}" if stranded else ""),
        f"leaving targets: {' '.join(leaving) or 'none'}",
    ]


def _render_entry(one: status.EntryStatus, newest: int) -> str:
    parts = [f"entry {one.name} in {one.data_centre}: generation {one.generation}"]
    if one.generation < newest:
        parts.append("BEHIND")
    if 0 < one.platform_generation < one.generation:
        parts.append(f"the platform LOST CHANGES: it holds generation {one.platform_generation}")
    if one.token is not None:
        parts.append(f"holds the lease with token {one.token}")
    if one.leaving:
        parts.append("leaving")
    parts.append(f"{one.active} in flight")
    parts.append(f"{len(one.peers)} peers")
    parts.append(_render_age("platform", one.platform_age_seconds))
    parts.append(_render_age("reports", one.reports_age_seconds))
    return ", ".join(parts)


def _render_age(what: str, age: float | None) -> str:
    if age is None:
        return f"{what} never answered"
    if age > OLD_SECONDS:
        return f"{what} NOT REACHED for {age:.0f} s"
    return f"{what} {age:.1f} s ago"


def _render_silent(one: Answer) -> str:
    return f"entry at {one.address}: NOT ASKED: {one.problem}"


def _render_unasked(found: list[status.EntryStatus]) -> list[str]:
    asked = {one.name for one in found}
    heard = {peer.name: peer for one in found for peer in one.peers if peer.name not in asked}
    return [
        f"entry {name} in {peer.data_centre}: not asked; a peer heard generation "
        f"{peer.generation} {peer.age_seconds:.1f} s ago"
        for name, peer in sorted(heard.items())
    ]


def _merge_groups(found: list[status.EntryStatus]) -> list[status.GroupStatus]:
    """Return every group once, as an entry of its own data centre sees it if one was asked."""
    merged: dict[str, status.GroupStatus] = {}
    for one in sorted(found, key=lambda one: one.name):
        for group in one.groups:
            if group.name not in merged or group.data_centre == one.data_centre:
                merged[group.name] = group
    return [merged[name] for name in sorted(merged)]


def _render_groups(groups: list[status.GroupStatus], shown: GroupFilter) -> list[str]:
    chosen = [
        one
        for one in groups
        if (not shown.service or one.service == shown.service)
        and (not shown.data_centre or one.data_centre == shown.data_centre)
        and not (shown.incomplete and one.complete)
    ]
    lines = _render_counts(groups)
    lines += [_render_group(one) for one in chosen[: shown.max_groups]]
    hidden = len(chosen) - shown.max_groups
    if hidden > 0:
        lines.append(f"  ... and {hidden} more; --groups, --service, --incomplete show others")
    return lines


def _render_counts(groups: list[status.GroupStatus]) -> list[str]:
    total = collections.Counter(one.service for one in groups)
    complete = collections.Counter(one.service for one in groups if one.complete)
    return [f"service {name}: {complete[name]} of {total[name]} complete" for name in sorted(total)]


def _render_group(one: status.GroupStatus) -> str:
    word = "complete" if one.complete else "INCOMPLETE"
    members = " ".join(one.members[:4]) + (" ..." if len(one.members) > 4 else "")
    return f"  {one.name}  {one.version}  epoch {one.epoch}  {one.phase.value}  {word}  {members}"


def _count_complete(groups: list[status.GroupStatus], data_centre: str) -> int:
    return sum(one.complete and one.data_centre == data_centre for one in groups)
