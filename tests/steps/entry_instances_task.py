"""Steps for polling the list of instances in a large simulated deployment."""

from __future__ import annotations

import msgspec
import simulate_deployment
import trio
from behave import then

from galenavane.store import instance

REMOTE_INSTANCES = 996
FOLLOW_SECONDS = 10.0


def run_in_large_deployment(scenario):
    """Run a scenario in a deployment with many instances in another data centre."""

    async def main(made):
        for number in range(REMOTE_INSTANCES):
            remote = instance.Instance(
                f"far-{number}", f"10.9.{number // 250}.{number % 250}:1", "kikuyu", "engine"
            )
            await made.register_instance(remote)
        await trio.sleep(FOLLOW_SECONDS)
        return await scenario(made, made.views["entry-0"])

    simulate_deployment.simulate(6, main)


@then("in a simulated deployment of 1005 instances an entry tracks only the 6 of its data centre")
def check_own_instances(context):
    async def scenario(made, view):
        assert view.is_large()
        engines = [listed for listed in view.instances.value if listed.kind is instance.Kind.ENGINE]
        assert len(engines) == 6, len(engines)
        answer = (await view.platform.list_instances("makole", 0)).ok
        again = (await view.platform.list_instances("makole", answer.version)).ok
        assert again.instances is None and len(answer.instances) < 20
        await simulate_deployment.wait_for_groups(made, 2)

    run_in_large_deployment(scenario)


@then("in a simulated deployment of 1005 instances an entry learns that a local one is leaving")
def check_leaving_instance(context):
    async def scenario(made, view):
        engine = next(listed for listed in view.instances.value if listed.name == "engine-0")
        leaving = msgspec.structs.replace(engine, state=instance.State.LEAVING)
        await made.register_instance(leaving)
        await trio.sleep(2.0)
        states = {listed.name: listed.state for listed in view.instances.value}
        assert states["engine-0"] is instance.State.LEAVING
        assert states["engine-1"] is instance.State.LIVE

    run_in_large_deployment(scenario)
