"""Conversion between messages and data classes for the calls between instances."""

from types import MappingProxyType

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import FoundAnswer, PeerHeartbeat, RelayedEntries, RelayedEntry
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.fields import FieldErrors

MAX_RECORDS = 10_000
# An instance reports -1 if it has not yet confirmed the end of the log or folded a configuration.
NO_VALUE = -1


def read_heartbeat(message: v1_pb2.Heartbeat) -> PeerHeartbeat | Refused:
    """Read a heartbeat."""
    errors = FieldErrors()
    heartbeat = PeerHeartbeat(
        seq=errors.integer("seq", message.seq, 1),
        name=errors.name("name", message.name),
        incarnation=errors.name("incarnation", message.incarnation),
        address=errors.address("address", message.address),
        availability_zone=errors.name("availability_zone", message.availability_zone),
        region=errors.name("region", message.region),
        leaving=message.leaving,
        log_offset=errors.integer("log_offset", message.log_offset, NO_VALUE),
        configuration_offset=errors.integer(
            "configuration_offset", message.configuration_offset, NO_VALUE
        ),
        confirmed_age_ms=errors.integer("confirmed_age_ms", message.confirmed_age_ms, NO_VALUE),
        log_reachable=message.log_reachable,
        heard=MappingProxyType(dict(message.heard)),
        in_flight=MappingProxyType(dict(message.in_flight)),
        waiting=errors.integer("waiting", message.waiting, 0),
        set_aside=tuple(message.set_aside),
        settled=message.settled,
    )
    return errors.to_refusal() or heartbeat


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
    """Write what this instance knows about a request."""
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
    """Read what a peer knows about a request."""
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
    """Read the start offset and the maximum number of records."""
    errors = FieldErrors()
    # `from` is a Python keyword, so the field cannot be accessed as an attribute.
    start = errors.integer("from", getattr(message, "from"), 0)
    limit = errors.integer("limit", message.limit, 1, MAX_RECORDS)
    return errors.to_refusal() or (start, limit)


def write_records_query(start: int, limit: int) -> v1_pb2.ReadRecordsRequest:
    """Write the start offset and the maximum number of records."""
    return v1_pb2.ReadRecordsRequest(**{"from": start, "limit": limit})


def write_relayed_entries(relayed: RelayedEntries) -> v1_pb2.ReadRecordsReply:
    """Write log entries for a peer."""
    reply = v1_pb2.ReadRecordsReply(
        next=relayed.next_offset,
        first=relayed.first_offset,
        confirmed_age_ms=relayed.confirmed_age_ms,
    )
    for entry in relayed.entries:
        reply.entries.add(offset=entry.offset, at_ms=entry.at_ms, data=entry.data)
    return reply


def read_relayed_entries(message: v1_pb2.ReadRecordsReply) -> RelayedEntries:
    """Read log entries from a peer."""
    return RelayedEntries(
        entries=tuple(
            RelayedEntry(entry.offset, entry.at_ms, entry.data) for entry in message.entries
        ),
        next_offset=message.next,
        first_offset=message.first,
        confirmed_age_ms=message.confirmed_age_ms,
    )
