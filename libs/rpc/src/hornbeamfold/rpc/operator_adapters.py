"""Conversion between messages and data classes for the calls of operators."""

from types import MappingProxyType

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import Change, Configuration, InstanceStatus, PlacementList
from hornbeamfold.model.topology import AvailabilityZone, Organisation, Shape, Worker
from hornbeamfold.model.work import Job, JobSpec, JobState
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.adapters import read_members, read_shape, write_members, write_shape
from hornbeamfold.rpc.fields import MAX_ACCELERATORS, MAX_QUANTITY, FieldErrors

WorkersChange = tuple[tuple[Worker, ...], tuple[str, ...], int]


def read_organisation(message: v1_pb2.Organisation) -> Organisation | Refused:
    """Read an organisation whose version is the expected current one."""
    errors = FieldErrors()
    organisation = _read_organisation(message, errors)
    return errors.to_refusal() or organisation


def _read_organisation(message: v1_pb2.Organisation, errors: FieldErrors) -> Organisation:
    guarantee: list[Shape] = []
    for index, shape in enumerate(message.guarantee):
        guarantee.append(read_shape(shape, f"guarantee[{index}]", errors))
    return Organisation(
        name=errors.name("name", message.name),
        guarantee=tuple(guarantee),
        weight=errors.weight("weight", message.weight),
        version=errors.integer("version", message.version, 0),
    )


def write_organisation(organisation: Organisation) -> v1_pb2.Organisation:
    """Write an organisation."""
    return v1_pb2.Organisation(
        name=organisation.name,
        guarantee=[write_shape(shape) for shape in organisation.guarantee],
        weight=organisation.weight,
        version=organisation.version,
    )


def read_organisation_ref(message: v1_pb2.OrganisationRef) -> tuple[str, int] | Refused:
    """Read the name and the expected version of an organisation."""
    errors = FieldErrors()
    name = errors.name("name", message.name)
    version = errors.integer("version", message.version, 0)
    return errors.to_refusal() or (name, version)


def read_zone(message: v1_pb2.AvailabilityZone) -> AvailabilityZone | Refused:
    """Read an availability zone whose version is the expected current one."""
    errors = FieldErrors()
    zone = _read_zone(message, errors)
    return errors.to_refusal() or zone


def _read_zone(message: v1_pb2.AvailabilityZone, errors: FieldErrors) -> AvailabilityZone:
    return AvailabilityZone(
        name=errors.name("name", message.name),
        region=errors.name("region", message.region),
        in_service=message.in_service,
        version=errors.integer("version", message.version, 0),
    )


def write_zone(zone: AvailabilityZone) -> v1_pb2.AvailabilityZone:
    """Write an availability zone."""
    return v1_pb2.AvailabilityZone(
        name=zone.name, region=zone.region, in_service=zone.in_service, version=zone.version
    )


def read_drain(message: v1_pb2.DrainTargetRequest) -> tuple[str, bool, int] | Refused:
    """Read the worker, whether it is to be drained, and the expected version."""
    errors = FieldErrors()
    worker = errors.name("worker", message.worker)
    version = errors.integer("version", message.version, 0)
    return errors.to_refusal() or (worker, message.draining, version)


def read_workers(message: v1_pb2.PutWorkersRequest) -> WorkersChange | Refused:
    """Read a change of the worker set."""
    errors = FieldErrors()
    if not message.workers and not message.removed:
        errors.add("workers", "must not be empty if removed is empty")
    workers: list[Worker] = []
    for index, worker in enumerate(message.workers):
        workers.append(_read_worker(worker, f"workers[{index}]", errors))
    removed: list[str] = []
    for index, name in enumerate(message.removed):
        removed.append(errors.name(f"removed[{index}]", name))
    errors.unique("workers and removed", [worker.name for worker in workers] + removed)
    version = errors.integer("version", message.version, 0)
    return errors.to_refusal() or (tuple(workers), tuple(removed), version)


def _read_worker(message: v1_pb2.Worker, path: str, errors: FieldErrors) -> Worker:
    return Worker(
        name=errors.name(f"{path}.name", message.name),
        address=errors.address(f"{path}.address", message.address),
        availability_zone=errors.name(f"{path}.availability_zone", message.availability_zone),
        rack=errors.name(f"{path}.rack", message.rack),
        position=errors.integer(f"{path}.position", message.position, 0, MAX_QUANTITY),
        processors=errors.integer(f"{path}.processors", message.processors, 0, MAX_QUANTITY),
        memory_gb=errors.integer(f"{path}.memory_gb", message.memory_gb, 0, MAX_QUANTITY),
        accelerators=errors.integer(
            f"{path}.accelerators", message.accelerators, 0, MAX_ACCELERATORS
        ),
        slots=errors.integer(f"{path}.slots", message.slots, 1, MAX_QUANTITY),
        connections=errors.integer(f"{path}.connections", message.connections, 1, MAX_QUANTITY),
    )


