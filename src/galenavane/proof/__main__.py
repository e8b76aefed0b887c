"""``python -m galenavane.proof``."""

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
    """Prove each invariant with real processes, and show that its check can fail.

    :param only: number of the one invariant to prove; all when left out
    :param folder: where processes log; a temporary folder when left out
    """
    root = folder or pathlib.Path(tempfile.mkdtemp(prefix="galenavane-proof-"))
    failed = 0
    print("| invariant | failures made | right version | wrong version | s |")
    print("| --- | --- | --- | --- | --- |")
    for case in cases.ALL:
        if only not in (0, case.number.value):
            continue
        start = time.monotonic()
        wrong = _run_case(case, root / f"{case.number.value}-wrong", case.mutant_name)
        right = _run_case(case, root / f"{case.number.value}-right", wrapped.UNCHANGED)
        seconds = time.monotonic() - start
        caught = (
            f"caught, {len(wrong)} x: {case.mutant_name}"
            if wrong
            else f"MISSED: {case.mutant_name}"
        )
        held = f"BROKEN, {len(right)} x" if right else "held"
        print(f"| {case.number.value} | {case.disturbance} | {held} | {caught} | {seconds:.0f} |")
        for text in right[:MAX_SHOWN_VIOLATIONS]:
            print(f"  broken: {text}", file=sys.stderr)
        sys.stdout.flush()
        failed += bool(right) or not wrong
    print(f"logs in {root}", file=sys.stderr)
    return 1 if failed else 0


def _run_case(case: proofs.Case, folder: pathlib.Path, wrong: str) -> list[str]:
    folder.mkdir(parents=True, exist_ok=True)
    on = local_deployment.LocalDeployment(folder, wrong)

    async def prove() -> list[str]:
        broken = await case.run(on)
        return broken + on.list_violations()

    try:
        return trio.run(prove)
    finally:
        on.kill_all()


if __name__ == "__main__":
    sys.exit(defopt.run(main))
