"""Tells how many requests a head may have before their first events come too late.

Load that it answers: groups are lost faster than weights load, so that the rest is asked for
more than it can serve. A queue that grows makes every request late; with a bound on it those
that are taken are served in time, and the others learn at once that they should come back.
"""

from __future__ import annotations

import math

from galenavane.catalog import engine

FIRST_EVENT_PASSES = 2
"""A request waits for the present pass and is read within the next."""
NETWORK_SECONDS = 0.04


def first_event_seconds(
    constants: engine.Engine, model: engine.Model, prompt_tokens: float
) -> float:
    """Return the time to the first event at a head with all slots taken and an empty queue."""
    prefill_seconds = prompt_tokens / constants.prefill_tokens_per_second * model.time_factor
    pass_seconds = constants.pass_seconds(model, constants.slots)
    return NETWORK_SECONDS + prefill_seconds + FIRST_EVENT_PASSES * pass_seconds


def slot_free_seconds(constants: engine.Engine, model: engine.Model) -> float:
    """Return the mean time until one of a full head's requests ends."""
    step = constants.pass_seconds(model, constants.slots) / constants.stride
    return constants.mean_answer_tokens * step / constants.slots


def limit(constants: engine.Engine, model: engine.Model, latency_target_seconds: float) -> int:
    """Return the requests that a head may have, running and queued."""
    spare = latency_target_seconds - first_event_seconds(
        constants, model, constants.mean_prompt_tokens
    )
    interval = slot_free_seconds(constants, model)
    queued = math.floor(max(0.0, spare) / interval) if interval > 0 else 0
    return constants.slots + queued


def retry_after_seconds(
    constants: engine.Engine, model: engine.Model, excess: float, jitter: float
) -> float:
    """Return when a refused request may come back.

    :param excess: requests over the limit at the least loaded head.
    :param jitter: random number from 0 to 1, which spreads those refused at the same time.
    """
    interval = slot_free_seconds(constants, model)
    stream_seconds = interval * constants.slots
    return interval * (1.0 + max(0.0, excess)) + jitter * stream_seconds
