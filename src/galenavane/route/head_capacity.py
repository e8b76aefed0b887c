"""Limits the requests of a head, the leader of a group, so that first events are in time.

When groups are lost faster than new ones load their weights, the others get more requests than
they can serve. An unbounded queue would make every request late. With a limit, accepted requests
are served in time, and the others are refused at once with a time to retry.
"""

from __future__ import annotations

import math

from galenavane.catalog import engine

FIRST_EVENT_PASSES = 2
"""A request waits for the current batch pass to end and is prefilled in the next one."""
NETWORK_SECONDS = 0.04


def first_event_seconds(
    constants: engine.Engine, model: engine.Model, prompt_tokens: float
) -> float:
    """Return the time in seconds to the first event at a head with full slots and no queue."""
    prefill_seconds = prompt_tokens / constants.prefill_tokens_per_second * model.time_factor
    pass_seconds = constants.pass_seconds(model, constants.slots)
    return NETWORK_SECONDS + prefill_seconds + FIRST_EVENT_PASSES * pass_seconds


def slot_free_seconds(constants: engine.Engine, model: engine.Model) -> float:
    """Return the mean time in seconds until a slot of a full head becomes free."""
    step = constants.pass_seconds(model, constants.slots) / constants.stride
    return constants.mean_answer_tokens * step / constants.slots


def limit(constants: engine.Engine, model: engine.Model, latency_target_seconds: float) -> int:
    """Return the maximum number of requests of a head, running and queued."""
    spare = latency_target_seconds - first_event_seconds(
        constants, model, constants.mean_prompt_tokens
    )
    interval = slot_free_seconds(constants, model)
    queued = math.floor(max(0.0, spare) / interval) if interval > 0 else 0
    return constants.slots + queued


def retry_after_seconds(
    constants: engine.Engine, model: engine.Model, excess: float, jitter: float
) -> float:
    """Return the seconds after which a refused request may be retried.

    :param excess: requests over the limit at the least loaded head.
    :param jitter: random number from 0 to 1 that spreads requests refused at the same time.
    """
    interval = slot_free_seconds(constants, model)
    stream_seconds = interval * constants.slots
    return interval * (1.0 + max(0.0, excess)) + jitter * stream_seconds
