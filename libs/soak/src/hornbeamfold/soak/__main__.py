"""Runs one soak: python -m hornbeamfold.soak --seconds n [--seed n]."""

import shutil
import sys
import tempfile
import warnings
from collections import Counter
from pathlib import Path
from random import Random
from typing import Annotated

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# The emulated platform, the proxies and the callers share this process.
eventlet.monkey_patch()

from typer import Option, Typer  # noqa: E402

from hornbeamfold.batch import elapsed_ms  # noqa: E402
from hornbeamfold.emulator.processes import is_ready, stop_all, wait_for  # noqa: E402
from hornbeamfold.platform.http import HttpClient  # noqa: E402
from hornbeamfold.soak.cluster import Scene, Size  # noqa: E402
from hornbeamfold.soak.faults import FAULTS, SoakFault, Undo  # noqa: E402
from hornbeamfold.soak.load import Load  # noqa: E402

READY_TIMEOUT_S = 60.0
# The sites' bound on recovery, 12 s, and on the end of what was accepted, 14 s.
FINISH_S = 26.0
# A call of a caller with its tries.
LAST_CALLS_S = 15.0
# Pauses between faults and their lengths: they come alone, in series, and over one another.
PAUSE_S = (0.2, 2.5)
LENGTH_S = (0.3, 6.0)
MAX_SEED = 1 << 31


def _strike(scene: Scene, rng: Random, seconds: float, counts: Counter[str]) -> None:
    """Begin faults for a time; each ends by itself, the last ones before this returns."""
    ends: list[Undo] = []
    until_ms = elapsed_ms() + int(seconds * 1_000)

    def end_after(undo: Undo, length_s: float) -> None:
        eventlet.sleep(length_s)
        ends.remove(undo)
        undo()

    while elapsed_ms() < until_ms:
        fault: SoakFault = rng.choice(FAULTS)
        length_s = rng.uniform(*LENGTH_S)
        undo = fault.begin(scene, rng)
        if undo is not None:
            counts[fault.name] += 1
            print(f"{fault.name} for {length_s:.1f} s", flush=True)
            ends.append(undo)
            eventlet.spawn(end_after, undo, length_s)
        eventlet.sleep(rng.uniform(*PAUSE_S))
    wait_for(lambda: not ends, LENGTH_S[1] + 1)
    wait_for(lambda: not any(node.busy for node in scene.nodes), LAST_CALLS_S)


def _soak(scene: Scene, seconds: float, seed: int) -> None:
    load = Load(scene, seed)
    counts: Counter[str] = Counter()
    http = HttpClient()
    if not wait_for(
        lambda: all(is_ready(http, node.process) for node in scene.nodes), READY_TIMEOUT_S
    ):
        scene.violations.add("instances get ready", f"not within {READY_TIMEOUT_S} s")
        return
    load.start()
    _strike(scene, Random(seed), seconds, counts)
    load.stop()
    wait_for(lambda: load.callers_left == 0, LAST_CALLS_S)
    wait_for(lambda: not load.open_jobs(), FINISH_S)
    for job_id in load.open_jobs():
        scene.violations.add("accepted jobs end", f"{job_id} has no final state")
    for node in scene.nodes:
        if node.process.process.poll() is not None:
            scene.violations.add("processes live", f"{node.name} has ended by itself")
    print(f"faults: {dict(counts)}")
    print(
        f"{len(scene.witness.accepted)} jobs accepted, {scene.witness.starts} runs, "
        f"final states {dict(Counter(load.final.values()))}"
    )


def soak(
    seconds: Annotated[float, Option(help="How long faults come, in seconds.")] = 60.0,
    seed: Annotated[int | None, Option(help="Repeats a schedule of faults and work.")] = None,
    instances: Annotated[int, Option(help="How many instances run.")] = Size.instances,
    workers: Annotated[int, Option(help="How many workers there are.")] = Size.workers,
    logs: Annotated[str, Option(help="Folder for the logs if a promise is broken.")] = "",
) -> None:
    """Run real instances under random faults; exit with 1 if a promise is broken."""
    chosen = Random().randrange(MAX_SEED) if seed is None else seed
    print(f"seed {chosen}, {seconds:.0f} s, {instances} instances, {workers} workers", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(Size(instances, workers), chosen, Path(folder))
        try:
            _soak(scene, seconds, chosen)
        finally:
            stop_all([node.process for node in scene.nodes])
        found = scene.violations.found
        if found and logs:
            shutil.copytree(folder, logs, dirs_exist_ok=True)
    print(f"seed {chosen}: {len(found)} promises broken")
    sys.exit(1 if found else 0)


def main() -> None:
    """Run the soak from the command line."""
    app = Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(soak)
    app()


if __name__ == "__main__":
    main()
