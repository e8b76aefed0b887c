"""Command line of the invariant tests with real processes: ``python -m galenavane.proof``."""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time

import defopt
import trio

from galenavane.proof import case as proofs
from galenavane.proof import cases, local_deployment, wrapped

MAX_SHOWN_VIOLATIONS = 3


def main(*, only: int = 0, folder: pathlib.Path | None = None) -> int:
    """Test each invariant with real processes, and show with a mutant that its test can fail.

    :param only: number of the only invariant to test; 0 tests all
    :param folder: folder for the logs of processes; a temporary one by default
    """
    root = folder or pathlib.Path(tempfile.mkdtemp(prefix="galenavane-proof-"))
    failed_cases = 0
    print("| invariant | injected failures | unchanged code | mutant | s |")
    print("| --- | --- | --- | --- | --- |")
    for case in cases.ALL:
        if only not in (0, case.number.value):
            continue
        start = time.monotonic()
        mutant_violations = _run_case(case, root / f"{case.number.value}-wrong", case.mutant_name)
        violations = _run_case(case, root / f"{case.number.value}-right", wrapped.UNCHANGED)
        seconds = time.monotonic() - start
        mutant_result = (
            f"caught, {len(mutant_violations)} x: {case.mutant_name}"
            if mutant_violations
            else f"MISSED: {case.mutant_name}"
        )
        unchanged_result = f"VIOLATED, {len(violations)} x" if violations else "held"
        print(
            f"| {case.number.value} | {case.injected_failures} | {unchanged_result} "
            f"| {mutant_result} | {seconds:.0f} |"
        )
        for text in violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"  violated: {text}", file=sys.stderr)
        sys.stdout.flush()
        failed_cases += bool(violations) or not mutant_violations
    print(f"logs in {root}", file=sys.stderr)
    return 1 if failed_cases else 0


def _run_case(case: proofs.Case, folder: pathlib.Path, mutant_name: str) -> list[str]:
    folder.mkdir(parents=True, exist_ok=True)
    deployment = local_deployment.LocalDeployment(folder, mutant_name)

    async def prove() -> list[str]:
        violations = await case.run(deployment)
        return violations + deployment.list_violations()

    try:
        return trio.run(prove)
    finally:
        deployment.kill_all()


if __name__ == "__main__":
    sys.exit(defopt.run(main))
