"""Decodes the platform's configuration object into a catalog."""

from __future__ import annotations

import msgspec

from galenavane.catalog import account, catalog, engine, limits, route, service
from galenavane.net import untrusted_json


class _Split(msgspec.Struct):
    # Name of the service.
    backend: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    # 0 is the most urgent.
    priority: int = 5
    # A route has either one service or several weighted ones.
    backend: str | None = None
    traffic_split: list[_Split] = []
    # Targets to which the system may send one request; retries by the client do not count.
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: str
    size: int
    # Initial share of the work.
    share: float = 1.0
    # Factor for all durations of the model's groups; smaller is faster.
    pace: float = 1.0
    # Load time from the weight store, and from the host's memory.
    load_s: float = 16.0
    warm_s: float = 2.0


class _TypicalRequest(msgspec.Struct):
    # Mean token counts of a request.
    prompt: float = 1000.0
    answer: float = 150.0


class _Engine(msgspec.Struct):
    slots: int
    # Token steps between two stream events.
    stride: int = 1
    step_ms: float = 10.0
    # Added to each step per request that is generating tokens.
    per_seq_ms: float = 0.0
    # Prompt tokens processed per second.
    read_per_s: float = 50_000.0
    loads_per_s: float = 1.0
    loads_at_once: int = 4
    # Time from the open command until the group serves.
    form_ms: float = 300.0
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class Config(msgspec.Struct):
    """The operator's complete configuration."""

    version: untrusted_json.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_KINDS = {
    "idempotent": route.Kind.IDEMPOTENT,
    "non_idempotent": route.Kind.NON_IDEMPOTENT,
    "streaming": route.Kind.STREAM,
}


def decode(body: bytes) -> catalog.Catalog:
    """Decode a stored configuration.

    :raises msgspec.ValidationError: when it does not match the published schema.
    """
    config = untrusted_json.decode(body, Config)
    return catalog.Catalog(
        config.version,
        [_make_route(spec) for spec in config.routes],
        [_make_service(spec) for spec in config.services],
        [
            account.Account(spec.name, tuple(spec.api_keys), spec.priority)
            for spec in config.tenants
        ],
        limits.Limits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / 1000,
            config.limits.idle_timeout_ms / 1000,
        ),
    )


def _make_route(spec: _Route) -> route.Route:
    backings = [route.WeightedService(split.backend, split.weight) for split in spec.traffic_split]
    if spec.backend is not None:
        backings = [route.WeightedService(spec.backend, 1.0)]
    return route.Route(
        name=spec.name,
        host=spec.hostname,
        path_prefix=spec.path_prefix,
        # An unknown kind is treated as the strictest one.
        kind=_KINDS.get(spec.kind, route.Kind.NON_IDEMPOTENT),
        timeout_seconds=spec.timeout_ms / 1000,
        latency_target_seconds=spec.target_latency_ms / 1000,
        priority=spec.priority,
        weighted_services=tuple(backings),
        max_sends=max(1, spec.max_attempts),
        is_public=spec.public,
        is_resumable=spec.resumable,
    )


def _make_service(spec: _Service) -> service.Service:
    engine_spec = spec.engine
    if engine_spec is None or not engine_spec.models:
        return service.Service(spec.name, spec.max_connections, None)
    models = tuple(
        engine.Model(model.name, model.size, model.share, model.pace, model.load_s, model.warm_s)
        for model in engine_spec.models
    )
    decoded_engine = engine.Engine(
        slots=engine_spec.slots,
        stride=engine_spec.stride,
        step_seconds=engine_spec.step_ms / 1000,
        decode_seconds_per_request=engine_spec.per_seq_ms / 1000,
        prefill_tokens_per_second=engine_spec.read_per_s,
        loads_per_second=engine_spec.loads_per_s,
        loads_at_once=engine_spec.loads_at_once,
        form_seconds=engine_spec.form_ms / 1000,
        mean_prompt_tokens=engine_spec.usual.prompt,
        mean_answer_tokens=engine_spec.usual.answer,
        models=models,
    )
    return service.Service(spec.name, spec.max_connections, decoded_engine)
