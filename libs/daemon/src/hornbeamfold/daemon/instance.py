"""Builds the components of an entry instance, starts its green threads and stops them."""

import os
from dataclasses import dataclass
from random import Random
from uuid import uuid4

import eventlet

from hornbeamfold.daemon.claims import ClaimService
from hornbeamfold.daemon.clock import Clock, monotonic_ms, wall_ms
from hornbeamfold.daemon.dispatch import MIN_INSTANCES, WORKER_CONNECTIONS, Dispatcher
from hornbeamfold.daemon.follower import LogFollower, load_view
from hornbeamfold.daemon.frontend import DaemonFrontend, DaemonPeerFrontend
from hornbeamfold.daemon.heartbeat import heartbeat_source
from hornbeamfold.daemon.http import serve_http
from hornbeamfold.daemon.idempotent import IdempotentService, verify_answer
from hornbeamfold.daemon.job_ages import JobAges
from hornbeamfold.daemon.job_losses import JobLosses
from hornbeamfold.daemon.jobs import JobService
from hornbeamfold.daemon.operators import OperatorService
from hornbeamfold.daemon.peering import Peering
from hornbeamfold.daemon.placer import Placer
from hornbeamfold.daemon.requests import RequestService
from hornbeamfold.daemon.resolver import ClaimResolver
from hornbeamfold.daemon.session_manager import SessionManager
from hornbeamfold.daemon.snapshots import Snapshotter
from hornbeamfold.daemon.worker_session import SessionContext
from hornbeamfold.logclient import Expired, LogClient, LogFailure, LogWriter, follow
from hornbeamfold.membership import Freshness, ListClient, PeerTable
from hornbeamfold.model.timing import HEARTBEAT_INTERVAL_MS
from hornbeamfold.placement import guarantees_fit
from hornbeamfold.rpc.server import ServerHandle, serve
from hornbeamfold.rpc.services import build_services
from hornbeamfold.settings import Settings
from hornbeamfold.telemetry import gauge, get_logger, keep_running, log_exceptions
from hornbeamfold.workers import WorkerClient

LOAD_RETRY_MS = 500
# With longer polls, the time between two reads of an idle log would take up most of the freshness
# bound.
READ_WAIT_MS = 500
STOP_POLL_MS = 50
# After this instance has left the ranking, it keeps renewing the leases on its workers for this
# long, until other instances have taken them over.
HANDOVER_MS = 2 * HEARTBEAT_INTERVAL_MS + 500
# The part of the stop bound that is reserved for the log, the instance list and the server.
STOP_RESERVE_MS = 4_000

logger = get_logger("hornbeamfold.daemon.instance")


@dataclass(frozen=True)
class Components:
    """The components of an instance."""

    follower: LogFollower
    client: LogClient
    writer: LogWriter
    peers: PeerTable
    freshness: Freshness
    dispatcher: Dispatcher
    requests: RequestService
    resolver: ClaimResolver
    session_manager: SessionManager
    placer: Placer
    peering: Peering
    snapshotter: Snapshotter
    frontend: DaemonFrontend
    peer_frontend: DaemonPeerFrontend


class Lifecycle:
    """Tracks whether the instance is draining."""

    def __init__(self) -> None:
        self._draining = False

    @property
    def draining(self) -> bool:
        """Whether the instance refuses new work."""
        return self._draining

    def drain(self) -> None:
        """Refuse new work from now on."""
        self._draining = True


