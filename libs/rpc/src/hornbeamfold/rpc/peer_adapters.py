"""Adapters between messages and data classes for what instances tell one another."""

from types import MappingProxyType

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import FoundAnswer, PeerHeartbeat, RelayedEntries, RelayedEntry
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.fields import Faults

MAX_RECORDS = 10_000
# An instance that never confirmed the log's end, or folded no configuration, reports -1.
NEVER = -1


def read_heartbeat(message: v1_pb2.Heartbeat) -> PeerHeartbeat | Refused:
    """Read a heartbeat."""
    faults = Faults()
    heartbeat = PeerHeartbeat(
        seq=faults.whole("seq", message.seq, 1),
        name=faults.name("name", message.name),
        incarnation=faults.name("incarnation", message.incarnation),
        address=faults.address("address", message.address),
        availability_zone=faults.name("availability_zone", message.availability_zone),
        region=faults.name("region", message.region),
        leaving=message.leaving,
        log_offset=faults.whole("log_offset", message.log_offset, NEVER),
        configuration_offset=faults.whole(
            "configuration_offset", message.configuration_offset, NEVER
        ),
        confirmed_age_ms=faults.whole("confirmed_age_ms", message.confirmed_age_ms, NEVER),
        log_reachable=message.log_reachable,
        heard=MappingProxyType(dict(message.heard)),
        in_flight=MappingProxyType(dict(message.in_flight)),
        waiting=faults.whole("waiting", message.waiting, 0),
        set_aside=tuple(message.set_aside),
        settled=message.settled,
    )
    return faults.refused() or heartbeat


def write_heartbeat(heartbeat: PeerHeartbeat) -> v1_pb2.Heartbeat:
    """Write a heartbeat."""
    return v1_pb2.Heartbeat(
        seq=heartbeat.seq,
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        address=heartbeat.address,
        availability_zone=heartbeat.availability_zone,
        region=heartbeat.region,
        leaving=heartbeat.leaving,
        log_offset=heartbeat.log_offset,
        configuration_offset=heartbeat.configuration_offset,
        confirmed_age_ms=heartbeat.confirmed_age_ms,
        log_reachable=heartbeat.log_reachable,
        heard=dict(heartbeat.heard),
        in_flight=dict(heartbeat.in_flight),
        waiting=heartbeat.waiting,
        set_aside=heartbeat.set_aside,
        settled=heartbeat.settled,
    )


def write_found_answer(found: FoundAnswer) -> v1_pb2.FindAnswerReply:
    """Write what this instance knows of a request."""
    return v1_pb2.FindAnswerReply(
        state=found.state,
        digest=found.digest,
        answer=found.answer,
        worker=found.worker,
        kind=found.kind,
        detail=found.detail,
        ran=found.ran,
    )


def read_found_answer(message: v1_pb2.FindAnswerReply) -> FoundAnswer:
    """Read what a peer knows of a request."""
    return FoundAnswer(
        state=message.state,
        digest=message.digest,
        answer=message.answer,
        worker=message.worker,
        kind=message.kind,
        detail=message.detail,
        ran=message.ran,
    )


def read_records_query(message: v1_pb2.ReadRecordsRequest) -> tuple[int, int] | Refused:
    """Read from which offset how many records are wanted."""
    faults = Faults()
    # "from" is a keyword of Python.
    start = faults.whole("from", getattr(message, "from"), 0)
    limit = faults.whole("limit", message.limit, 1, MAX_RECORDS)
    return faults.refused() or (start, limit)


def write_records_query(start: int, limit: int) -> v1_pb2.ReadRecordsRequest:
    """Write from which offset how many records are wanted."""
    return v1_pb2.ReadRecordsRequest(**{"from": start, "limit": limit})


def write_relayed_entries(relayed: RelayedEntries) -> v1_pb2.ReadRecordsReply:
    """Write entries for a peer."""
    reply = v1_pb2.ReadRecordsReply(
        next=relayed.next_offset,
        first=relayed.first_offset,
        confirmed_age_ms=relayed.confirmed_age_ms,
    )
    for entry in relayed.entries:
        reply.entries.add(offset=entry.offset, at_ms=entry.at_ms, data=entry.data)
    return reply


def read_relayed_entries(message: v1_pb2.ReadRecordsReply) -> RelayedEntries:
    """Read entries from a peer."""
    return RelayedEntries(
        entries=tuple(
            RelayedEntry(entry.offset, entry.at_ms, entry.data) for entry in message.entries
        ),
        next_offset=message.next,
        first_offset=message.first,
        confirmed_age_ms=message.confirmed_age_ms,
    )
