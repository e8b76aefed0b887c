"""Types of the declarations that operators write."""

from __future__ import annotations

import enum

import msgspec


class ServiceKind(enum.StrEnum):
    """Kind of back end of a service: groups that serve a model, or single plain processes."""

    MODEL = "model"
    PLAIN = "plain"


class Fencing(enum.StrEnum):
    """Whether a service's targets refuse commands with an old fencing token."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Deployment(msgspec.Struct, frozen=True):
    """Cost weights and limits of the deployment as a whole.

    :ivar downtime_weight: cost of one second in which a group can't serve.
    :ivar stranded_weight: cost of one second of an idle accelerator.
    :ivar spares: instances to keep free in each fabric domain when there is a choice.
    :ivar loads_at_once: concurrent weight loads that the weight store of a data centre sustains.
    """

    name: str
    downtime_weight: float = 1.0
    stranded_weight: float = 1.0
    spares: int = 1
    loads_at_once: int = 32


class Service(msgspec.Struct, frozen=True):
    """A service that callers reach.

    :ivar priority: 0 is the highest priority.
    :ivar members: instances that one replica spans; 1 for a plain service.
    :ivar idempotent: ``METHOD /path`` patterns of requests that may be repeated; ``*`` at the end
        of a pattern matches any rest of the path.
    """

    name: str
    kind: ServiceKind
    priority: int = 1
    members: int = 1
    fencing: Fencing = Fencing.CHECKED
    idempotent: list[str] = []


class Model(msgspec.Struct, frozen=True):
    """A model with its versions and adapters."""

    name: str
    versions: list[str]
    adapters: list[str] = []


class Account(msgspec.Struct, frozen=True):
    """A client account.

    :ivar key_sha256: SHA-256 hash of its bearer key in hexadecimal digits.
    :ivar weight: share of a queue relative to other accounts.
    """

    name: str
    key_sha256: str
    requests_per_second: float = 100.0
    tokens_per_second: float = 100_000.0
    weight: float = 1.0


class Run(msgspec.Struct, frozen=True):
    """How a preset runs one model service.

    :ivar replicas: number of groups to run by data centre.
    """

    preset: str
    service: str
    model: str
    version: str
    replicas: dict[str, int]
    adapters: list[str] = []


class Preset(msgspec.Struct, frozen=True):
    """A named set of runs; one preset at a time is in force."""

    name: str
    description: str = ""


class Declarations(msgspec.Struct, frozen=True):
    """All declarations; each list is sorted by name."""

    deployment: Deployment
    services: list[Service]
    models: list[Model]
    accounts: list[Account]
    presets: list[Preset]
    runs: list[Run]

    def find_service(self, name: str) -> Service | None:
        """Return the service with the given name, or ``None`` if it is not declared."""
        return next((service for service in self.services if service.name == name), None)

    def list_runs(self, preset: str) -> list[Run]:
        """Return the runs of a preset."""
        return [run for run in self.runs if run.preset == preset]
