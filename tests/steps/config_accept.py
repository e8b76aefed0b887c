"""Steps for the acceptance of configurations on a simulated platform with a virtual clock."""

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
from galenavane.simulate import deployment, virtual_clock
from galenavane.store import client

OPERATOR_COUNT = 4
CHANGES_PER_OPERATOR = 12


def run_on_platform(context, scenario, seed=1):
    """Run a scenario with a stand-in platform and the example declarations."""
    declared = declaration_files.read_folder(context.root / "examples" / "dodoma")

    async def main():
        async with trio.open_nursery() as nursery:
            simulated = deployment.Deployment(nursery, random.Random(seed))
            await simulated.start_platform()
            await scenario(
                simulated, client.make(simulated.operator, simulated.platform, 2.0), declared
            )
            nursery.cancel_scope.cancel()

    virtual_clock.run(main, seed)


async def run_change(simulated, platform, change, **options):
    """Run an operator's change; return its exit code, standard output and standard error."""
    stdout, stderr = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        try:
            exit_code = await configuration_change.apply_change(
                simulated.operator, platform, change, **options
            )
        except failure.UserError as exc:
            return 2, stdout.getvalue(), str(exc)
    return exit_code, stdout.getvalue(), stderr.getvalue()


async def read_head(platform):
    """Return the head that the platform holds."""
    return (await accept.read_current(platform)).ok.head


@then("of two concurrent changes one is accepted and the other reports the accepted one")
def check_concurrent_changes(context):
    async def scenario(simulated, platform, declared):
        await run_change(simulated, platform, changes.make_apply(declared, "ordinary"))
        base = (await accept.read_current(platform)).ok
        other = msgspec.structs.replace(declared, accounts=declared.accounts[1:])
        winner = await accept.accept(platform, base, other, "maintenance")
        assert winner.ok.generation == 2
        loser = await accept.accept(platform, base, declared, "maintenance")
        assert loser.error.code is code.Code.PLATFORM_CONFLICT

        async def change_after_another(platform, current):
            await accept.accept(platform, current, declared, "ordinary")
            return configuration_change.select_preset(other, "ordinary")

        exit_code, out, text = await run_change(simulated, platform, change_after_another)
        assert exit_code == 2
        assert 'generation 3, preset "ordinary", came first' in text, text
        assert "  ~ preset in force: maintenance -> ordinary" in out, out
        assert f"  + account {declared.accounts[0].name}" in out, out

    run_on_platform(context, scenario)


@then("accepting the same declarations twice keeps the generation")
def check_repeated_apply(context):
    async def scenario(simulated, platform, declared):
        change = changes.make_apply(declared, "ordinary")
        assert (await run_change(simulated, platform, change, is_dry_run=True))[0] == 1
        assert await read_head(platform) is None
        _, out, _ = await run_change(simulated, platform, change)
        assert "+ service scribe-model" in out and "accepted: generation 1" in out, out
        first = await read_head(platform)
        exit_code, out, _ = await run_change(simulated, platform, change)
        assert (exit_code, await read_head(platform)) == (0, first)
        assert out.startswith("no change\nin force: generation 1"), out
        assert (await run_change(simulated, platform, change, is_dry_run=True))[0] == 0

    run_on_platform(context, scenario)


@then("accepting a rollback to generation 1 gives generation 3 with the preset of generation 1")
def check_rollback(context):
    async def scenario(simulated, platform, declared):
        await run_change(simulated, platform, changes.make_apply(declared, "ordinary"))
        await run_change(simulated, platform, changes.make_preset_switch("maintenance"))
        exit_code, out, _ = await run_change(simulated, platform, changes.make_rollback(1))
        assert exit_code == 0 and "~ preset in force: maintenance -> ordinary" in out, out
        head = await read_head(platform)
        assert (head.generation, head.preset) == (3, "ordinary")

    run_on_platform(context, scenario)


@then('accepting a rollback to generation {number:d} is refused with "{text}"')
def check_refused_rollback(context, number, text):
    async def scenario(simulated, platform, declared):
        await run_change(simulated, platform, changes.make_apply(declared, "ordinary"))
        exit_code, _, error = await run_change(simulated, platform, changes.make_rollback(number))
        assert exit_code == 2 and text in error, error

    run_on_platform(context, scenario)


@then("a change after the platform lost generations in force on entries gets a higher generation")
def check_change_after_loss(context):
    async def scenario(simulated, platform, declared):
        change = changes.make_apply(declared, "ordinary")
        await run_change(simulated, platform, change)
        operators_address = address.Address("10.9.9.9", 8001)

        async def handle(exchange: http_server.Exchange) -> None:
            await exchange.respond(
                message.json_response(200, configuration_status.ConfigurationStatus(9, "w", "peak"))
            )

        await simulated.nursery.start(simulated.operator.listen, operators_address, handle)
        registered = registration.Registration(
            "e", "i", "makole", "10.9.9.9:8002", str(operators_address)
        )
        await platform.put(registration.key("e"), registration.encode(registered), 0)
        exit_code, out, error = await run_change(simulated, platform, change)
        assert exit_code == 0 and "accepted: generation 10" in out, out
        assert "it lost accepted changes" in error, error

    run_on_platform(context, scenario)


