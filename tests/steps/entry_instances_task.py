"""Steps for the list of instances in a large deployment."""

from __future__ import annotations

import msgspec
import simulate_deployment
import trio
from behave import then

from galenavane.store import instance

OTHERS = 996
FOLLOW_SECONDS = 10.0


def in_large(scenario):
    """Run a scenario with many listed instances in another data centre."""

    async def main(made):
        for number in range(OTHERS):
            far = instance.Instance(
                f"far-{number}", f"10.9.{number // 250}.{number % 250}:1", "kikuyu", "engine"
            )
            await made.list_instance(far)
        await trio.sleep(FOLLOW_SECONDS)
        return await scenario(made, made.views["entry-0"])

    simulate_deployment.simulate(6, main)


@then("in a simulated deployment of 1005 instances an entry follows its own 6 and not the others")
def follow_own(context):
    async def scenario(made, view):
        assert view.is_large()
        engines = [one for one in view.instances.value if one.kind is instance.Kind.ENGINE]
        assert len(engines) == 6, len(engines)
        answer = (await view.platform.list_instances("makole", 0)).ok
        again = (await view.platform.list_instances("makole", answer.version)).ok
        assert again.instances is None and len(answer.instances) < 20
        await simulate_deployment.wait_complete(made, 2)

    in_large(scenario)


@then("in a simulated deployment of 1005 instances an entry learns that its own one is leaving")
def learn_leaving(context):
    async def scenario(made, view):
        own = next(one for one in view.instances.value if one.name == "engine-0")
        leaving = msgspec.structs.replace(own, state=instance.State.LEAVING)
        await made.list_instance(leaving)
        await trio.sleep(2.0)
        found = {one.name: one.state for one in view.instances.value}
        assert found["engine-0"] is instance.State.LEAVING
        assert found["engine-1"] is instance.State.LIVE

    in_large(scenario)
