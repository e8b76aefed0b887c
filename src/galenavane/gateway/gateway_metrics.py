"""Prometheus metrics of an entry process."""

from __future__ import annotations

from aioprometheus import collectors

from galenavane.observe import metric_factory

FIRST_EVENT_BUCKETS_SECONDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0)


class GatewayMetrics:
    """The collectors of one entry process."""

    __slots__ = (
        "answer_seconds",
        "blocked_parts",
        "commands",
        "config_age",
        "dropped_lines",
        "first_event_seconds",
        "further_sends",
        "groups",
        "in_flight",
        "lease_token",
        "notices",
        "peers",
        "registry",
        "requests",
        "stalls",
        "store_calls",
        "targets",
        "targets_avoided",
    )

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.requests = metric_factory.make_counter(
            self.registry, "requests_total", "Requests by kind, outcome and reason."
        )
        self.further_sends = metric_factory.make_counter(
            self.registry, "further_sends_total", "Sends beyond the first."
        )
        self.stalls = metric_factory.make_counter(
            self.registry, "stalls_total", "Heads found standing still."
        )
        self.blocked_parts = metric_factory.make_counter(
            self.registry, "blocked_parts_total", "Parts of prompts blocked for crashing targets."
        )
        self.commands = metric_factory.make_counter(
            self.registry, "commands_total", "Commands to targets by result."
        )
        self.notices = metric_factory.make_counter(
            self.registry, "target_notices_total", "Targets that leave or ask to wait, by reason."
        )
        self.targets_avoided = metric_factory.make_gauge(
            self.registry, "targets_avoided", "Listed targets not sent requests now, by reason."
        )
        self.first_event_seconds = metric_factory.make_histogram(
            self.registry,
            "first_event_seconds",
            "Time to the first event.",
            FIRST_EVENT_BUCKETS_SECONDS,
        )
        self.answer_seconds = metric_factory.make_histogram(
            self.registry,
            "answer_seconds",
            "Time to the whole answer.",
            FIRST_EVENT_BUCKETS_SECONDS,
        )
        self.in_flight = metric_factory.make_gauge(
            self.registry, "requests_in_flight", "Requests being served."
        )
        self.config_age = metric_factory.make_gauge(
            self.registry,
            "configuration_age_seconds",
            "Since the configuration was last confirmed.",
        )
        self.store_calls = metric_factory.make_gauge(
            self.registry, "store_calls", "Calls of the store since the start."
        )
        self.peers = metric_factory.make_gauge(
            self.registry, "peers", "Other entries that are heard."
        )
        self.groups = metric_factory.make_gauge(
            self.registry, "groups_serving", "Whole and open groups by model."
        )
        self.targets = metric_factory.make_gauge(self.registry, "targets", "Listed targets.")
        self.lease_token = metric_factory.make_gauge(
            self.registry, "lease_token", "Lease number while commanding, else 0."
        )
        self.dropped_lines = metric_factory.make_gauge(
            self.registry, "log_lines_dropped", "Log lines that were left out."
        )


def make() -> GatewayMetrics:
    """Return new collectors in a registry of their own."""
    return GatewayMetrics()


def render(metrics: GatewayMetrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    return metric_factory.render(metrics.registry)
