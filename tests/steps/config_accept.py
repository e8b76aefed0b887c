"""Steps for acceptance, against the stand-in platform on a virtual clock."""

from __future__ import annotations

import contextlib
import io
import random

import expression
import msgspec
import trio
from behave import then

from galenavane.cli import changes, configuration_change
from galenavane.config import accept, declaration_files
from galenavane.config import head as heads
from galenavane.entry import configuration_status
from galenavane.failure import code, failure
from galenavane.net import address, http_server, message
from galenavane.peer import registration
from galenavane.simulate import clock, deployment
from galenavane.store import client

OPERATORS = 4
CHANGES = 12


def on_platform(context, scenario, seed=1):
    """Run a scenario with a stand-in platform and the example declarations."""
    declared = declaration_files.read_folder(context.root / "examples" / "dodoma")

    async def main():
        async with trio.open_nursery() as nursery:
            made = deployment.Deployment(nursery, random.Random(seed))
            await made.start_platform()
            await scenario(made, client.make(made.operator, made.platform, 2.0), declared)
            nursery.cancel_scope.cancel()

    clock.run(main, seed)


async def change(made, platform, wish, **options):
    """Run an operator's command; return its exit code and what it prints."""
    stdout, stderr = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        try:
            exit_code = await configuration_change.apply_change(
                made.operator, platform, wish, **options
            )
        except failure.UserError as exc:
            return 2, stdout.getvalue(), str(exc)
    return exit_code, stdout.getvalue(), stderr.getvalue()


async def read_head(platform):
    """Return the head that the platform holds."""
    return (await accept.read_current(platform)).ok.head


@then("accepting with two operators at once gives one winner and names the winner's change")
def race_two(context):
    async def scenario(made, platform, declared):
        await change(made, platform, changes.make_apply(declared, "ordinary"))
        base = (await accept.read_current(platform)).ok
        other = msgspec.structs.replace(declared, accounts=declared.accounts[1:])
        won = await accept.accept(platform, base, other, "maintenance")
        assert won.ok.generation == 2
        lost = await accept.accept(platform, base, declared, "maintenance")
        assert lost.error.code is code.Code.PLATFORM_CONFLICT

        async def late(platform, current):
            await accept.accept(platform, current, declared, "ordinary")
            return configuration_change.select_preset(other, "ordinary")

        exit_code, out, text = await change(made, platform, late)
        assert exit_code == 2
        assert 'generation 3, preset "ordinary", came first' in text, text
        assert "  ~ preset in force: maintenance -> ordinary" in out, out
        assert f"  + account {declared.accounts[0].name}" in out, out

    on_platform(context, scenario)


@then("accepting the same declarations twice leaves the generation")
def apply_twice(context):
    async def scenario(made, platform, declared):
        wish = changes.make_apply(declared, "ordinary")
        assert (await change(made, platform, wish, is_dry_run=True))[0] == 1
        assert await read_head(platform) is None
        _, out, _ = await change(made, platform, wish)
        assert "+ service scribe-model" in out and "accepted: generation 1" in out, out
        first = await read_head(platform)
        exit_code, out, _ = await change(made, platform, wish)
        assert (exit_code, await read_head(platform)) == (0, first)
        assert out.startswith("no change\nin force: generation 1"), out
        assert (await change(made, platform, wish, is_dry_run=True))[0] == 0

    on_platform(context, scenario)


@then("accepting a rollback to generation 1 gives generation 3 with the preset of generation 1")
def roll_back(context):
    async def scenario(made, platform, declared):
        await change(made, platform, changes.make_apply(declared, "ordinary"))
        await change(made, platform, changes.make_preset_switch("maintenance"))
        exit_code, out, _ = await change(made, platform, changes.make_rollback(1))
        assert exit_code == 0 and "~ preset in force: maintenance -> ordinary" in out, out
        head = await read_head(platform)
        assert (head.generation, head.preset) == (3, "ordinary")

    on_platform(context, scenario)


@then('accepting a rollback to generation {number:d} is refused with "{text}"')
def refuse_roll_back(context, number, text):
    async def scenario(made, platform, declared):
        await change(made, platform, changes.make_apply(declared, "ordinary"))
        exit_code, _, error = await change(made, platform, changes.make_rollback(number))
        assert exit_code == 2 and text in error, error

    on_platform(context, scenario)


