"""Creates metric collectors, whose names start with the product's prefix, and renders them."""

from __future__ import annotations

import typing

from aioprometheus import collectors, renderer

PREFIX = "galenavane_"


def make_counter(registry: collectors.Registry, name: str, help_text: str) -> collectors.Counter:
    """Return a new counter in a registry."""
    return collectors.Counter(PREFIX + name, help_text, registry=registry)


def make_gauge(registry: collectors.Registry, name: str, help_text: str) -> collectors.Gauge:
    """Return a new gauge in a registry."""
    return collectors.Gauge(PREFIX + name, help_text, registry=registry)


def make_histogram(
    registry: collectors.Registry, name: str, help_text: str, buckets: typing.Sequence[float]
) -> collectors.Histogram:
    """Return a new histogram in a registry."""
    return collectors.Histogram(PREFIX + name, help_text, registry=registry, buckets=list(buckets))


def render(registry: collectors.Registry) -> bytes:
    """Return all collectors of a registry in the Prometheus text format."""
    content, _ = renderer.render(registry, ["text/plain"])
    return bytes(content)
