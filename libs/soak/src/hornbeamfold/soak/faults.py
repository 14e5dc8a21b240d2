"""The faults of the soak: each begins, lasts, and ends by a function that undoes it."""

import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from hornbeamfold.batch import Worker, unix_ms
from hornbeamfold.emulator.workers import NO_FAULTS, WorkerFaults
from hornbeamfold.soak.cluster import SPARE_KEY, ZONES, Node, Scene
from hornbeamfold.soak.proxy import SOUND, Link, LinkFault

Undo = Callable[[], None]

# A worker that drains is gone this long after its report.
DRAIN_TIME_S = 3.0
# The store's answers in a slow spell; 60 times the usual 4 ms and more.
SLOW_STORE_MS = 250
LATE_MS = 3_000
# Before its first line runs, no program in this language can say what a signal does.
INTERPRETER_START_MS = 150


@dataclass(frozen=True)
class SoakFault:
    """A fault by name; `begin` returns what ends it, or None if it does not apply now."""

    name: str
    begin: Callable[[Scene, Random], Undo | None]


def _nothing() -> None:
    """End a fault that is over by itself."""


def _free_node(scene: Scene, rng: Random, coordinator: bool) -> Node | None:
    """Return an instance whose process has no fault, and mark it as having one."""
    node = scene.coordinator() if coordinator else rng.choice(scene.nodes)
    if node is None or node.busy:
        return None
    node.occupy(True)
    return node


def kill(coordinator: bool) -> Callable[[Scene, Random], Undo | None]:
    """Kill a process; it is started again at the end."""

    def begin(scene: Scene, rng: Random) -> Undo | None:
        node = _free_node(scene, rng, coordinator)
        if node is None:
            return None
        node.disturb()
        node.send(signal.SIGKILL)

        def end() -> None:
            node.disturb()
            node.restart()
            node.occupy(False)

        return end

    return begin


def kill_all(scene: Scene, rng: Random) -> Undo | None:
    """Kill every process at once; all are started again at the end."""
    if any(node.busy for node in scene.nodes):
        return None
    for node in scene.nodes:
        node.occupy(True)
        node.disturb()
        node.send(signal.SIGKILL)

    def end() -> None:
        for node in scene.nodes:
            node.disturb()
            node.restart()
            node.occupy(False)

    return end


def pause(coordinator: bool) -> Callable[[Scene, Random], Undo | None]:
    """Suspend a process and wake it at the end."""

    def begin(scene: Scene, rng: Random) -> Undo | None:
        node = _free_node(scene, rng, coordinator)
        if node is None:
            return None
        node.disturb()
        node.send(signal.SIGSTOP)

        def end() -> None:
            node.disturb()
            node.send(signal.SIGCONT)
            node.occupy(False)

        return end

    return begin


def stop_planned(scene: Scene, rng: Random) -> Undo | None:
    """Stop a process as planned; it has to end in time, and is started again."""
    node = _free_node(scene, rng, rng.random() < 0.5)
    if node is None:
        return None

    def stop() -> None:
        code = node.stop_planned()
        if code != 0:
            scene.violations.add("planned stops end in time", f"{node.name}: exit code {code}")
        node.restart()
        node.occupy(False)

    scene.later(0, stop)
    return _nothing


def hang_up(scene: Scene, rng: Random) -> Undo | None:
    """Send SIGHUP, as after a change of the settings file."""
    node = rng.choice(scene.nodes)
    if node.age_ms < INTERPRETER_START_MS:
        return None
    node.send(signal.SIGHUP)
    return _nothing


def on_link(
    links: Callable[[Scene, Random], list[tuple[Link, Node | None]]], fault: LinkFault
) -> Callable[[Scene, Random], Undo | None]:
    """Put a fault on some links, and clear it at the end."""

    def begin(scene: Scene, rng: Random) -> Undo | None:
        chosen = [each for each in links(scene, rng) if each[0].fault == SOUND]
        for link, node in chosen:
            link.set_fault(fault)
            if node is not None:
                node.disturb()

        def end() -> None:
            for link, node in chosen:
                link.set_fault(SOUND)
                if node is not None:
                    node.disturb()

        return end if chosen else None

    return begin


