"""Encodes the folded state as JSON and decodes it."""

from dataclasses import dataclass
from hashlib import sha256

from msgspec.json import Encoder

from hornbeamfold.decoding import DecodeError, decode_json
from hornbeamfold.model import (
    ACTIVE_JOBS,
    AvailabilityZone,
    Claim,
    Job,
    Organisation,
    Reservation,
    Worker,
)
from hornbeamfold.view.state import State


@dataclass(frozen=True)
class EncodedState:
    """The folded state without its indexes.

    The order of each list is part of the state, because the digest covers it.
    """

    offset: int
    at_ms: int
    configuration_offset: int
    workers_version: int
    organisations: list[Organisation]
    zones: list[AvailabilityZone]
    workers: list[Worker]
    draining: list[str]
    jobs: list[Job]
    ended: list[tuple[str, str, int]]
    partial_since: list[tuple[str, str, int]]
    claims: list[Claim]
    writers: list[tuple[str, int, int]]
    reservations: list[Reservation]
    estimates: list[tuple[str, str, float]]


_ENCODER = Encoder()


def encode_state(state: State) -> bytes:
    """Return the state as JSON."""
    return _ENCODER.encode(
        EncodedState(
            offset=state.offset,
            at_ms=state.at_ms,
            configuration_offset=state.configuration_offset,
            workers_version=state.workers_version,
            organisations=list(state.organisations.values()),
            zones=list(state.zones.values()),
            workers=list(state.workers.values()),
            draining=list(state.draining),
            jobs=list(state.jobs.values()),
            ended=[(*key, at_ms) for key, at_ms in state.ended.items()],
            partial_since=[(*key, at_ms) for key, at_ms in state.partial_since.items()],
            claims=list(state.claims.values()),
            writers=[(writer, *last) for writer, last in state.writers.items()],
            reservations=list(state.reservations.by_job.values()),
            estimates=[(*key, factor) for key, factor in state.estimates.by_kind.items()],
        )
    )


def decode_state(data: bytes) -> State:
    """Decode a state from JSON and rebuild its indexes; raises DecodeError if it is malformed."""
    encoded = decode_json(data, EncodedState)
    try:
        return _rebuild(encoded)
    except LookupError as error:
        raise DecodeError(f"the state refers to an unknown name: {error}") from error


def _rebuild(encoded: EncodedState) -> State:
    state = State()
    state.offset = encoded.offset
    state.at_ms = encoded.at_ms
    state.configuration_offset = encoded.configuration_offset
    state.workers_version = encoded.workers_version
    state.organisations = {item.name: item for item in encoded.organisations}
    state.zones = {zone.name: zone for zone in encoded.zones}
    state.workers = {worker.name: worker for worker in encoded.workers}
    state.draining = dict.fromkeys(encoded.draining)
    state.writers.update((writer, (seq, at_ms)) for writer, seq, at_ms in encoded.writers)
    # Set before the jobs: `put_job` keeps a time that is already recorded, and would set the
    # present one for a job that ended or became partial earlier.
    state.ended.update(((name, job_id), at_ms) for name, job_id, at_ms in encoded.ended)
    for name, job_id, at_ms in encoded.partial_since:
        state.partial_since[(name, job_id)] = at_ms
    for worker in encoded.workers:
        region = state.zones[worker.availability_zone].region
        state.capacities.put_worker(worker, region, state.is_eligible(worker))
    for job in encoded.jobs:
        _restore_job(state, job)
    for claim in encoded.claims:
        state.put_claim(claim)
    for reservation in encoded.reservations:
        state.reservations.put(reservation)
    for name, kind, factor in encoded.estimates:
        state.estimates.put((name, kind), factor)
    return state


def digest_of(data: bytes) -> str:
    """Return the SHA-256 digest of an encoded state, in hexadecimal."""
    return sha256(data).hexdigest()


def _restore_job(state: State, job: Job) -> None:
    state.put_job(job)
    if job.state not in ACTIVE_JOBS:
        return
    for status in job.members:
        state.capacities.allocate(job.key, status.member)
