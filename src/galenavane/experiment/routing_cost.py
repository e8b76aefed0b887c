"""Cost of a routing decision and its state; ``python -m galenavane.experiment.routing_cost``."""

from __future__ import annotations

import random
import time
import tracemalloc

from galenavane.config import declaration
from galenavane.experiment import workload
from galenavane.route import decision, group_report, pool, router
from galenavane.route import grant as grants
from galenavane.route import state as states
from galenavane.target import report

POOL = pool.Pool("scribe-model", "scribe", "1")
NEAR_AND_FAR = ((14, 0), (65, 0), (460, 0), (2_000, 0), (12_000, 0), (460, 11_540))
REQUESTS = 1_000
UPDATES = 20
CAPACITY = 32
FAR_SECONDS = 0.02
NO_LIMIT = 1e12


def main() -> None:
    """Print the table."""
    print("| groups near | far | µs a request | µs a round of reports | state MB |")
    print("| --- | --- | --- | --- | --- |")
    for near, far in NEAR_AND_FAR:
        _, seconds, update_seconds = _measure(near, far)
        memory = _measure_memory(near, far)
        print(
            f"| {near} | {far} | {1e6 * seconds:.0f} | {1e6 * update_seconds:.0f} | "
            f"{memory / 1e6:.1f} |",
            flush=True,
        )


def _make_facts(near: int, far: int, as_of: float) -> list[group_report.GroupReport]:
    load = report.Load(running=16, capacity=CAPACITY)
    return [
        group_report.GroupReport(
            f"group-{number}",
            f"instance-{number}",
            "10.0.0.1:8000",
            1,
            POOL,
            load,
            as_of,
            frozenset(),
            0.0 if number < near else FAR_SECONDS,
            NO_LIMIT,
        )
        for number in range(near + far)
    ]


def _measure(near: int, far: int) -> tuple[states.State, float, float]:
    """Return the state and the processor seconds of one request and one round of reports."""
    rng = random.Random(1)
    router_state = states.State()
    router.update_groups(router_state, _make_facts(near, far, 0.0), 0.0)
    account = declaration.Account("a", "", NO_LIMIT, NO_LIMIT)
    found = list(workload.generate(300.0, REQUESTS / 300.0 + 1.0, 1, rng))[:REQUESTS]
    started = time.process_time()
    for req in found:
        _serve_one(router_state, req, account, rng)
    seconds = (time.process_time() - started) / len(found)
    rounds = [_make_facts(near, far, 20.0 + number) for number in range(UPDATES)]
    started = time.process_time()
    for number, facts in enumerate(rounds):
        router.update_groups(router_state, facts, 21.0 + number)
    return router_state, seconds, (time.process_time() - started) / UPDATES


def _serve_one(
    router_state: states.State,
    req: workload.Request,
    account: declaration.Account,
    rng: random.Random,
) -> None:
    ask = grants.RoutingRequest(
        str(req.number),
        "a",
        POOL.service,
        POOL.model,
        POOL.version,
        "",
        req.priority,
        req.prompt,
        req.prompt_tokens(),
        req.answer_tokens,
        NO_LIMIT,
    )
    now = req.arrived_at
    for one in router.submit(router_state, ask, account, set(), now, rng):
        assert isinstance(one, decision.Granted)
        ended = grants.AttemptResult(0.1, req.answer_tokens, False)
        router.release(router_state, one.grant, ended, now + 1.0, rng)


def _measure_memory(near: int, far: int) -> int:
    """Return the bytes that the state holds after the same run."""
    tracemalloc.start()
    router_state, _, _ = _measure(near, far)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert router_state.groups.by_name
    return held


if __name__ == "__main__":
    main()
