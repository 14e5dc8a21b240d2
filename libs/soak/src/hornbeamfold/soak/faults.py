"""The faults that the soak injects; injecting one returns the function that undoes it."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from hornbeamfold.batch import Resources
from hornbeamfold.emulator.platform import CAPACITY
from hornbeamfold.emulator.workers import NO_FAULTS, EmulatedWorker, WorkerFaults
from hornbeamfold.soak.cluster import SPARE_KEY, ZONES, Cluster, Instance
from hornbeamfold.soak.proxy import NO_LINK_FAULT, Link, LinkFault

Undo = Callable[[], None]

# A draining worker leaves this long after it has reported that it drains.
DRAIN_DURATION_S = 3.0
# A worker that finishes its runs before it leaves says that it stays for this long, and is cut off
# once that is known.
LONG_DRAIN_MS = 20_000
DRAIN_NOTICE_S = 0.7
# Response time of a slow store: more than 60 times the usual 4 ms.
SLOW_STORE_MS = 250
LATE_EXECUTION_MS = 3_000
# Divisors of the capacity of a worker that shrinks.
SHRINK_DIVISORS = (2, 4)
NO_ACCELERATORS_PROBABILITY = 0.3
# Added to the duration of a shrink, which binds only after some seconds.
SHRINK_DURATION_S = 6.0
# How often the list of newer faults has a shrink, so that short runs have some.
SHRINK_WEIGHT = 6
# A Python program can't install a signal handler before its first line runs; until then SIGHUP
# would end the process.
INTERPRETER_START_MS = 150


@dataclass(frozen=True)
class SoakFault:
    """A named fault; `inject` returns the function to undo it, or None if it can't apply now."""

    name: str
    inject: Callable[[Cluster, Random], Undo | None]


def _no_undo() -> None:
    """Undo a fault that needs no undoing."""


def _reserve_instance(cluster: Cluster, rng: Random, coordinator: bool) -> Instance | None:
    """Return an instance and mark it busy; None if it is busy or there is no coordinator."""
    instance = cluster.coordinator() if coordinator else rng.choice(cluster.instances)
    if instance is None or instance.busy:
        return None
    instance.set_busy(True)
    return instance


def kill(coordinator: bool) -> Callable[[Cluster, Random], Undo | None]:
    """Return a fault that kills a process; undoing restarts it."""

    def inject(cluster: Cluster, rng: Random) -> Undo | None:
        instance = _reserve_instance(cluster, rng, coordinator)
        if instance is None:
            return None
        instance.mark_disturbed()
        instance.send_signal(signal.SIGKILL)

        def undo() -> None:
            instance.mark_disturbed()
            instance.restart()
            instance.set_busy(False)

        return undo

    return inject


def kill_all(cluster: Cluster, rng: Random) -> Undo | None:
    """Kill every process at once; undoing restarts all."""
    if any(instance.busy for instance in cluster.instances):
        return None
    for instance in cluster.instances:
        instance.set_busy(True)
        instance.mark_disturbed()
        instance.send_signal(signal.SIGKILL)

    def undo() -> None:
        for instance in cluster.instances:
            instance.mark_disturbed()
            instance.restart()
            instance.set_busy(False)

    return undo


def pause(coordinator: bool) -> Callable[[Cluster, Random], Undo | None]:
    """Return a fault that suspends a process; undoing resumes it."""

    def inject(cluster: Cluster, rng: Random) -> Undo | None:
        instance = _reserve_instance(cluster, rng, coordinator)
        if instance is None:
            return None
        instance.mark_disturbed()
        instance.send_signal(signal.SIGSTOP)

        def undo() -> None:
            instance.mark_disturbed()
            instance.send_signal(signal.SIGCONT)
            instance.set_busy(False)

        return undo

    return inject


def stop_gracefully(cluster: Cluster, rng: Random) -> Undo | None:
    """Stop a process gracefully, check that it exits in time, and restart it."""
    instance = _reserve_instance(cluster, rng, rng.random() < 0.5)
    if instance is None:
        return None

    def stop() -> None:
        code = instance.stop_gracefully()
        if code != 0:
            cluster.violation_log.add(
                "planned stops end in time", f"{instance.name}: exit code {code}"
            )
        instance.restart()
        instance.set_busy(False)

    cluster.run_after(0, stop)
    return _no_undo


def send_sighup(cluster: Cluster, rng: Random) -> Undo | None:
    """Send SIGHUP, as operators do after a change of the settings file."""
    instance = rng.choice(cluster.instances)
    if instance.age_ms < INTERPRETER_START_MS:
        return None
    instance.send_signal(signal.SIGHUP)
    return _no_undo


