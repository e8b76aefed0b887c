"""Measures the processor time of routing decisions and the memory of the routing state.

Run ``python -m galenavane.experiment.routing_cost``.
"""

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
GROUP_COUNTS = ((14, 0), (65, 0), (460, 0), (2_000, 0), (12_000, 0), (460, 11_540))
"""Numbers of groups in the entry's own data centre and in farther ones."""
REQUEST_COUNT = 1_000
UPDATE_ROUNDS = 20
GROUP_CAPACITY = 32
FAR_LATENCY_SECONDS = 0.02
NO_LIMIT = 1e12


def main() -> None:
    """Print a table of costs by number of groups."""
    print("| groups near | far | µs a request | µs a round of reports | state MB |")
    print("| --- | --- | --- | --- | --- |")
    for near_count, far_count in GROUP_COUNTS:
        _, request_seconds, update_seconds = _measure(near_count, far_count)
        memory_bytes = _measure_memory(near_count, far_count)
        print(
            f"| {near_count} | {far_count} | {1e6 * request_seconds:.0f} | "
            f"{1e6 * update_seconds:.0f} | "
            f"{memory_bytes / 1e6:.1f} |",
            flush=True,
        )


def _make_reports(near_count: int, far_count: int, as_of: float) -> list[group_report.GroupReport]:
    load = report.Load(running=16, capacity=GROUP_CAPACITY)
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
            0.0 if number < near_count else FAR_LATENCY_SECONDS,
            NO_LIMIT,
        )
        for number in range(near_count + far_count)
    ]


def _measure(near_count: int, far_count: int) -> tuple[states.State, float, float]:
    """Return the state and the processor seconds per request and per round of reports."""
    rng = random.Random(1)
    router_state = states.State()
    router.update_groups(router_state, _make_reports(near_count, far_count, 0.0), 0.0)
    account = declaration.Account("a", "", NO_LIMIT, NO_LIMIT)
    requests = list(workload.generate(300.0, REQUEST_COUNT / 300.0 + 1.0, 1, rng))[:REQUEST_COUNT]
    started_at = time.process_time()
    for req in requests:
        _route_request(router_state, req, account, rng)
    request_seconds = (time.process_time() - started_at) / len(requests)
    rounds = [
        _make_reports(near_count, far_count, 20.0 + number) for number in range(UPDATE_ROUNDS)
    ]
    started_at = time.process_time()
    for number, reports in enumerate(rounds):
        router.update_groups(router_state, reports, 21.0 + number)
    return router_state, request_seconds, (time.process_time() - started_at) / UPDATE_ROUNDS


def _route_request(
    router_state: states.State,
    req: workload.Request,
    account: declaration.Account,
    rng: random.Random,
) -> None:
    routing_req = grants.RoutingRequest(
        str(req.number),
        "a",
        POOL.service,
        POOL.model,
        POOL.version,
        "",
        req.priority,
        req.prompt,
        req.count_prompt_tokens(),
        req.output_tokens,
        NO_LIMIT,
    )
    now = req.arrived_at
    for made_decision in router.submit(router_state, routing_req, account, set(), now, rng):
        assert isinstance(made_decision, decision.Granted)
        result = grants.AttemptResult(0.1, req.output_tokens, False)
        router.release(router_state, made_decision.grant, result, now + 1.0, rng)


def _measure_memory(near_count: int, far_count: int) -> int:
    """Return the bytes allocated after one measurement."""
    tracemalloc.start()
    router_state, _, _ = _measure(near_count, far_count)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert router_state.groups.by_name
    return memory_bytes


if __name__ == "__main__":
    main()
