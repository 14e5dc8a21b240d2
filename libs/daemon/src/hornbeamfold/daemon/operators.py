"""Configuration changes and queries for operators."""

from collections.abc import Callable

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.writes import rejection, write_event
from hornbeamfold.logclient import LogWriter
from hornbeamfold.membership import Freshness, PeerTable
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.events import (
    Event,
    OrganisationPut,
    OrganisationRemoved,
    TargetDrain,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.model.status import Change, Configuration, InstanceStatus, PlacementList
from hornbeamfold.model.topology import AvailabilityZone, Organisation, Worker
from hornbeamfold.placement import fragmentation, guarantees_fit
from hornbeamfold.settings import Settings
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.daemon.operators")


class OperatorService:
    """Publishes configuration changes through the log and reports the configuration in force."""

    def __init__(
        self,
        settings: Settings,
        address: Callable[[], str],
        follower: LogFollower,
        writer: LogWriter,
        peers: PeerTable,
        freshness: Freshness,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._address = address
        self._follower = follower
        self._writer = writer
        self._peers = peers
        self._freshness = freshness
        self._clock = clock

    def put_organisation(self, organisation: Organisation) -> Change | Refused:
        """Create or change an organisation."""
        return self._publish(
            OrganisationPut(
                organisation.name,
                organisation.guarantee,
                organisation.weight,
                organisation.version,
            )
        )

    def remove_organisation(self, name: str, version: int) -> Change | Refused:
        """Remove an organisation."""
        return self._publish(OrganisationRemoved(name, version))

    def set_zone(self, zone: AvailabilityZone) -> Change | Refused:
        """Take an availability zone out of service or bring it back."""
        return self._publish(ZoneSet(zone.name, zone.region, zone.in_service, zone.version))

    def drain_target(self, worker: str, draining: bool, version: int) -> Change | Refused:
        """Start or end the drain of a worker."""
        return self._publish(TargetDrain(worker, draining, version))

    def put_workers(
        self, workers: tuple[Worker, ...], removed: tuple[str, ...], version: int
    ) -> Change | Refused:
        """Add, replace and remove workers."""
        return self._publish(WorkersPut(workers, removed, version))

    def configuration(self) -> Configuration:
        """Return the configuration in force here, with the configuration offsets of all peers."""
        view = self._follower.view
        now = self._clock()
        instances = {self._settings.name: view.configuration_offset}
        for name, state in self._peers.peers().items():
            if state.is_recent(now):
                instances[name] = state.heartbeat.configuration_offset
        in_service = [
            capacity
            for capacity in view.capacities.values()
            if view.zones[capacity.worker.availability_zone].in_service
        ]
        organisations = tuple(view.organisations.values())
        return Configuration(
            view.configuration_offset,
            organisations,
            tuple(view.zones.values()),
            tuple(view.workers.values()),
            frozenset(view.draining),
            view.workers_version,
            instances,
            bool(guarantees_fit(organisations, in_service)),
        )

    def placements(self) -> PlacementList:
        """Return the active jobs and the free accelerators."""
        view = self._follower.view
        free = sum(capacity.free_mask.bit_count() for capacity in view.capacities.values())
        shares = fragmentation(view.capacities, ())
        return PlacementList(tuple(view.active.values()), free, shares.largest_run, view.offset)

    def instances(self) -> tuple[InstanceStatus, ...]:
        """Return the entry instances and their states as this instance sees them."""
        now = self._clock()
        view = self._follower.view
        statuses = [
            InstanceStatus(
                self._settings.name,
                self._address(),
                self._settings.availability_zone,
                "self",
                view.offset,
                view.configuration_offset,
                self._freshness.own_confirmed_age(now),
                self._freshness.log_reachable,
            )
        ]
        for name, state in sorted(self._peers.peers().items()):
            heartbeat = state.heartbeat
            state_label = "live" if state.is_recent(now) else "suspected"
            statuses.append(
                InstanceStatus(
                    name,
                    heartbeat.address,
                    heartbeat.availability_zone,
                    "leaving" if heartbeat.leaving else state_label,
                    heartbeat.log_offset,
                    heartbeat.configuration_offset,
                    heartbeat.confirmed_age_ms + now - state.received_ms,
                    heartbeat.log_reachable,
                )
            )
        return tuple(statuses)

    def _publish(self, event: Event) -> Change | Refused:
        permit = self._freshness.may_accept_change(self._clock())
        if not permit.granted:
            return Refused(ErrorKind.STALE_VIEW, f"No change can be accepted: {permit.reason}.")
        verdict = write_event(self._writer, event)
        if isinstance(verdict, Refused):
            return verdict
        if not verdict.accepted:
            return rejection(verdict)
        offset = self._follower.view.configuration_offset
        version = _new_version(event)
        logger.info(
            "A change of configuration is in force here",
            extra={"change": type(event).__name__, "offset": offset, "version": version},
        )
        return Change(offset, version)


def _new_version(event: Event) -> int:
    """Return the version of the changed object after an accepted change."""
    return int(getattr(event, "expected_version", 0)) + 1
