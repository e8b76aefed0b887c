"""Steps for parts of prompts that entries block together; they run with the last one."""

from __future__ import annotations

import itertools
import math
import random

import trio
from behave import given, then, when

from galenavane.config import settings as settings_files
from galenavane.fleet import replica_group
from galenavane.gateway import (
    boot_clock,
    part_news,
    peer_message,
    peers,
    peers_task,
    prompt_blocks,
    settings,
    state,
)
from galenavane.route import prompt_suspects

CONTACT_SECONDS = 3.0
PART_NEWS = (peer_message.SuspectParts, peer_message.ClearedParts)
Verdict = prompt_suspects.Verdict


class Transport:
    """Delivers messages in memory, except to and from entries that are cut off."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.sender, self.receiver = trio.open_memory_channel(math.inf)
        network.transports[address] = self

    def send(self, address, data):
        """Send a message to an address."""
        if isinstance(peer_message.decode(data), PART_NEWS):
            self.network.news += 1
        other = self.network.transports.get(address)
        if other and not {address, self.address} & self.network.cut_off:
            other.sender.send_nowait(data)

    async def receive(self):
        """Return the next message."""
        return await self.receiver.receive()


class Network:
    """Entries that exchange messages in memory."""

    def __init__(self, nursery, folder, block_seconds):
        self.nursery = nursery
        self.folder = folder
        self.block_seconds = block_seconds
        self.transports = {}
        self.entries = []
        self.cut_off = set()
        self.news = 0
        self.groups = itertools.count(1)

    def start_entry(self):
        """Start an entry that knows those that were started before it."""
        number = len(self.entries) + 1
        address = f"10.0.0.{number}:7"
        path = self.folder / f"e{number}.ini"
        path.write_text(
            f"[entry]\nname = e{number}\ndata_centre = dc{number % 3}\nhost = 10.0.0.{number}\n"
            "bandwidth = 1\npeer_port = 7\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
            "[store]\naddress = 127.0.0.1:3\n"
            f"[bounds]\ncontact = {CONTACT_SECONDS}\nprompt_block = {self.block_seconds}\n"
        )
        cfg = settings_files.load(path, settings.ALL)
        rng = random.Random(number)
        gateway = state.Gateway(cfg, "x", None, None, None, Transport(self, address), rng)
        for other in self.entries:
            self.introduce(gateway, other)
        self.entries.append(gateway)
        self.nursery.start_soon(peers_task.run_heartbeats, gateway)
        self.nursery.start_soon(peers_task.run_receiving, gateway)
        self.nursery.start_soon(part_news.run, gateway)

    def introduce(self, gateway, other):
        """Let an entry know another one as if it had read its address from the store."""
        other_address = peers_task.own_address(other)
        gateway.peers[other.name] = peers.make_peer(
            other.name, other_address, other.data_centre, 1.0, boot_clock.now()
        )

    def decide(self, part):
        """Return the verdict of each entry on a request with one part."""
        return [prompt_blocks.decide(entry, (part,)).verdict for entry in self.entries]


def plan_step(context):
    """Return a decorator that adds a function to the collected steps."""
    return context.planned_steps.append


@given("{count:d} entries in 3 data centres that block a part for {seconds:d} s")
def plan_entries(context, count, seconds):
    context.planned_steps = []
    context.block_seconds = seconds

    @plan_step(context)
    async def step(network):
        for _ in range(count):
            network.start_entry()
        for one, other in itertools.permutations(network.entries, 2):
            network.introduce(one, other)
        await trio.sleep(0.6)
        network.news = 0


@then("all these steps hold")
def run_steps(context):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                network = Network(nursery, context.folder, context.block_seconds)
                for step in context.planned_steps:
                    await step(network)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def crash(network, entry, part, prefill_seconds=0.0):
    """Let a request that is sent now wait at a crash."""
    sent_at = trio.current_time()
    await trio.sleep(0.03)
    key = replica_group.Key("g", next(network.groups))
    waiting = [state.WaitingRequest((part,), 100, sent_at, prefill_seconds)]
    prompt_blocks.report_crash(network.entries[entry - 1], key, waiting, trio.current_time())
    await trio.sleep(0.05)


@when('a request with part "{part}" waits at crashes of {count:d} groups at entry {entry:d}')
def crash_groups(context, part, count, entry):
    @plan_step(context)
    async def step(network):
        for _ in range(count):
            await crash(network, entry, part)


@when(
    'a request with part "{part}" and a prefill of {seconds:g} s waits at crashes of {count:d} '
    "groups at entry {entry:d}"
)
def crash_unread(context, part, seconds, count, entry):
    @plan_step(context)
    async def step(network):
        for _ in range(count):
            await crash(network, entry, part, seconds)


@when('a request with part "{part}" waits at a crash of a group at entry {entry:d}')
def crash_group(context, part, entry):
    crash_groups(context, part, 1, entry)


@when('a request with part "{part}" succeeds at entry {entry:d}')
def succeed(context, part, entry):
    @plan_step(context)
    async def step(network):
        prompt_blocks.record_success(network.entries[entry - 1], (part,))


@when("another entry starts")
def start_entry(context):
    @plan_step(context)
    async def step(network):
        network.start_entry()


@when("entry {entry:d} is cut off")
def cut_off(context, entry):
    @plan_step(context)
    async def step(network):
        network.cut_off.add(f"10.0.0.{entry}:7")


@when("entry {entry:d} is connected again")
def connect(context, entry):
    @plan_step(context)
    async def step(network):
        network.cut_off.clear()


@when("{seconds:g} s go by in all entries")
def pass_time(context, seconds):
    @plan_step(context)
    async def step(network):
        await trio.sleep(seconds)


@when('entry {entry:d} sends a probe of part "{part}"')
def send_probe(context, entry, part):
    @plan_step(context)
    async def step(network):
        assert network.decide(part)[entry - 1] is Verdict.PROBE, network.decide(part)
        prompt_blocks.record_probe(network.entries[entry - 1], (part,))


@then('within {seconds:g} s every entry refuses part "{part}"')
def check_refused(context, seconds, part):
    check_verdict(context, seconds, part, Verdict.REFUSE)


@then('within {seconds:g} s every entry admits part "{part}"')
def check_admitted(context, seconds, part):
    check_verdict(context, seconds, part, Verdict.ADMIT)


def check_verdict(context, seconds, part, verdict):
    """Expect a verdict of all entries within some time."""

    @plan_step(context)
    async def step(network):
        with trio.move_on_after(seconds):
            while set(network.decide(part)) != {verdict}:
                await trio.sleep(0.01)
        assert set(network.decide(part)) == {verdict}, network.decide(part)


@then("at most {count:d} messages about parts were sent")
def check_news(context, count):
    @plan_step(context)
    async def step(network):
        assert 8 <= network.news <= count, network.news


@when('entry {entry:d} gets the news that part "{part}" waited at 2 crashes {age} s ago')
def send_news(context, entry, part, age):
    @plan_step(context)
    async def step(network):
        crashes = [
            peer_message.PartCrash(part, f"g{n}", n, float(age), 0.0, f"x{n}", 0.0) for n in (1, 2)
        ]
        news = peer_message.SuspectParts("other", crashes, [])
        prompt_blocks.handle_suspects(network.entries[entry - 1], news)


@when(
    "at each entry a request with a part of its own waits at one of {count:d} heads that are lost "
    "at once"
)
def lose_heads(context, count):
    @plan_step(context)
    async def step(network):
        now = trio.current_time()
        for number, entry in enumerate(network.entries):
            key = replica_group.Key("lost", number % count)
            waiting = [state.WaitingRequest((f"part{number}",), 100, now - 0.2, 0.0)]
            prompt_blocks.report_crash(entry, key, waiting, now)


@then("at most {count:d} messages about parts for each entry are sent within {seconds:g} s")
def check_growth(context, count, seconds):
    @plan_step(context)
    async def step(network):
        await trio.sleep(seconds)
        assert network.news <= count * len(network.entries), network.news
