"""Metrics of an entry process on the users' platform."""

from __future__ import annotations

from aioprometheus import collectors, renderer

FIRST_EVENT_BUCKETS_SECONDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0)


class GatewayMetrics:
    """The collectors of one entry process."""

    __slots__ = (
        "commands",
        "dropped_lines",
        "ends",
        "first_event",
        "further_sends",
        "groups",
        "in_flight",
        "knowledge_age",
        "lease_token",
        "peers",
        "registry",
        "stalls",
        "store_calls",
        "targets",
        "whole",
    )

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.ends = self._counter("requests_total", "Requests by kind, outcome and reason.")
        self.further_sends = self._counter("further_sends_total", "Sends beyond the first.")
        self.stalls = self._counter("stalls_total", "Heads found standing still.")
        self.commands = self._counter("commands_total", "Commands to targets by result.")
        self.first_event = self._histogram(
            "first_event_seconds", "Time to the first event.", FIRST_EVENT_BUCKETS_SECONDS
        )
        self.whole = self._histogram(
            "answer_seconds", "Time to the whole answer.", FIRST_EVENT_BUCKETS_SECONDS
        )
        self.in_flight = self._gauge("requests_in_flight", "Requests being served.")
        self.knowledge_age = self._gauge(
            "configuration_age_seconds", "Since the configuration was last confirmed."
        )
        self.store_calls = self._gauge("store_calls", "Calls of the store since the start.")
        self.peers = self._gauge("peers", "Other entries that are heard.")
        self.groups = self._gauge("groups_serving", "Whole and open groups by model.")
        self.targets = self._gauge("targets", "Listed targets.")
        self.lease_token = self._gauge("lease_token", "Lease number while commanding, else 0.")
        self.dropped_lines = self._gauge("log_lines_dropped", "Log lines that were left out.")

    def _counter(self, name: str, text: str) -> collectors.Counter:
        return collectors.Counter(f"galenavane_{name}", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> collectors.Gauge:
        return collectors.Gauge(f"galenavane_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> collectors.Histogram:
        return collectors.Histogram(
            f"galenavane_{name}", text, registry=self.registry, buckets=list(buckets)
        )


def make() -> GatewayMetrics:
    """Return new collectors in a registry of their own."""
    return GatewayMetrics()


def render(found: GatewayMetrics) -> bytes:
    """Return the exposition text of all collectors."""
    content, _ = renderer.render(found.registry, ["text/plain"])
    return bytes(content)
