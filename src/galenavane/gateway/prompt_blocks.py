"""Blocks parts of prompts that crash targets, together with the other entries."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.fleet import replica_group
from galenavane.gateway import boot_clock, part_news, peer_message, peer_updates, settings
from galenavane.gateway import state as states
from galenavane.observe import events
from galenavane.route import prompt_suspects
from galenavane.serve import inbound_request

SHARES_PER_CONTACT = 3
"""How often blocked parts are sent within the time in which entries have to hear of a change, for
entries that have just started or were cut off."""
MAX_SHARED_PARTS = 32
MAX_AGE_SECONDS = 1e6
MAX_CLOCK_SLACK_SECONDS = 1.0
MIN_PREFILL_SHARE = 0.5
"""A head can't have begun to answer a request that it has had for less of the prefill time; targets
differ in speed."""
_REFUSE = prompt_suspects.Verdict.REFUSE


def name_parts(inbound: inbound_request.InboundRequest) -> tuple[str, ...]:
    """Return names of the prompt's parts; a part may crash the targets of one model only."""
    return tuple(f"{inbound.model}/{part}" for part in inbound.prompt_parts)


def decide(gw: states.Gateway, parts: abc.Sequence[str]) -> prompt_suspects.Decision:
    """Decide on a request by the names of the parts of its prompt."""
    return prompt_suspects.decide(gw.prompt_suspects, parts, trio.current_time())


async def hold(gw: states.Gateway, until: float) -> None:
    """Wait until something about suspected parts changes, or the time is over."""
    changed = gw.parts_changed
    with trio.move_on_at(until):
        await changed.wait()


def make_failure(decision: prompt_suspects.Decision) -> failure.Failure:
    """Return the failure for a refused request, without a time after which to repeat it."""
    return failure.Failure(
        codes.Code.PROMPT_BLOCKED,
        f"requests with part {', '.join(decision.parts)} of this prompt have crashed targets",
    )


def record_probe(gw: states.Gateway, parts: abc.Sequence[str]) -> None:
    """Record that a request with blocked parts is sent, and tell the other entries."""
    now = trio.current_time()
    probed = [part for part in parts if prompt_suspects.record_probe(gw.prompt_suspects, part, now)]
    if not probed:
        return
    events.log("part.probed", parts=",".join(probed))
    probes = [peer_message.PartProbe(part, 0.0) for part in probed]
    part_news.queue_own(gw, peer_message.SuspectParts(gw.name, [], probes))


def record_success(gw: states.Gateway, parts: abc.Sequence[str]) -> None:
    """Clear the parts of a request that succeeded, and tell the other entries what is news."""
    cleared = prompt_suspects.record_success(gw.prompt_suspects, parts, trio.current_time())
    if not cleared:
        return
    gw.note_parts_changed()
    events.log("part.cleared", parts=",".join(cleared), source=gw.name)
    part_news.queue_own(gw, _make_cleared(gw, dict.fromkeys(cleared, 0.0)))


def report_crash(
    gw: states.Gateway,
    key: replica_group.Key,
    waiting: abc.Iterable[states.WaitingRequest],
    crashed_at: float,
) -> None:
    """Suspect the parts of the requests that waited at a crashed head, and tell the others."""
    waited: dict[str, float] = {}
    for request in waiting:
        if crashed_at - request.sent_at < MIN_PREFILL_SHARE * request.prefill_seconds:
            continue
        for part in prompt_suspects.find_unproven(gw.prompt_suspects, request.parts, crashed_at):
            seconds = crashed_at - request.sent_at
            waited[part] = min(seconds, waited.get(part, seconds))
    age = trio.current_time() - crashed_at
    reporter = f"{gw.name}/{gw.incarnation}"
    reporter_at = boot_clock.now() - age
    crashes = [
        peer_message.PartCrash(part, key.name, key.epoch, age, seconds, reporter, reporter_at)
        for part, seconds in waited.items()
    ]
    _record_crashes(gw, crashes, gw.name, is_own=True)
    if crashes:
        part_news.queue_own(gw, peer_message.SuspectParts(gw.name, crashes, []))


def handle_suspects(gw: states.Gateway, report: peer_message.SuspectParts) -> None:
    """Take over another entry's crashes and probes, and pass on those that are news."""
    ages = [crash.age for crash in report.crashes] + [probe.age for probe in report.probes]
    if not _are_plausible(report.sender, ages):
        return
    now = trio.current_time()
    suspects = gw.prompt_suspects
    news = _record_crashes(gw, report.crashes, report.sender)
    probes = [
        probe
        for probe in report.probes
        if prompt_suspects.record_probe(suspects, probe.part, now - probe.age)
    ]
    if news or probes:
        forwarded = peer_message.SuspectParts(gw.name, news, probes)
        part_news.queue_forward(gw, forwarded, report.sender)
    disproved = {
        crash.part
        for crash in report.crashes
        if prompt_suspects.is_disproved(suspects, crash.part, now - crash.age)
    }
    sender = gw.peers.get(report.sender)
    if disproved and sender is not None:
        ages_by_part = {part: now - suspects.proven[part] for part in sorted(disproved)}
        cleared = _make_cleared(gw, ages_by_part)
        gw.transport.send(sender.address, peer_message.encode(cleared))


