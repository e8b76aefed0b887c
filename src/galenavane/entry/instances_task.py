"""Task that polls the platform's list of instances, which lags behind their real state."""

from __future__ import annotations

import dataclasses

import trio

from galenavane.config import settings
from galenavane.entry import configuration_task
from galenavane.entry import view as views
from galenavane.store import backoff, instance

WATCHER_POLL_SECONDS = 1.0
OTHER_POLL_SECONDS = 5.0
MAX_RETRY_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class _LastRequest:
    """Parameters of the last request for the list.

    :ivar scope: data centre, empty for all.
    :ivar version: version of the last list received, 0 for none.
    """

    scope: str
    version: int


async def run(view: views.View) -> None:
    """Poll the list until cancelled; during an outage the last list stays published."""
    failures = 0
    last_request = _LastRequest("", 0)
    while True:
        scope = view.cfg.get(settings.DATA_CENTRE) if view.is_large() else ""
        if scope != last_request.scope:
            last_request = _LastRequest(scope, 0)
        listed = await view.platform.list_instances(last_request.scope, last_request.version)
        if listed.is_ok():
            failures = 0
            last_request = _LastRequest(scope, listed.ok.version)
            _publish_list(view, listed.ok)
            await trio.sleep(_compute_poll_interval(view) * view.rng.uniform(0.8, 1.2))
        else:
            failures += 1
            await trio.sleep(
                backoff.compute_delay(failures, WATCHER_POLL_SECONDS, MAX_RETRY_SECONDS, view.rng)
            )


def _publish_list(view: views.View, listed: instance.InstanceList) -> None:
    view.total_instances = listed.total
    if listed.instances is None:
        view.instances.publish(view.instances.value)
    else:
        view.instances.publish(listed.instances)


def _compute_poll_interval(view: views.View) -> float:
    if configuration_task.is_watcher(view):
        return WATCHER_POLL_SECONDS
    return OTHER_POLL_SECONDS
