"""Summarise behave's JSON report; failures listed in KNOWN-RED.txt don't fail the run."""

from __future__ import annotations

import json
import pathlib
import sys

PASSED = "passed"


def read_known_red(path: pathlib.Path) -> set[str]:
    """Return the scenario names in the ``test: NAME`` lines of KNOWN-RED.txt."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def read_scenarios(path: pathlib.Path) -> list[tuple[str, str]]:
    """Return the name and status of each scenario that behave reported."""
    if not path.exists():
        return []
    features = json.loads(path.read_text(encoding="utf-8") or "[]")
    return [
        (element["name"], element["status"])
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def main(report: str, known_red: str) -> int:
    """Print the failed scenarios and the summary line; return the exit code."""
    known = read_known_red(pathlib.Path(known_red))
    scenarios = read_scenarios(pathlib.Path(report))
    passed = [name for name, status in scenarios if status == PASSED]
    failed = [name for name, status in scenarios if status != PASSED]
    for name in failed:
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    red = [name for name in failed if name not in known]
    if not scenarios:
        print("no scenario ran")
        print("0 passed, 1 failed")
        return 1
    print(f"{len(passed)} passed, {len(red)} failed")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