def once(
    links: Callable[[Scene, Random], list[tuple[Link, Node | None]]], act: Callable[[Link], None]
) -> Callable[[Scene, Random], Undo | None]:
    """Do something to some links once."""

    def begin(scene: Scene, rng: Random) -> Undo:
        for link, node in links(scene, rng):
            act(link)
            if node is not None:
                node.disturb()
        return _nothing

    return begin


def store_links(scene: Scene, rng: Random) -> list[tuple[Link, Node | None]]:
    """Return the way to the store of one instance, or of several."""
    nodes = rng.sample(scene.nodes, rng.randint(1, max(1, len(scene.nodes) // 2)))
    return [(node.store_link, node) for node in nodes]


def coordinator_link(scene: Scene, rng: Random) -> list[tuple[Link, Node | None]]:
    """Return the coordinator's way to the store."""
    node = scene.coordinator()
    return [(node.store_link, node)] if node is not None else []


def worker_links(scene: Scene, rng: Random) -> list[tuple[Link, Node | None]]:
    """Return the way to some workers."""
    links = list(scene.worker_links.values())
    return [(link, None) for link in rng.sample(links, rng.randint(1, max(1, len(links) // 3)))]


def caller_links(scene: Scene, rng: Random) -> list[tuple[Link, Node | None]]:
    """Return the way of callers to one instance."""
    node = rng.choice(scene.nodes)
    return [(node.caller_link, node)]


def store_fault(**fault: object) -> Callable[[Scene, Random], Undo | None]:
    """Put a fault on the store, for all instances."""

    def begin(scene: Scene, rng: Random) -> Undo:
        scene.disturb_all()
        scene.platform.store.faults.set(fault)

        def end() -> None:
            scene.platform.store.faults.set({})
            scene.disturb_all()

        return end

    return begin


def trim_store(scene: Scene, rng: Random) -> Undo:
    """Let the store drop its history; the newest records stay."""
    scene.platform.store.trim_all()
    return _nothing


def worker_fault(faults: WorkerFaults) -> Callable[[Scene, Random], Undo | None]:
    """Let a worker misbehave."""

    def begin(scene: Scene, rng: Random) -> Undo | None:
        fleet = scene.platform.fleet
        worker_id = rng.choice(sorted(fleet.workers))
        fleet.workers[worker_id].set_faults(faults)

        def end() -> None:
            if worker_id in fleet.workers:
                fleet.workers[worker_id].set_faults(NO_FAULTS)

        return end

    return begin


def _return_worker(scene: Scene, worker: Worker) -> None:
    """Start a worker again under its id, as a new incarnation."""
    fresh = replace(worker, born_ms=unix_ms(), draining=False)
    scene.platform.fleet.add(fresh)


def crash_worker(scene: Scene, rng: Random) -> Undo | None:
    """Lose a worker with all that runs there; it comes back as a new incarnation."""
    fleet = scene.platform.fleet
    worker = fleet.workers[rng.choice(sorted(fleet.workers))].worker
    if worker.draining or len(fleet.workers) < len(scene.worker_links) - 2:
        return None
    fleet.remove(worker.worker_id)
    return lambda: _return_worker(scene, worker)


def rebirth(scene: Scene, rng: Random) -> Undo | None:
    """Let a worker crash and start again at once under its id."""
    end = crash_worker(scene, rng)
    if end is not None:
        end()
    return _nothing


def drain_worker(scene: Scene, rng: Random) -> Undo | None:
    """Let a worker drain and leave; it comes back at the end."""
    fleet = scene.platform.fleet
    emulated = fleet.workers[rng.choice(sorted(fleet.workers))]
    if emulated.worker.draining or len(fleet.workers) < len(scene.worker_links) - 2:
        return None
    emulated.describe(draining=True)
    scene.platform.report_workers()
    worker = emulated.worker
    scene.witness.draining(worker)
    scene.later(DRAIN_TIME_S, lambda: fleet.remove(worker.worker_id))
    return lambda: scene.later(DRAIN_TIME_S, lambda: _return_worker(scene, worker))


def zone_out(scene: Scene, rng: Random) -> Undo:
    """Take a zone out of service, and back at the end."""
    zone = rng.choice(ZONES)
    scene.take_zone_out(zone)
    return lambda: scene.take_zone_back(zone)


def change_configuration(scene: Scene, rng: Random) -> Undo:
    """Publish some versions in quick succession."""
    for _ in range(rng.randint(1, 4)):
        scene.configure(scene.keys)
    return _nothing


def revoke_key(scene: Scene, rng: Random) -> Undo | None:
    """Take the spare key away, and give it back at the end."""
    if SPARE_KEY not in scene.keys:
        return None
    scene.configure(tuple(key for key in scene.keys if key != SPARE_KEY))
    scene.witness.key_revoked(SPARE_KEY)

    def end() -> None:
        scene.witness.key_returns(SPARE_KEY)
        scene.configure((*scene.keys, SPARE_KEY))

    return end


CUT = LinkFault(to_target=False, to_caller=False)
NO_ANSWERS = LinkFault(to_caller=False)
NO_CALLS = LinkFault(to_target=False)
SLOW = LinkFault(delay_ms=150)
REFUSING = LinkFault(refuse=True)

FAULTS: tuple[SoakFault, ...] = (
    SoakFault("kill", kill(coordinator=False)),
    SoakFault("kill the coordinator", kill(coordinator=True)),
    SoakFault("kill all", kill_all),
    SoakFault("pause", pause(coordinator=False)),
    SoakFault("pause the coordinator", pause(coordinator=True)),
    SoakFault("planned stop", stop_planned),
    SoakFault("SIGHUP", hang_up),
    SoakFault("cut from the store", on_link(store_links, CUT)),
    SoakFault("coordinator cut from the store", on_link(coordinator_link, CUT)),
    SoakFault("answers of the store held", on_link(store_links, NO_ANSWERS)),
    SoakFault("calls to the store held", on_link(coordinator_link, NO_CALLS)),
    SoakFault("slow way to the store", on_link(store_links, SLOW)),
    SoakFault("store resets some", on_link(store_links, REFUSING)),
    SoakFault("connections to the store reset", once(store_links, Link.reset)),
    SoakFault("connections to the store silent", once(store_links, Link.silence)),
    SoakFault("workers cut", on_link(worker_links, CUT)),
    SoakFault("answers of workers held", on_link(worker_links, NO_ANSWERS)),
    SoakFault("calls to workers held", on_link(worker_links, NO_CALLS)),
    SoakFault("slow way to workers", on_link(worker_links, SLOW)),
    SoakFault("connections to workers reset", once(worker_links, Link.reset)),
    SoakFault("connections to workers silent", once(worker_links, Link.silence)),
    SoakFault("callers cut", on_link(caller_links, CUT)),
    SoakFault("slow callers", on_link(caller_links, SLOW)),
    SoakFault("connections of callers reset", once(caller_links, Link.reset)),
    SoakFault("store down", store_fault(down=True)),
    SoakFault("store silent", store_fault(silent=True)),
    SoakFault("store slow", store_fault(slow_ms=SLOW_STORE_MS)),
    SoakFault("store loses answers", store_fault(lost=True, share=0.35)),
    SoakFault("store writes late", store_fault(late_ms=LATE_MS, share=0.35)),
    SoakFault("store drops its history", trim_store),
    SoakFault("worker fails all", worker_fault(WorkerFaults(fails=True))),
    SoakFault("tasks stand still", worker_fault(WorkerFaults(hangs=True))),
    SoakFault("worker refuses", worker_fault(WorkerFaults(unhealthy=True))),
    SoakFault("worker slow", worker_fault(WorkerFaults(slow=6.0))),
    SoakFault("orders carried out late", worker_fault(WorkerFaults(late_ms=LATE_MS))),
    SoakFault("worker crashes", crash_worker),
    SoakFault("worker reborn", rebirth),
    SoakFault("worker drains", drain_worker),
    SoakFault("zone out", zone_out),
    SoakFault("configurations", change_configuration),
    SoakFault("key revoked", revoke_key),
)
