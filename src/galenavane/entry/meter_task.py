"""Task that samples group downtime and stranded accelerators and updates the gauges."""

from __future__ import annotations

import resource

import trio
from aioprometheus import collectors

from galenavane.entry import status
from galenavane.entry import view as views
from galenavane.observe import meter

SAMPLE_SECONDS = 0.5
_PAGE_BYTES = resource.getpagesize()
_NO_LABELS: dict[str, str] = {}


async def run(view: views.View) -> None:
    """Sample every ``SAMPLE_SECONDS`` until cancelled."""
    due = trio.current_time()
    while True:
        due += SAMPLE_SECONDS
        await trio.sleep_until(due)
        now = trio.current_time()
        _set(view.metrics.loop_lag_seconds, now - due)
        due = now
        _record_sample(view, now)
        _update_gauges(view, now)


def _record_sample(view: views.View, now: float) -> None:
    before = (view.meter.downtime_seconds, view.meter.stranded_seconds)
    meter.add_sample(view.meter, status.sample_groups(view), now)
    view.metrics.group_downtime_seconds.add(_NO_LABELS, view.meter.downtime_seconds - before[0])
    view.metrics.stranded_accelerator_seconds.add(
        _NO_LABELS, view.meter.stranded_seconds - before[1]
    )


def _update_gauges(view: views.View, now: float) -> None:
    metrics = view.metrics
    sample = view.meter.last_sample
    if sample is not None:
        _set(metrics.groups_wanted, sample.wanted)
        _set(metrics.groups_complete, sample.complete)
        _set(metrics.stranded_accelerators, sample.stranded)
    configuration = view.configuration.value
    _set(metrics.generation, configuration.head.generation if configuration else 0)
    _set(metrics.configuration_age_seconds, _compute_age(view.configuration.set_at, now))
    _set(metrics.platform_age_seconds, _compute_age(view.instances.set_at, now))
    _set(metrics.lease_token, view.token.value or 0)
    _set(metrics.peers, len(view.peers.value))
    _set(metrics.in_flight, view.active_requests.value)
    _set(
        metrics.queue_length,
        sum(admission.queue.size for admission in view.router.admissions.values()),
    )
    _set_total(metrics.platform_calls, view.platform.calls)
    _set_total(metrics.dropped_peer_messages, view.dropped_messages.value)
    _set(metrics.resident_memory_bytes, _read_resident_bytes())


def _compute_age(set_at: float, now: float) -> float:
    return now - max(0.0, set_at)


def _set_total(counter: collectors.Counter, total: int) -> None:
    """Set a counter to a total that is accumulated elsewhere."""
    counter.set(_NO_LABELS, total)


def _set(gauge: collectors.Gauge, value: float) -> None:
    gauge.set(_NO_LABELS, value)


def _read_resident_bytes() -> int:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except OSError:
        return 0