def build(
    settings: Settings,
    lifecycle: Lifecycle,
    clock: Clock = monotonic_ms,
    wall_clock: Clock = wall_ms,
) -> Components:
    """Create all components of an instance without starting any green thread."""
    incarnation = f"{settings.name}-{uuid4().hex[:12]}"
    peers = PeerTable(settings.name, settings.region)
    freshness = Freshness(peers, settings.region)
    client = LogClient(settings.log_url, clock, settings.name, settings.availability_zone)
    writer = LogWriter(incarnation, client.append, clock)
    follower = LogFollower(guarantees_fit, writer, freshness, clock)
    workers = WorkerClient(
        clock,
        WORKER_CONNECTIONS // MIN_INSTANCES,
        instance=settings.name,
        availability_zone=settings.availability_zone,
    )
    dispatcher = Dispatcher(
        settings.name,
        settings.availability_zone,
        settings.region,
        follower,
        peers,
        workers,
        clock,
        wall_clock,
        settings.max_queue,
        Random(incarnation),
    )
    job_ages = JobAges(clock)

    session_context = SessionContext(
        name=settings.name,
        follower=follower,
        writer=writer,
        freshness=freshness,
        client=workers,
        job_ages=job_ages,
        job_losses=JobLosses(),
        clock=clock,
        wall_clock=wall_clock,
        interval_ms=settings.sync_interval_ms,
        on_load=dispatcher.on_worker_load,
        leaving_workers=lambda: peers.leaving_workers,
        worker_count=lambda: len(session_manager.assigned_workers),
    )
    session_manager = SessionManager(session_context, peers)

    def leaving_workers() -> frozenset[str]:
        return session_manager.leaving_workers | peers.leaving_workers

    def confirm(since_ms: int, timeout_ms: int) -> bool:
        return follower.confirm(client.read, since_ms, timeout_ms)

    def unavailable() -> frozenset[str]:
        """Return workers that get no new tasks: leaving ones, and those ejected by an instance."""
        reported = set(leaving_workers()) | set(dispatcher.set_aside)
        now = clock()
        for state in peers.peers().values():
            if state.is_recent(now):
                reported.update(state.heartbeat.set_aside)
        return frozenset(reported)

    def update_own_unavailable() -> frozenset[str]:
        dispatcher.set_leaving(unavailable() - frozenset(dispatcher.set_aside))
        return leaving_workers() | frozenset(dispatcher.set_aside)

    claims = ClaimService(
        incarnation,
        follower,
        writer,
        confirm,
        freshness,
        dispatcher,
        workers,
        verify_answer,
        clock,
        wall_clock,
        lambda: lifecycle.draining,
    )
    resolver = ClaimResolver(
        incarnation,
        follower,
        writer,
        freshness,
        peers,
        workers,
        claims.is_serving,
        claims.was_sent,
        clock,
        wall_clock,
    )
    peering = Peering(
        settings,
        peers,
        freshness,
        follower,
        ListClient(settings.instances_url, settings.name),
        clock,
        heartbeat_source(
            settings,
            incarnation,
            lambda: peering.address,
            peers,
            freshness,
            follower,
            dispatcher,
            update_own_unavailable,
            lambda: lifecycle.draining,
            clock,
        ),
    )
    requests = RequestService(
        follower,
        confirm,
        IdempotentService(incarnation, freshness, dispatcher, clock, wall_clock),
        dispatcher,
        claims,
        peering.find_answer,
        peering.cancel_waiting,
        clock,
        wall_clock,
        lambda: lifecycle.draining,
    )
    jobs = JobService(follower, writer, confirm, clock, wall_clock, lambda: lifecycle.draining)
    operators = OperatorService(
        settings, lambda: peering.address, follower, writer, peers, freshness, clock
    )
    placer = Placer(
        follower,
        writer,
        peers,
        freshness,
        job_ages,
        clock,
        wall_clock,
        unavailable,
        leaving_workers,
    )
    snapshotter = Snapshotter(
        follower, writer, peers, freshness, clock, wall_clock, settings.log_retention_ms
    )
    follower.add_listener(writer.folded)
    follower.add_listener(session_manager.on_applied)
    follower.add_listener(dispatcher.on_applied)
    _register_gauges(follower, freshness, session_manager, peers, clock)
    return Components(
        follower,
        client,
        writer,
        peers,
        freshness,
        dispatcher,
        requests,
        resolver,
        session_manager,
        placer,
        peering,
        snapshotter,
        DaemonFrontend(requests, jobs, operators),
        DaemonPeerFrontend(peers, dispatcher, requests, follower, clock),
    )


