"""Runs one soak: python -m hornbeamfold.soak --seconds n [--seed n]."""

import shutil
import sys
import tempfile
import warnings
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Annotated

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# The emulated platform, the proxies and the callers share this process.
eventlet.monkey_patch()

from typer import Option, Typer  # noqa: E402

from hornbeamfold.batch import elapsed_ms  # noqa: E402
from hornbeamfold.emulator.odd_entries import write_odd_entries  # noqa: E402
from hornbeamfold.emulator.processes import is_ready, stop_all, wait_for  # noqa: E402
from hornbeamfold.platform.http import HttpClient  # noqa: E402
from hornbeamfold.soak.cluster import Cluster, ClusterSize  # noqa: E402
from hornbeamfold.soak.faults import (  # noqa: E402
    CUT_FAULTS,
    FAULTS,
    NEWER_FAULTS,
    SoakFault,
    Undo,
)
from hornbeamfold.soak.load import LoadGenerator  # noqa: E402

READY_TIMEOUT_S = 60.0
# The sites require recovery within 12 s, and the end of accepted jobs within another 14 s.
JOB_COMPLETION_TIMEOUT_S = 26.0
# Allows a caller to finish its last call, including all retries.
LAST_CALLS_TIMEOUT_S = 15.0
# Ranges of the interval between faults and of their duration, so that faults occur alone, in series
# and overlapping.
FAULT_INTERVAL_S = (0.2, 2.5)
FAULT_DURATION_S = (0.3, 6.0)
CALM_SPELL_PROBABILITY = 0.06
CALM_SPELL_S = 8.0
# Allows all faults to end, including those that last longer than until they are undone.
CALM_TIMEOUT_S = 25.0
MAX_SEED = 1 << 31


def _inject_faults(
    cluster: Cluster,
    rng: Random,
    seconds: float,
    faults: Sequence[SoakFault],
    newer: bool,
    counts: Counter[str],
) -> None:
    """Inject random faults for a time, and wait until all of them are undone.

    Newer runs have calm spells in between and at the end.
    """
    pending_undos: list[Undo] = []
    end_ms = elapsed_ms() + int(seconds * 1_000)

    def undo_after(undo: Undo, duration_s: float) -> None:
        eventlet.sleep(duration_s)
        pending_undos.remove(undo)
        undo()
        cluster.end_fault()

    while elapsed_ms() < end_ms:
        fault = rng.choice(faults)
        duration_s = rng.uniform(*FAULT_DURATION_S)
        undo = fault.inject(cluster, rng)
        if undo is not None:
            cluster.begin_fault()
            counts[fault.name] += 1
            print(f"{fault.name} for {duration_s:.1f} s", flush=True)
            pending_undos.append(undo)
            eventlet.spawn(undo_after, undo, duration_s)
        eventlet.sleep(rng.uniform(*FAULT_INTERVAL_S))
        if newer and rng.random() < CALM_SPELL_PROBABILITY:
            _stay_calm(cluster)
    wait_for(lambda: not pending_undos, FAULT_DURATION_S[1] + 1)
    wait_for(lambda: not any(instance.busy for instance in cluster.instances), LAST_CALLS_TIMEOUT_S)
    if newer:
        _stay_calm(cluster)


def _stay_calm(cluster: Cluster) -> None:
    """Wait until all faults are over and leave the cluster undisturbed for a while."""
    calm = wait_for(lambda: cluster.calm, CALM_TIMEOUT_S)
    print(f"calm for {CALM_SPELL_S} s" if calm else "still not calm", flush=True)
    eventlet.sleep(CALM_SPELL_S)


def _run_soak(cluster: Cluster, seconds: float, seed: int, newer: bool, cuts: bool) -> None:
    load = LoadGenerator(cluster, seed, newer, wide=cuts)
    faults = CUT_FAULTS if cuts else NEWER_FAULTS if newer else FAULTS
    counts: Counter[str] = Counter()
    http = HttpClient()
    if not wait_for(
        lambda: all(is_ready(http, instance.process) for instance in cluster.instances),
        READY_TIMEOUT_S,
    ):
        cluster.violation_log.add("instances get ready", f"not within {READY_TIMEOUT_S} s")
        return
    load.start()
    eventlet.spawn(cluster.watch_ready_work)
    if newer:
        eventlet.spawn(write_odd_entries, cluster.platform.store, Random(seed))
    _inject_faults(cluster, Random(seed), seconds, faults, newer, counts)
    load.stop()
    wait_for(lambda: load.active_callers == 0, LAST_CALLS_TIMEOUT_S)
    wait_for(lambda: not load.unfinished_jobs(), JOB_COMPLETION_TIMEOUT_S)
    for job_id in load.unfinished_jobs():
        cluster.violation_log.add("accepted jobs end", f"{job_id} has no final state")
    for instance in cluster.instances:
        if instance.process.process.poll() is not None:
            cluster.violation_log.add("processes live", f"{instance.name} exited unexpectedly")
    print(f"faults: {dict(counts)}")
    print(
        f"{len(cluster.checker.accepted_ms)} jobs accepted, {cluster.checker.run_count} runs, "
        f"final states {dict(Counter(load.final_states.values()))}, "
        f"longest wait beside room {cluster.ready_work.longest_wait_ms} ms"
    )


def soak(
    seconds: Annotated[float, Option(help="How long faults are injected, in seconds.")] = 60.0,
    seed: Annotated[
        int | None, Option(help="Seed of the random faults and jobs; random by default.")
    ] = None,
    instances: Annotated[int, Option(help="Number of instances.")] = ClusterSize.instances,
    workers: Annotated[int, Option(help="Number of workers.")] = ClusterSize.workers,
    logs: Annotated[
        str, Option(help="Folder that receives the logs if a guarantee is violated.")
    ] = "",
    newer: Annotated[
        bool, Option("--newer", help="Add the newer faults and jobs, which recorded seeds lack.")
    ] = False,
    cuts: Annotated[
        bool,
        Option(
            "--cuts",
            help="Only cuts of workers, outages of the store and takeovers, and wide jobs.",
        ),
    ] = False,
) -> None:
    """Run real instances under random faults; exit with 1 if a guarantee is violated."""
    chosen_seed = Random().randrange(MAX_SEED) if seed is None else seed
    print(
        f"seed {chosen_seed}, {seconds:.0f} s, {instances} instances, {workers} workers", flush=True
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(ClusterSize(instances, workers), chosen_seed, Path(folder))
        try:
            _run_soak(cluster, seconds, chosen_seed, newer, cuts)
        finally:
            stop_all([instance.process for instance in cluster.instances])
        violations = cluster.violation_log.violations
        if violations and logs:
            shutil.copytree(folder, logs, dirs_exist_ok=True)
    print(f"seed {chosen_seed}: {len(violations)} guarantees violated")
    sys.exit(1 if violations else 0)


def main() -> None:
    """Run the soak from the command line."""
    app = Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(soak)
    app()


if __name__ == "__main__":
    main()