def write_workers(change: WorkersChange) -> v1_pb2.PutWorkersRequest:
    """Write a change of the worker set."""
    workers, removed, version = change
    return v1_pb2.PutWorkersRequest(
        workers=[_write_worker(worker, False) for worker in workers],
        removed=removed,
        version=version,
    )


def _write_worker(worker: Worker, draining: bool) -> v1_pb2.Worker:
    return v1_pb2.Worker(
        name=worker.name,
        address=worker.address,
        availability_zone=worker.availability_zone,
        rack=worker.rack,
        position=worker.position,
        processors=worker.processors,
        memory_gb=worker.memory_gb,
        accelerators=worker.accelerators,
        slots=worker.slots,
        connections=worker.connections,
        draining=draining,
    )


def write_change(change: Change) -> v1_pb2.Change:
    """Write an accepted change."""
    return v1_pb2.Change(offset=change.offset, version=change.version)


def read_change(message: v1_pb2.Change) -> Change:
    """Read an accepted change."""
    return Change(message.offset, message.version)


def write_configuration(configuration: Configuration) -> v1_pb2.Configuration:
    """Write the configuration in force."""
    draining = configuration.draining
    return v1_pb2.Configuration(
        offset=configuration.offset,
        organisations=[
            write_organisation(organisation) for organisation in configuration.organisations
        ],
        zones=[write_zone(zone) for zone in configuration.zones],
        workers=[
            _write_worker(worker, worker.name in draining) for worker in configuration.workers
        ],
        workers_version=configuration.workers_version,
        instances=dict(configuration.instances),
        guarantees_suspended=configuration.guarantees_suspended,
    )


def read_configuration(message: v1_pb2.Configuration) -> Configuration:
    """Read the configuration in force."""
    ignored_errors = FieldErrors()
    return Configuration(
        offset=message.offset,
        organisations=tuple(
            _read_organisation(organisation, ignored_errors)
            for organisation in message.organisations
        ),
        zones=tuple(_read_zone(zone, ignored_errors) for zone in message.zones),
        workers=tuple(_read_worker(worker, "", ignored_errors) for worker in message.workers),
        draining=frozenset(worker.name for worker in message.workers if worker.draining),
        workers_version=message.workers_version,
        instances=MappingProxyType(dict(message.instances)),
        guarantees_suspended=message.guarantees_suspended,
    )


def write_placements(placements: PlacementList) -> v1_pb2.ListPlacementsReply:
    """Write the placements of active jobs and the free capacity."""
    reply = v1_pb2.ListPlacementsReply(
        free_accelerators=placements.free_accelerators,
        largest_free_run=placements.largest_free_run,
        offset=placements.offset,
    )
    for job in placements.jobs:
        reply.placements.add(
            organisation=job.spec.organisation,
            job_id=job.spec.job_id,
            state=job.state.value,
            members=write_members(job.members),
        )
    return reply


def read_placements(message: v1_pb2.ListPlacementsReply) -> PlacementList:
    """Read the active jobs; the shape of each is the sum of what its members hold."""
    jobs: list[Job] = []
    for placement in message.placements:
        members = read_members(placement.members)
        shape = Shape(
            accelerators=sum(len(status.member.accelerators) for status in members),
            processors=sum(status.member.processors for status in members),
            memory_gb=sum(status.member.memory_gb for status in members),
        )
        spec = JobSpec(placement.organisation, placement.job_id, "", "", shape, 0)
        jobs.append(Job(spec, 0, JobState(placement.state), members=members))
    return PlacementList(
        tuple(jobs), message.free_accelerators, message.largest_free_run, message.offset
    )


def write_instances(instances: tuple[InstanceStatus, ...]) -> v1_pb2.ListInstancesReply:
    """Write the entry instances."""
    reply = v1_pb2.ListInstancesReply()
    for instance in instances:
        reply.instances.add(
            name=instance.name,
            address=instance.address,
            availability_zone=instance.availability_zone,
            state=instance.state,
            log_offset=instance.log_offset,
            configuration_offset=instance.configuration_offset,
            confirmed_age_ms=instance.confirmed_age_ms,
            log_reachable=instance.log_reachable,
        )
    return reply


def read_instances(message: v1_pb2.ListInstancesReply) -> tuple[InstanceStatus, ...]:
    """Read the entry instances."""
    return tuple(
        InstanceStatus(
            name=instance.name,
            address=instance.address,
            availability_zone=instance.availability_zone,
            state=instance.state,
            log_offset=instance.log_offset,
            configuration_offset=instance.configuration_offset,
            confirmed_age_ms=instance.confirmed_age_ms,
            log_reachable=instance.log_reachable,
        )
        for instance in message.instances
    )