@then("accepting a section over 1 MB is refused in one line and writes nothing")
def check_oversized_section(context):
    async def scenario(simulated, platform, declared):
        models = [msgspec.structs.replace(declared.models[0], adapters=["a" * 1_100_000])]
        large = msgspec.structs.replace(declared, models=models)
        exit_code, _, error = await run_change(
            simulated, platform, changes.make_apply(large, "ordinary")
        )
        assert exit_code == 2 and error.startswith('section "models" has 1100'), error
        assert (await platform.list_objects("config/")).ok.objects == []

    run_on_platform(context, scenario)


@then('a change based on a damaged section is refused with "{text}"')
def check_damaged_section(context, text):
    async def scenario(simulated, platform, declared):
        await run_change(simulated, platform, changes.make_apply(declared, "ordinary"))
        head = await read_head(platform)
        await platform.put(heads.make_section_key(head.sections["runs"]), "[]", None)
        exit_code, _, error = await run_change(
            simulated, platform, changes.make_preset_switch("maintenance")
        )
        assert exit_code == 2 and text in error, error

    run_on_platform(context, scenario)


@then("accepting a preset that needs more instances than are live warns")
def check_shortage_warning(context):
    async def scenario(simulated, platform, declared):
        await simulated.start_engine("engine-1", "makole", "domain-1")
        _, _, error = await run_change(
            simulated, platform, changes.make_apply(declared, "ordinary")
        )
        assert 'preset "ordinary" needs 4 instances in makole, 1 are live' in error, error

    run_on_platform(context, scenario)


class UnreliablePlatform:
    """A platform client that randomly loses writes or responses, or delays a lost write."""

    def __init__(self, simulated, platform, rng):
        self.simulated = simulated
        self.platform = platform
        self.rng = rng

    def __getattr__(self, name):
        return getattr(self.platform, name)

    async def put(self, key, value, if_version):
        fault = self.rng.choice(["", "", "answer", "late", "never"])
        if fault == "never":
            return make_lost_failure(key)
        if fault == "late":
            self.simulated.nursery.start_soon(self.put_later, key, value, if_version)
            return make_lost_failure(key)
        written = await self.platform.put(key, value, if_version)
        return make_lost_failure(key) if fault == "answer" else written

    async def put_later(self, key, value, if_version):
        await trio.sleep(self.rng.uniform(0, 3))
        await self.platform.put(key, value, if_version)


def make_lost_failure(key):
    """Return the result of a write whose outcome the client does not know."""
    return expression.Error(failure.Failure(code.Code.PLATFORM_UNKNOWN, f"{key}: lost"))


@then("random concurrent changes with seed {seed:d} lose no accepted change and get true answers")
def check_random_changes(context, seed):
    rng = random.Random(seed)
    accepted, refused = {}, []

    async def operate(simulated, platform, declared, name):
        unreliable = UnreliablePlatform(simulated, platform, rng)
        for number in range(CHANGES_PER_OPERATOR):
            await trio.sleep(rng.uniform(0, 2))
            base = await accept.read_current(unreliable)
            account = msgspec.structs.replace(declared.accounts[0], name=f"{name}-{number}")
            new_declared = msgspec.structs.replace(declared, accounts=[account])
            preset = rng.choice(["ordinary", "maintenance"])
            result = await accept.accept(unreliable, base.ok, new_declared, preset)
            if result.is_ok():
                assert result.ok.generation not in accepted, "two acceptances of one generation"
                accepted[result.ok.generation] = (result.ok.writer, account.name, preset)
            elif result.error.code is code.Code.PLATFORM_CONFLICT:
                refused.append(account.name)

    async def scenario(simulated, platform, declared):
        async with trio.open_nursery() as nursery:
            for number in range(OPERATOR_COUNT):
                nursery.start_soon(operate, simulated, platform, declared, f"operator-{number}")
        await trio.sleep(10)
        last_head = await read_head(platform)
        assert last_head.generation == len(accepted) and refused, (
            last_head,
            len(accepted),
            refused,
        )
        for generation, (writer, name, preset) in accepted.items():
            earlier = await accept.read_generation(platform, generation)
            if generation == last_head.generation:
                earlier = await accept.read_current(platform)
            assert (earlier.ok.head.writer, earlier.ok.head.preset) == (writer, preset)
            assert [account.name for account in earlier.ok.declared.accounts] == [name]
            assert name not in refused

    run_on_platform(context, scenario, seed)