def _register_gauges(
    follower: LogFollower,
    freshness: Freshness,
    session_manager: SessionManager,
    peers: PeerTable,
    clock: Clock,
) -> None:
    gauge("hornbeamfold_log_offset", "Folded offset", lambda: follower.view.offset)
    gauge(
        "hornbeamfold_configuration_offset",
        "Offset of the configuration in force",
        lambda: follower.view.configuration_offset,
    )
    gauge(
        "hornbeamfold_confirmed_age",
        "Age of the last confirmation of the log's end in ms",
        lambda: freshness.confirmed_age(clock()),
    )
    gauge(
        "hornbeamfold_kept_workers",
        "Workers kept here",
        lambda: len(session_manager.assigned_workers),
    )
    gauge("hornbeamfold_live_instances", "Live instances", lambda: len(peers.live(clock())))
    gauge("hornbeamfold_queued_jobs", "Jobs in the queue", lambda: len(follower.view.queued))


def follow_log(components: Components, clock: Clock, bootstrap: bool) -> None:
    """Load the view and follow the log without end; reload the view when entries have expired."""
    follower = components.follower
    _load_view_with_retry(components, clock, bootstrap)

    def on_failure(failure: LogFailure | Expired) -> None:
        if isinstance(failure, LogFailure):
            follower.on_failure(failure)
            return
        logger.warning(
            "Entries have expired before they were read; loading a snapshot",
            extra={"first": failure.first, "offset": follower.view.offset},
        )
        _load_view_with_retry(components, clock, False)

    follow(
        components.client.read,
        follower.next_offset,
        follower.on_entries,
        on_failure,
        # After a lost reply the writer resends only once a read has reached the end of the log, so
        # that read must not be a long poll.
        wait_ms=lambda: 0 if components.writer.awaiting_confirmation else READ_WAIT_MS,
        on_skipped=follower.on_skipped,
    )


def _load_view_with_retry(components: Components, clock: Clock, bootstrap: bool) -> None:
    while True:
        loaded = load_view(components.client, components.follower.guarantees_fit, clock, bootstrap)
        if not isinstance(loaded, LogFailure):
            components.follower.replace_view(loaded)
            return
        components.follower.on_failure(loaded)
        eventlet.sleep(LOAD_RETRY_MS / 1_000)


def start(components: Components, settings: Settings, lifecycle: Lifecycle) -> ServerHandle:
    """Start the server and the green threads; return the server's handle."""
    handlers = build_services(components.frontend, components.peer_frontend)
    server = serve(settings.rpc_address, handlers)
    # Called again after an exception, the writer would take its last record for stored.
    eventlet.spawn(log_exceptions(components.writer.run))
    eventlet.spawn(keep_running(follow_log), components, monotonic_ms, settings.bootstrap)
    components.peering.start(server.address)
    eventlet.spawn(keep_running(components.session_manager.run))
    eventlet.spawn(keep_running(components.placer.run))
    eventlet.spawn(keep_running(components.resolver.run))
    eventlet.spawn(keep_running(components.dispatcher.run_queue))
    eventlet.spawn(keep_running(components.snapshotter.run))

    def ready() -> str:
        if lifecycle.draining:
            return "draining"
        if not components.follower.ready:
            return "the log has not been read yet"
        return ""

    http = serve_http(settings.http_address, ready)
    logger.info(
        "Serving",
        extra={"rpc_address": server.address, "http_address": http, "pid": os.getpid()},
    )
    return server


def stop(
    components: Components, server: ServerHandle, settings: Settings, lifecycle: Lifecycle
) -> None:
    """Drain and stop within the bound; requests that have not ended are left to other instances."""
    deadline = monotonic_ms() + settings.stop_bound_ms - STOP_RESERVE_MS
    lifecycle.drain()
    components.peers.set_leaving()
    components.placer.stop()
    components.peering.leave()
    # The next heartbeat tells the peers that this instance leaves, and they take over its workers.
    eventlet.sleep(HANDOVER_MS / 1_000)
    while components.requests.in_flight and monotonic_ms() < deadline:
        eventlet.sleep(STOP_POLL_MS / 1_000)
    handed_over = components.requests.release_callers()
    components.session_manager.stop()
    written = components.writer.drain(max(500, deadline - monotonic_ms()))
    components.peering.stop()
    server.stop(1_000)
    logger.info("Stopped", extra={"handed_over": handed_over, "written": written})