def _make_cleared(
    gw: states.Gateway, ages_by_part: abc.Mapping[str, float]
) -> peer_message.ClearedParts:
    parts = [peer_message.ClearedPart(part, age) for part, age in ages_by_part.items()]
    return peer_message.ClearedParts(gw.name, parts)


def handle_cleared(gw: states.Gateway, report: peer_message.ClearedParts) -> None:
    """Clear parts that succeeded at another entry, and pass on which of them were suspected."""
    if not _are_plausible(report.sender, [cleared.age for cleared in report.parts]):
        return
    now = trio.current_time()
    suspected = gw.prompt_suspects.suspected
    ages_by_part: dict[str, float] = {}
    for cleared in report.parts:
        suspicion = suspected.get(cleared.part)
        succeeded_at = now - cleared.age
        if suspicion is not None and suspicion.crashes[-1].at <= succeeded_at:
            prompt_suspects.record_success(gw.prompt_suspects, [cleared.part], succeeded_at)
            ages_by_part[cleared.part] = cleared.age
    if not ages_by_part:
        return
    gw.note_parts_changed()
    events.log("part.cleared", parts=",".join(ages_by_part), source=report.sender)
    part_news.queue_forward(gw, _make_cleared(gw, ages_by_part), report.sender)


def _are_plausible(sender: str, ages: abc.Sequence[float]) -> bool:
    """Whether all ages of a message are plausible; logs the message as damaged otherwise."""
    if all(-MAX_CLOCK_SLACK_SECONDS <= age <= MAX_AGE_SECONDS for age in ages):
        return True
    events.log("peer.damaged", peer=sender, text="an age is out of range")
    return False


def share(gw: states.Gateway) -> None:
    """Send the blocked parts to subscribers, if there are any and some time has passed."""
    now = trio.current_time()
    interval = gw.cfg.get(settings.CONTACT) / SHARES_PER_CONTACT
    if not gw.prompt_suspects.suspected or now - gw.blocks_shared_at < interval:
        return
    gw.blocks_shared_at = now
    message = _make_blocked_parts(gw, now)
    if message is not None:
        peer_updates.share_blocked_parts(gw, message)


def share_with(gw: states.Gateway, address: str) -> None:
    """Send the blocked parts, if there are any, to an entry that is heard for the first time."""
    message = _make_blocked_parts(gw, trio.current_time())
    if message is not None:
        gw.transport.send(address, peer_message.encode(message))


def _make_blocked_parts(gw: states.Gateway, now: float) -> peer_message.SuspectParts | None:
    if not gw.prompt_suspects.suspected:
        return None
    prompt_suspects.drop_expired(gw.prompt_suspects, now)
    blocked = prompt_suspects.find_blocked(gw.prompt_suspects)
    crashes = [
        _make_part_crash(part, crash, now)
        for part in blocked[-MAX_SHARED_PARTS:]
        for crash in gw.prompt_suspects.suspected[part].crashes
    ]
    return peer_message.SuspectParts(gw.name, crashes, []) if crashes else None


def _make_part_crash(part: str, crash: prompt_suspects.Crash, now: float) -> peer_message.PartCrash:
    return peer_message.PartCrash(
        part,
        crash.key.name,
        crash.key.epoch,
        now - crash.at,
        crash.waited_seconds,
        crash.reporter,
        crash.reporter_at,
    )


def _record_crashes(
    gw: states.Gateway,
    crashes: abc.Iterable[peer_message.PartCrash],
    source: str,
    is_own: bool = False,
) -> list[peer_message.PartCrash]:
    """Record crashes, and return those that were unknown."""
    now = trio.current_time()
    known_blocked = set(prompt_suspects.find_blocked(gw.prompt_suspects))
    news: list[peer_message.PartCrash] = []
    for part_crash in crashes:
        crash = prompt_suspects.Crash(
            replica_group.Key(part_crash.group, part_crash.epoch),
            now - part_crash.age,
            part_crash.waited_seconds,
            part_crash.reporter,
            part_crash.reporter_at,
        )
        jitter = gw.rng.random()
        if prompt_suspects.record_crash(
            gw.prompt_suspects, part_crash.part, crash, is_own, jitter, now
        ):
            news.append(part_crash)
            events.log(
                "part.suspected", part=part_crash.part, group=part_crash.group, source=source
            )
    if news:
        gw.note_parts_changed()
        blocked = set(prompt_suspects.find_blocked(gw.prompt_suspects)) - known_blocked
        _handle_blocked(gw, sorted(blocked))
    return news


def _handle_blocked(gw: states.Gateway, parts: abc.Sequence[str]) -> None:
    """Take back the waiting requests that would be refused now."""
    if not parts:
        return
    now = trio.current_time()
    gw.metrics.blocked_parts.add({}, len(parts))
    taken_back = 0
    for head_requests in gw.heads.values():
        for request_id, request in list(head_requests.waiting.items()):
            decision = prompt_suspects.decide(gw.prompt_suspects, request.parts, now)
            attempt = head_requests.attempts.get(request_id)
            if decision.verdict is _REFUSE and attempt is not None:
                attempt.cancel("a part of the prompt was blocked")
                taken_back += 1
    events.log("part.blocked", parts=",".join(parts), taken_back=taken_back)
