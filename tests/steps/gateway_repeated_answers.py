"""Steps for targets that write an earlier answer once more."""

from __future__ import annotations

import msgspec
import trio
from behave import then, when
from steps import fleet_target_registry, gateway_whole_path, platform_world

from galenavane.control import controller_state, group_command
from galenavane.fleet import replica_group
from galenavane.gateway import command_sender
from galenavane.net import address, message, tcp

plan_step = gateway_whole_path.plan_step
PAUSE_SECONDS = 0.05
GROUP = {"name": "g", "epoch": 9, "rank": 0, "state": "ready"}


class RepeatingTarget:
    """A target that gives prepared answers, and writes each one twice on a kept connection."""

    def __init__(self, world, when_repeated):
        self.world = world
        self.when_repeated = when_repeated
        self.answers = []
        self.earlier = {}
        self.requests = 0

    async def handle(self, exchange):
        """Handle one request."""
        self.requests += 1
        conn = exchange.conn
        if self.when_repeated == "when it has read the next request" and conn in self.earlier:
            await conn.stream.send_all(self.earlier[conn])
            await trio.sleep(PAUSE_SECONDS)
        status, body = self.answers.pop(0)
        head = b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        self.earlier[conn] = head + body
        await exchange.respond(message.Response(status, body=body))
        if self.when_repeated == "at once":
            await conn.stream.send_all(self.earlier[conn])
        elif self.when_repeated == "before it reads the next request":
            await trio.sleep(PAUSE_SECONDS)
            await conn.stream.send_all(self.earlier[conn])


@when("a target writes its earlier answer once more {time}")
def start_target(context, time):
    @plan_step(context)
    async def step(world):
        world.repeating = RepeatingTarget(world, time)
        bound = await world.nursery.start(
            tcp.make().listen, address.Address(platform_world.HOST, 0), world.repeating.handle
        )
        listed = fleet_target_registry.make_target("repeating")
        world.listed = msgspec.structs.replace(listed, address=bound)
        world.command_state = controller_state.ControllerState(world.entry.control.token)


def make_report(count, group):
    """Return a report as it is sent on the platform's wire."""
    report = {"sequence": count, "group": group, "born": 1}
    return 200, msgspec.json.encode(report)


@when("it answers the command to leave the group of epoch {epoch:d} with status {status:d}")
def command_leave(context, epoch, status):
    @plan_step(context)
    async def step(world):
        world.repeating.answers = [(status, b"{}")]
        leave = group_command.Leave(world.listed, replica_group.Key("g", epoch))
        control = world.entry.control
        await command_sender.send(world.entry, control, world.command_state, leave)
        await trio.sleep(2 * PAUSE_SECONDS)
        assert not world.repeating.answers, "the command was not sent"


@when("it answers a report of {count:d} commands and no group")
def report_free(context, count):
    @plan_step(context)
    async def step(world):
        world.repeating.answers = [make_report(count, None)]
        report = await command_sender.read_report(world.entry, world.listed)
        assert report.command_count == count


@then("it is known to have left the group of epoch {epoch:d} at most")
def check_left(context, epoch):
    @plan_step(context)
    async def step(world):
        history = controller_state.find_join_history(world.command_state, world.listed)
        assert history.left_epoch == epoch, history
        assert world.repeating.requests == 2, world.repeating.requests


@then("its next report is that of {count:d} commands and a group")
def check_report(context, count):
    @plan_step(context)
    async def step(world):
        world.repeating.answers = [make_report(count, GROUP)]
        report = await command_sender.read_report(world.entry, world.listed)
        assert report.command_count == count and report.target.membership is not None, report
