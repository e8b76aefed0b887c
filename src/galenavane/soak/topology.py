"""Processes of a soak run and the declarations of its operators."""

from __future__ import annotations

import dataclasses
import hashlib
import random

from galenavane.config import declaration

API_KEY = "soak-key"
MODEL = "scribe"
MODEL_SERVICE = "scribe-model"
PLAIN_SERVICE = "order-desk"
GROUP_SIZE = 2
ENGINES_PER_DOMAIN = 3
PRESET_VERSIONS = {"ordinary": "v1", "maintenance": "v1", "renewed": "v2"}
_DATA_CENTRES = ("makole", "kikuyu", "chamwino")


@dataclasses.dataclass(slots=True, frozen=True)
class Scale:
    """Size of a run.

    :ivar entries_per_data_centre: layouts to draw from; each gives the number of entries in each
        of its data centres.
    :ivar domains_per_data_centre: number of fabric domains in each data centre.
    :ivar schedule_seconds: length of the fault schedule.
    """

    entries_per_data_centre: list[tuple[int, ...]]
    domains_per_data_centre: int
    schedule_seconds: float


FULL = Scale([(3, 2), (3, 2), (2, 2, 2)], 2, 25.0)
SMALL = Scale([(2, 1)], 1, 10.0)
TINY = Scale([(1, 1)], 1, 4.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """Location of a process.

    :ivar fabric_domain: empty for processes other than engines.
    """

    name: str
    data_centre: str
    fabric_domain: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Topology:
    """Processes of a run.

    :ivar checks_token: whether engines refuse old fencing tokens.
    """

    scale: Scale
    data_centres: list[str]
    entries: list[Placement]
    engines: list[Placement]
    plain_targets: list[Placement]
    checks_token: bool

    def list_processes(self, data_centre: str) -> list[str]:
        """Return the names of all processes in a data centre."""
        placements = self.entries + self.engines + self.plain_targets
        return [placement.name for placement in placements if placement.data_centre == data_centre]


def generate(rng: random.Random, scale: Scale) -> Topology:
    """Draw data centres with their entries, engines and plain targets."""
    entry_counts = rng.choice(scale.entries_per_data_centre)
    data_centres = list(_DATA_CENTRES[: len(entry_counts)])
    entries = [
        Placement(f"entry-{data_centre}-{number}", data_centre)
        for data_centre, count in zip(data_centres, entry_counts, strict=True)
        for number in range(count)
    ]
    engines = [
        Placement(f"engine-{data_centre}-{domain}-{number}", data_centre, f"{data_centre}-{domain}")
        for data_centre in data_centres
        for domain in range(scale.domains_per_data_centre)
        for number in range(ENGINES_PER_DOMAIN)
    ]
    plain_targets = [
        Placement(f"desk-{number}", data_centres[number % len(data_centres)]) for number in range(3)
    ]
    return Topology(scale, data_centres, entries, engines, plain_targets, rng.random() < 0.5)


def count_groups(scale: Scale, preset: str) -> int:
    """Return the number of groups that a preset runs in each data centre."""
    return (
        scale.domains_per_data_centre - 1
        if preset == "maintenance"
        else scale.domains_per_data_centre
    )


def make_declarations(layout: Topology) -> declaration.Declarations:
    """Return the declarations for a topology."""
    fencing = declaration.Fencing.CHECKED if layout.checks_token else declaration.Fencing.IGNORED
    kinds = declaration.ServiceKind
    services = [
        declaration.Service(PLAIN_SERVICE, kinds.PLAIN, 0, 1, idempotent=["GET /jobs*"]),
        declaration.Service(MODEL_SERVICE, kinds.MODEL, 1, GROUP_SIZE, fencing),
    ]
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    presets = [declaration.Preset(name) for name in sorted(PRESET_VERSIONS)]
    runs = [
        declaration.Run(
            name,
            MODEL_SERVICE,
            MODEL,
            version,
            {data_centre: count_groups(layout.scale, name) for data_centre in layout.data_centres},
        )
        for name, version in sorted(PRESET_VERSIONS.items())
    ]
    return declaration.Declarations(
        deployment=declaration.Deployment("soak"),
        services=services,
        models=[declaration.Model(MODEL, ["v1", "v2"])],
        accounts=[declaration.Account("clerks", digest)],
        presets=presets,
        runs=runs,
    )