@then("accepting after the platform lost generations that entries have takes a higher one")
def outlive_loss(context):
    async def scenario(made, platform, declared):
        wish = changes.make_apply(declared, "ordinary")
        await change(made, platform, wish)
        where = address.Address("10.9.9.9", 8001)

        async def handle(exchange: http_server.Exchange) -> None:
            await exchange.respond(
                message.json_response(200, configuration_status.ConfigurationStatus(9, "w", "peak"))
            )

        await made.nursery.start(made.operator.listen, where, handle)
        found = registration.Registration("e", "i", "makole", "10.9.9.9:8002", str(where))
        await platform.put(registration.key("e"), registration.encode(found), 0)
        exit_code, out, error = await change(made, platform, wish)
        assert exit_code == 0 and "accepted: generation 10" in out, out
        assert "it lost accepted changes" in error, error

    on_platform(context, scenario)


@then("accepting a section over 1 MB is refused in one line and writes nothing")
def refuse_large(context):
    async def scenario(made, platform, declared):
        models = [msgspec.structs.replace(declared.models[0], adapters=["a" * 1_100_000])]
        large = msgspec.structs.replace(declared, models=models)
        exit_code, _, error = await change(made, platform, changes.make_apply(large, "ordinary"))
        assert exit_code == 2 and error.startswith('section "models" has 1100'), error
        assert (await platform.list_objects("config/")).ok.objects == []

    on_platform(context, scenario)


@then('accepting on top of a damaged section is refused with "{text}"')
def refuse_damaged(context, text):
    async def scenario(made, platform, declared):
        await change(made, platform, changes.make_apply(declared, "ordinary"))
        head = await read_head(platform)
        await platform.put(heads.make_section_key(head.sections["runs"]), "[]", None)
        exit_code, _, error = await change(
            made, platform, changes.make_preset_switch("maintenance")
        )
        assert exit_code == 2 and text in error, error

    on_platform(context, scenario)


@then("accepting a preset that needs more instances than are live warns")
def warn_capacity(context):
    async def scenario(made, platform, declared):
        await made.start_engine("engine-1", "makole", "domain-1")
        _, _, error = await change(made, platform, changes.make_apply(declared, "ordinary"))
        assert 'preset "ordinary" needs 4 instances in makole, 1 are live' in error, error

    on_platform(context, scenario)


class Flaky:
    """A platform client whose writes are at times lost, before, after or long before they act."""

    def __init__(self, made, platform, rng):
        self.made = made
        self.platform = platform
        self.rng = rng

    def __getattr__(self, name):
        return getattr(self.platform, name)

    async def put(self, key, value, if_version):
        fault = self.rng.choice(["", "", "answer", "late", "never"])
        if fault == "never":
            return lost(key)
        if fault == "late":
            self.made.nursery.start_soon(self.put_late, key, value, if_version)
            return lost(key)
        written = await self.platform.put(key, value, if_version)
        return lost(key) if fault == "answer" else written

    async def put_late(self, key, value, if_version):
        await trio.sleep(self.rng.uniform(0, 3))
        await self.platform.put(key, value, if_version)


def lost(key):
    """Return what a client answers when it does not know."""
    return expression.Error(failure.Failure(code.Code.PLATFORM_UNKNOWN, f"{key}: lost"))


@then("accepting at random with seed {seed:d} loses no accepted change and answers truly")
def race_at_random(context, seed):
    rng = random.Random(seed)
    accepted, refused = {}, []

    async def operate(made, platform, declared, name):
        flaky = Flaky(made, platform, rng)
        for number in range(CHANGES):
            await trio.sleep(rng.uniform(0, 2))
            base = await accept.read_current(flaky)
            account = msgspec.structs.replace(declared.accounts[0], name=f"{name}-{number}")
            wish = msgspec.structs.replace(declared, accounts=[account])
            preset = rng.choice(["ordinary", "maintenance"])
            done = await accept.accept(flaky, base.ok, wish, preset)
            if done.is_ok():
                assert done.ok.generation not in accepted, "two acceptances of one generation"
                accepted[done.ok.generation] = (done.ok.writer, account.name, preset)
            elif done.error.code is code.Code.PLATFORM_CONFLICT:
                refused.append(account.name)

    async def scenario(made, platform, declared):
        async with trio.open_nursery() as nursery:
            for number in range(OPERATORS):
                nursery.start_soon(operate, made, platform, declared, f"operator-{number}")
        await trio.sleep(10)
        last = await read_head(platform)
        assert last.generation == len(accepted) and refused, (last, len(accepted), refused)
        for number, (writer, name, preset) in accepted.items():
            found = await accept.read_generation(platform, number)
            if number == last.generation:
                found = await accept.read_current(platform)
            assert (found.ok.head.writer, found.ok.head.preset) == (writer, preset)
            assert [one.name for one in found.ok.declared.accounts] == [name]
            assert name not in refused

    on_platform(context, scenario, seed)