def link_fault(
    select_links: Callable[[Cluster, Random], list[tuple[Link, Instance | None]]], fault: LinkFault
) -> Callable[[Cluster, Random], Undo | None]:
    """Return a fault of the selected links; undoing clears it."""

    def inject(cluster: Cluster, rng: Random) -> Undo | None:
        chosen = [
            selected
            for selected in select_links(cluster, rng)
            if selected[0].fault == NO_LINK_FAULT
        ]
        for link, instance in chosen:
            link.set_fault(fault)
            if instance is not None:
                instance.mark_disturbed()

        def undo() -> None:
            for link, instance in chosen:
                link.set_fault(NO_LINK_FAULT)
                if instance is not None:
                    instance.mark_disturbed()

        return undo if chosen else None

    return inject


def link_action(
    select_links: Callable[[Cluster, Random], list[tuple[Link, Instance | None]]],
    action: Callable[[Link], None],
) -> Callable[[Cluster, Random], Undo | None]:
    """Return a fault that performs an action once on each selected link."""

    def inject(cluster: Cluster, rng: Random) -> Undo:
        for link, instance in select_links(cluster, rng):
            action(link)
            if instance is not None:
                instance.mark_disturbed()
        return _no_undo

    return inject


def random_store_links(cluster: Cluster, rng: Random) -> list[tuple[Link, Instance | None]]:
    """Return the store links of at least one instance, and of at most half of them."""
    instances = rng.sample(cluster.instances, rng.randint(1, max(1, len(cluster.instances) // 2)))
    return [(instance.store_link, instance) for instance in instances]


def coordinator_store_link(cluster: Cluster, rng: Random) -> list[tuple[Link, Instance | None]]:
    """Return the coordinator's link to the store, if an instance coordinates."""
    instance = cluster.coordinator()
    return [(instance.store_link, instance)] if instance is not None else []


def random_worker_links(cluster: Cluster, rng: Random) -> list[tuple[Link, Instance | None]]:
    """Return the links to at least one worker, and to at most a third of them."""
    links = list(cluster.worker_links.values())
    return [(link, None) for link in rng.sample(links, rng.randint(1, max(1, len(links) // 3)))]


def random_caller_link(cluster: Cluster, rng: Random) -> list[tuple[Link, Instance | None]]:
    """Return the link from callers to a random instance."""
    instance = rng.choice(cluster.instances)
    return [(instance.caller_link, instance)]


def store_fault(**fault: object) -> Callable[[Cluster, Random], Undo | None]:
    """Return a fault of the store that affects all instances."""

    def inject(cluster: Cluster, rng: Random) -> Undo:
        cluster.mark_all_disturbed()
        cluster.platform.store.faults.set(fault)

        def undo() -> None:
            cluster.platform.store.faults.set({})
            cluster.mark_all_disturbed()

        return undo

    return inject


def trim_store(cluster: Cluster, rng: Random) -> Undo:
    """Trim the history of the store; the newest records stay."""
    cluster.platform.store.trim_all()
    return _no_undo


def worker_fault(faults: WorkerFaults) -> Callable[[Cluster, Random], Undo | None]:
    """Return a fault of a random worker."""

    def inject(cluster: Cluster, rng: Random) -> Undo | None:
        fleet = cluster.platform.fleet
        worker_id = rng.choice(sorted(fleet.workers))
        fleet.workers[worker_id].set_faults(faults)

        def undo() -> None:
            if worker_id in fleet.workers:
                fleet.workers[worker_id].set_faults(NO_FAULTS)

        return undo

    return inject


def _restart_worker(cluster: Cluster, removed: EmulatedWorker) -> None:
    """Restart a worker under the same id, as a new incarnation."""
    cluster.platform.fleet.add(removed.restarted())


def crash_worker(cluster: Cluster, rng: Random) -> Undo | None:
    """Remove a worker with all its runs; undoing restarts it as a new incarnation."""
    fleet = cluster.platform.fleet
    emulated = fleet.workers[rng.choice(sorted(fleet.workers))]
    if emulated.worker.draining or len(fleet.workers) < len(cluster.worker_links) - 2:
        return None
    fleet.crash(emulated.worker.worker_id)
    return lambda: _restart_worker(cluster, emulated)


def crash_and_restart_worker(cluster: Cluster, rng: Random) -> Undo | None:
    """Crash a worker and restart it at once under the same id."""
    undo = crash_worker(cluster, rng)
    if undo is not None:
        undo()
    return _no_undo


def drain_worker(cluster: Cluster, rng: Random) -> Undo | None:
    """Drain a worker and remove it; undoing restarts it."""
    fleet = cluster.platform.fleet
    emulated = fleet.workers[rng.choice(sorted(fleet.workers))]
    if emulated.worker.draining or len(fleet.workers) < len(cluster.worker_links) - 2:
        return None
    emulated.update_description(draining=True)
    cluster.platform.report_workers()
    worker = emulated.worker
    cluster.checker.on_worker_draining(worker)
    cluster.run_after(DRAIN_DURATION_S, lambda: fleet.remove(worker.worker_id))
    return lambda: cluster.run_after(DRAIN_DURATION_S, lambda: _restart_worker(cluster, emulated))


def refuse_connections(cluster: Cluster, rng: Random) -> Undo | None:
    """Cut workers off with resets and refused connections; they run on."""
    chosen = [link for link, _ in random_worker_links(cluster, rng) if not link.shut]
    for link in chosen:
        link.shut_down()

    def undo() -> None:
        for link in chosen:
            link.reopen()

    return undo if chosen else None


def cut_off_leaving_worker(cluster: Cluster, rng: Random) -> Undo | None:
    """Drain a worker, and cut it off with refused connections while it finishes its runs."""
    busy = [
        emulated
        for _, emulated in sorted(cluster.platform.fleet.workers.items())
        if emulated.run_names and not emulated.worker.draining
    ]
    if not busy or len(cluster.platform.fleet.workers) < len(cluster.worker_links) - 2:
        return None
    emulated = rng.choice(busy)
    worker = emulated.worker
    link = cluster.worker_links[worker.worker_id]
    emulated.update_description(draining=True, drain_remaining_ms=LONG_DRAIN_MS)
    cluster.platform.report_workers()
    cluster.checker.on_worker_draining(worker)
    cluster.run_after(DRAIN_NOTICE_S, link.shut_down)

    def undo() -> None:
        link.reopen()
        cluster.run_after(DRAIN_DURATION_S, lambda: cluster.platform.fleet.remove(worker.worker_id))
        cluster.run_after(2 * DRAIN_DURATION_S, lambda: _restart_worker(cluster, emulated))

    return undo


def shrink_worker(cluster: Cluster, rng: Random) -> Undo | None:
    """Shrink the capacity of a worker, possibly below what it runs; undoing restores it."""
    fleet = cluster.platform.fleet
    emulated = fleet.workers[rng.choice(sorted(fleet.workers))]
    divisor = rng.choice(SHRINK_DIVISORS)
    no_accelerators = rng.random() < NO_ACCELERATORS_PROBABILITY
    if emulated.worker.capacity != CAPACITY:
        return None
    smaller = Resources(
        CAPACITY.cpu_millis // divisor,
        CAPACITY.memory_mb // divisor,
        0 if no_accelerators else CAPACITY.accelerators // divisor,
    )
    cluster.set_capacity(emulated, smaller)
    return lambda: cluster.run_after(
        SHRINK_DURATION_S, lambda: cluster.set_capacity(emulated, CAPACITY)
    )


def take_zone_out_of_service(cluster: Cluster, rng: Random) -> Undo:
    """Take a zone out of service; undoing returns it to service."""
    zone = rng.choice(ZONES)
    cluster.take_zone_out_of_service(zone)
    return lambda: cluster.return_zone_to_service(zone)


def publish_configurations(cluster: Cluster, rng: Random) -> Undo:
    """Publish several configuration versions in quick succession."""
    for _ in range(rng.randint(1, 4)):
        cluster.publish_configuration(cluster.keys)
    return _no_undo


def revoke_key(cluster: Cluster, rng: Random) -> Undo | None:
    """Revoke the spare API key; undoing restores it."""
    if SPARE_KEY not in cluster.keys:
        return None
    cluster.publish_configuration(tuple(key for key in cluster.keys if key != SPARE_KEY))
    cluster.checker.on_key_revoked(SPARE_KEY)

    def undo() -> None:
        cluster.checker.on_key_restored(SPARE_KEY)
        cluster.publish_configuration((*cluster.keys, SPARE_KEY))

    return undo


PARTITIONED = LinkFault(to_target=False, to_caller=False)
ANSWERS_HELD = LinkFault(to_caller=False)
CALLS_HELD = LinkFault(to_target=False)
DELAYED = LinkFault(delay_ms=150)
CONNECTIONS_REFUSED = LinkFault(refuse=True)

FAULTS: tuple[SoakFault, ...] = (
    SoakFault("kill", kill(coordinator=False)),
    SoakFault("kill the coordinator", kill(coordinator=True)),
    SoakFault("kill all", kill_all),
    SoakFault("pause", pause(coordinator=False)),
    SoakFault("pause the coordinator", pause(coordinator=True)),
    SoakFault("planned stop", stop_gracefully),
    SoakFault("SIGHUP", send_sighup),
    SoakFault("cut from the store", link_fault(random_store_links, PARTITIONED)),
    SoakFault("coordinator cut from the store", link_fault(coordinator_store_link, PARTITIONED)),
    SoakFault("answers of the store held", link_fault(random_store_links, ANSWERS_HELD)),
    SoakFault("calls to the store held", link_fault(coordinator_store_link, CALLS_HELD)),
    SoakFault("slow way to the store", link_fault(random_store_links, DELAYED)),
    SoakFault("store resets some", link_fault(random_store_links, CONNECTIONS_REFUSED)),
    SoakFault("connections to the store reset", link_action(random_store_links, Link.reset)),
    SoakFault("connections to the store silent", link_action(random_store_links, Link.silence)),
    SoakFault("workers cut", link_fault(random_worker_links, PARTITIONED)),
    SoakFault("answers of workers held", link_fault(random_worker_links, ANSWERS_HELD)),
    SoakFault("calls to workers held", link_fault(random_worker_links, CALLS_HELD)),
    SoakFault("slow way to workers", link_fault(random_worker_links, DELAYED)),
    SoakFault("connections to workers reset", link_action(random_worker_links, Link.reset)),
    SoakFault("connections to workers silent", link_action(random_worker_links, Link.silence)),
    SoakFault("callers cut", link_fault(random_caller_link, PARTITIONED)),
    SoakFault("slow callers", link_fault(random_caller_link, DELAYED)),
    SoakFault("connections of callers reset", link_action(random_caller_link, Link.reset)),
    SoakFault("store down", store_fault(down=True)),
    SoakFault("store silent", store_fault(silent=True)),
    SoakFault("store slow", store_fault(slow_ms=SLOW_STORE_MS)),
    SoakFault("store loses answers", store_fault(lost=True, share=0.35)),
    SoakFault("store writes late", store_fault(late_ms=LATE_EXECUTION_MS, share=0.35)),
    SoakFault("store drops its history", trim_store),
    SoakFault("worker fails all", worker_fault(WorkerFaults(fails=True))),
    SoakFault("tasks stand still", worker_fault(WorkerFaults(hangs=True))),
    SoakFault("worker refuses", worker_fault(WorkerFaults(unhealthy=True))),
    SoakFault("worker slow", worker_fault(WorkerFaults(slow=6.0))),
    SoakFault("orders carried out late", worker_fault(WorkerFaults(late_ms=LATE_EXECUTION_MS))),
    SoakFault("worker crashes", crash_worker),
    SoakFault("worker reborn", crash_and_restart_worker),
    SoakFault("worker drains", drain_worker),
    SoakFault("zone out", take_zone_out_of_service),
    SoakFault("configurations", publish_configurations),
    SoakFault("key revoked", revoke_key),
)

# Faults that recorded seeds lack, because they would change what these seeds replay.
NEWER_FAULTS: tuple[SoakFault, ...] = (
    *FAULTS,
    *[SoakFault("worker shrinks", shrink_worker)] * SHRINK_WEIGHT,
)

# Workers that are cut off while they run on, ends that gather while the store is away, takeovers.
CUT_FAULTS: tuple[SoakFault, ...] = (
    *[SoakFault("workers refuse connections", refuse_connections)] * 3,
    *[SoakFault("leaving worker refuses connections", cut_off_leaving_worker)] * 4,
    *[SoakFault("store down", store_fault(down=True))] * 3,
    *[SoakFault("store silent", store_fault(silent=True))] * 2,
    SoakFault("store loses answers", store_fault(lost=True, share=0.35)),
    SoakFault("store writes late", store_fault(late_ms=LATE_EXECUTION_MS, share=0.35)),
    SoakFault("store drops its history", trim_store),
    SoakFault("coordinator cut from the store", link_fault(coordinator_store_link, PARTITIONED)),
    *[SoakFault("kill the coordinator", kill(coordinator=True))] * 2,
    SoakFault("pause the coordinator", pause(coordinator=True)),
    SoakFault("answers of workers held", link_fault(random_worker_links, ANSWERS_HELD)),
    SoakFault("connections to workers reset", link_action(random_worker_links, Link.reset)),
    SoakFault("orders carried out late", worker_fault(WorkerFaults(late_ms=LATE_EXECUTION_MS))),
    SoakFault("worker reborn", crash_and_restart_worker),
    SoakFault("worker drains", drain_worker),
)
