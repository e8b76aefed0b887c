"""Steps for configurations that change while requests are being served."""

from __future__ import annotations

import copy
import itertools

import trio
from behave import then, when
from steps import gateway_unframed, gateway_whole_path

plan_step = gateway_whole_path.plan_step


def _find_route(spec, path):
    return next(route for route in spec["routes"] if path.startswith(route["path_prefix"]))


def _move_route(spec, path):
    route = _find_route(spec, path)
    route["backend"] = "desk" if route["backend"] == "llm" else "llm"


def _remove_route(spec, path):
    spec["routes"].remove(_find_route(spec, path))


def _remove_service(spec, path):
    name = _find_route(spec, path)["backend"]
    spec["routes"] = [route for route in spec["routes"] if route["backend"] != name]
    spec["services"] = [service for service in spec["services"] if service["name"] != name]


def _remove_key(spec, path):
    spec["tenants"] = [{"name": "acme", "api_keys": ["another"]}]


CHANGES = {
    "moves its route to another service": _move_route,
    "removes its route": _remove_route,
    "removes its service": _remove_service,
    "removes its key": _remove_key,
}


def publish(world, change, path):
    """Write a configuration with a change of what serves a path to the store."""
    spec = copy.deepcopy(world.store.objects["config"]["main"]["spec"])
    CHANGES[change](spec, path)
    world.version += 1
    spec["version"] = world.version
    world.store.put("config", "main", spec)


@when("the configuration {change} after {count:d} events")
def change_during_stream(context, change, count):
    context.event_times = []

    def action(world, seen):
        context.event_times.append(trio.current_time())
        if seen >= count and not getattr(world, "is_changed", False):
            world.is_changed = True
            publish(world, change, "/model/x")

    context.event_actions.append(action)


@then("the events came without a pause of more than {seconds:d} s")
def check_pauses(context, seconds):
    @plan_step(context)
    async def step(world):
        times = context.event_times
        pauses = [later - earlier for earlier, later in itertools.pairwise(times)]
        assert max(pauses) <= seconds, max(pauses)
        assert world.entry.config_state.version == world.version, "the change is not in force"


@when("targets of the plain service answer after {seconds:d} s, and {fault}")
def delay_answers(context, seconds, fault):
    @plan_step(context)
    async def step(world):
        world.plain_seconds = seconds
        world.plain_fault = {"none fails": "", "the first one fails": "once"}[fault]


@when("a client sends {request}, and the configuration {change} meanwhile")
def change_during_call(context, request, change):
    @plan_step(context)
    async def step(world):
        path, events, method = gateway_unframed.REQUESTS[request]

        async def call():
            world.answer = await world.call(path, events, method)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not world.arrivals:
                await trio.sleep(0.01)
            publish(world, change, path)
        assert world.entry.config_state.version == world.version, "the change is not in force"
