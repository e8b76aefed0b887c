"""Metrics of one entry, served in the Prometheus text format."""

from __future__ import annotations

from aioprometheus import collectors

from galenavane.observe import metric_factory

FIRST_TOKEN_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 10.0)
BETWEEN_TOKENS_BUCKETS_SECONDS = (0.01, 0.02, 0.03, 0.047, 0.07, 0.1, 0.2, 0.5, 1.0)


class Metrics:
    """Collectors of one entry; the documentation page is rendered from their help texts."""

    __slots__ = (
        "between_tokens_seconds",
        "configuration_age_seconds",
        "dropped_peer_messages",
        "first_token_seconds",
        "generation",
        "group_downtime_seconds",
        "groups_complete",
        "groups_wanted",
        "in_flight",
        "lease_token",
        "loop_lag_seconds",
        "peers",
        "platform_age_seconds",
        "platform_calls",
        "queue_length",
        "registry",
        "requests",
        "resident_memory_bytes",
        "retries",
        "stranded_accelerator_seconds",
        "stranded_accelerators",
    )

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.group_downtime_seconds = metric_factory.make_counter(
            self.registry,
            "group_downtime_seconds_total",
            "Time in which wanted groups could not serve.",
        )
        self.stranded_accelerator_seconds = metric_factory.make_counter(
            self.registry,
            "stranded_accelerator_seconds_total",
            "Time in which accelerators were idle.",
        )
        self.groups_wanted = metric_factory.make_gauge(
            self.registry, "groups_wanted", "Groups that the preset asks for."
        )
        self.groups_complete = metric_factory.make_gauge(
            self.registry, "groups_complete", "Groups that are complete."
        )
        self.stranded_accelerators = metric_factory.make_gauge(
            self.registry, "stranded_accelerators", "Accelerators that are idle now."
        )
        self.requests = metric_factory.make_counter(
            self.registry, "requests_total", "Requests by outcome and result code."
        )
        self.retries = metric_factory.make_counter(
            self.registry, "retries_total", "Further tries of requests at other targets."
        )
        self.in_flight = metric_factory.make_gauge(
            self.registry, "requests_in_flight", "Callers' requests being served."
        )
        self.first_token_seconds = metric_factory.make_histogram(
            self.registry,
            "first_token_seconds",
            "Time to the first token.",
            FIRST_TOKEN_BUCKETS_SECONDS,
        )
        self.between_tokens_seconds = metric_factory.make_histogram(
            self.registry,
            "between_tokens_seconds",
            "Mean time between the tokens of an answer.",
            BETWEEN_TOKENS_BUCKETS_SECONDS,
        )
        self.lease_token = metric_factory.make_gauge(
            self.registry, "lease_token", "Fencing token while held, else 0."
        )
        self.generation = metric_factory.make_gauge(
            self.registry, "configuration_generation", "Generation in force."
        )
        self.configuration_age_seconds = metric_factory.make_gauge(
            self.registry,
            "configuration_age_seconds",
            "Time since the generation in force was taken in.",
        )
        self.platform_age_seconds = metric_factory.make_gauge(
            self.registry,
            "platform_age_seconds",
            "Time since the platform last answered the list of instances.",
        )
        self.peers = metric_factory.make_gauge(
            self.registry, "peers", "Other entries that are heard."
        )
        self.dropped_peer_messages = metric_factory.make_counter(
            self.registry,
            "peer_messages_dropped_total",
            "Damaged or unknown messages of other entries.",
        )
        self.platform_calls = metric_factory.make_counter(
            self.registry, "platform_calls_total", "Calls of the platform."
        )
        self.queue_length = metric_factory.make_gauge(
            self.registry, "queue_length", "Requests that wait for a group."
        )
        self.resident_memory_bytes = metric_factory.make_gauge(
            self.registry, "resident_memory_bytes", "Resident memory of this process."
        )
        self.loop_lag_seconds = metric_factory.make_gauge(
            self.registry, "loop_lag_seconds", "How late the event loop last ran a timer."
        )


def make() -> Metrics:
    """Return new collectors in their own registry."""
    return Metrics()


def render(metrics: Metrics) -> bytes:
    """Return all collectors in the Prometheus text format."""
    return metric_factory.render(metrics.registry)
