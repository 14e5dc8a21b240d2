"""Tests of the conversion between messages and data classes by round trips."""

import unittest
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamfold.model import status as model_status
from hornbeamfold.model.errors import Refused
from hornbeamfold.model.topology import AvailabilityZone, Member, Organisation, Shape, Span, Worker
from hornbeamfold.model.work import (
    Job,
    JobSpec,
    JobState,
    MemberState,
    MemberStatus,
    Request,
    StopReason,
)
from hornbeamfold.rpc import adapters, operator_adapters, peer_adapters, v1_pb2

NOW_MS = 1_800_000_000_000
HOUR_MS = 3_600_000
COUNT = st.integers(0, 2**31 - 1)
OFFSET = st.integers(0, 2**63 - 1)
SIZE = st.integers(0, 1_000_000)
TEXT = st.text(st.characters(codec="utf-8"), max_size=40)
NAME = st.text(st.sampled_from("aZ9-_.é "), min_size=1, max_size=128).map(
    lambda name: "x" + name[2:] + "y" if len(name) > 1 else "x"
)
ADDRESS = st.sampled_from(["127.0.0.1:80", "[::1]:65535"])
SHAPE = st.builds(Shape, st.integers(0, 1_024), SIZE, SIZE, st.sampled_from(Span))
SPEC = st.builds(
    JobSpec, NAME, NAME, NAME, TEXT, SHAPE, st.integers(1, HOUR_MS), st.booleans(), st.booleans()
)
MEMBER = st.builds(Member, NAME, st.lists(st.integers(0, 63)).map(tuple), SIZE, SIZE)
MEMBERS = st.lists(st.builds(MemberStatus, MEMBER, st.sampled_from(MemberState)), max_size=3)
JOB = st.builds(
    Job,
    spec=SPEC,
    submitted_ms=OFFSET,
    state=st.sampled_from(JobState),
    attempt=COUNT,
    failures=COUNT,
    members=MEMBERS.map(tuple),
    running_ms=OFFSET,
    stop_reason=st.sampled_from(StopReason),
    infeasible=TEXT,
    detail=TEXT,
)
STATUS = st.builds(model_status.JobStatus, JOB, OFFSET, st.booleans())
ORGANISATION = st.builds(
    Organisation,
    NAME,
    st.lists(SHAPE, max_size=3).map(tuple),
    st.floats(0.001, 1_000_000),
    OFFSET,
)
ZONE = st.builds(AvailabilityZone, NAME, NAME, st.booleans(), OFFSET)
POSITIVE = st.integers(1, 1_000_000)
WORKER = st.builds(
    Worker, NAME, ADDRESS, NAME, NAME, SIZE, SIZE, SIZE, st.integers(0, 1_024), POSITIVE, POSITIVE
)
WORKERS = st.lists(WORKER, max_size=3, unique_by=lambda worker: worker.name).map(tuple)
CONFIGURATION = st.builds(
    model_status.Configuration,
    OFFSET,
    st.lists(ORGANISATION, max_size=2).map(tuple),
    st.lists(ZONE, max_size=2).map(tuple),
    WORKERS,
    st.just(frozenset()),
    OFFSET,
    st.dictionaries(NAME, OFFSET, max_size=2).map(MappingProxyType),
    st.booleans(),
)
HEARTBEAT = st.builds(
    model_status.PeerHeartbeat,
    st.integers(1, 2**40),
    *(NAME, NAME, ADDRESS, NAME, NAME, st.booleans(), OFFSET, OFFSET, OFFSET, st.booleans()),
    st.dictionaries(NAME, OFFSET, max_size=3).map(MappingProxyType),
    st.dictionaries(NAME, COUNT, max_size=3).map(MappingProxyType),
    COUNT,
    st.lists(NAME, max_size=3).map(tuple),
    st.booleans(),
)
ENTRY = st.builds(model_status.RelayedEntry, OFFSET, OFFSET, TEXT)
REQUEST = st.builds(
    Request,
    *(NAME, NAME, NAME, TEXT, st.booleans(), st.booleans()),
    st.integers(1, NOW_MS + HOUR_MS),
    st.integers(1, 1_000_000),
)


def read_request(message: v1_pb2.SubmitRequest) -> Request | Refused:
    """Read a request at a fixed time."""
    return adapters.read_request(message, NOW_MS)


ROUND_TRIPS: tuple[tuple[st.SearchStrategy[Any], Callable[[Any], Any], Callable[..., Any]], ...] = (
    (REQUEST, adapters.write_request, read_request),
    (
        st.builds(model_status.RequestAnswer, NAME, NAME, TEXT, NAME, NAME, NAME),
        adapters.write_request_answer,
        adapters.read_request_answer,
    ),
    (SPEC, adapters.write_job_spec, adapters.read_job_spec),
    (STATUS, adapters.write_job_status, adapters.read_job_status),
    (
        st.builds(model_status.JobList, st.lists(STATUS, max_size=2).map(tuple), OFFSET),
        adapters.write_job_list,
        adapters.read_job_list,
    ),
    (ORGANISATION, operator_adapters.write_organisation, operator_adapters.read_organisation),
    (ZONE, operator_adapters.write_zone, operator_adapters.read_zone),
    (
        st.tuples(WORKERS.filter(bool), st.just(("removed 1",)), OFFSET),
        operator_adapters.write_workers,
        operator_adapters.read_workers,
    ),
    (
        st.builds(model_status.Change, OFFSET, OFFSET),
        operator_adapters.write_change,
        operator_adapters.read_change,
    ),
    (CONFIGURATION, operator_adapters.write_configuration, operator_adapters.read_configuration),
    (
        st.lists(
            st.builds(
                model_status.InstanceStatus, *(TEXT,) * 4, OFFSET, OFFSET, OFFSET, st.booleans()
            ),
            max_size=3,
        ).map(tuple),
        operator_adapters.write_instances,
        operator_adapters.read_instances,
    ),
    (HEARTBEAT, peer_adapters.write_heartbeat, peer_adapters.read_heartbeat),
    (
        st.builds(model_status.FoundAnswer, *(TEXT,) * 7),
        peer_adapters.write_found_answer,
        peer_adapters.read_found_answer,
    ),
    (
        st.builds(
            model_status.RelayedEntries,
            st.lists(ENTRY, max_size=3).map(tuple),
            OFFSET,
            OFFSET,
            OFFSET,
        ),
        peer_adapters.write_relayed_entries,
        peer_adapters.read_relayed_entries,
    ),
    (
        st.tuples(OFFSET, st.integers(1, 10_000)),
        lambda query: peer_adapters.write_records_query(*query),
        peer_adapters.read_records_query,
    ),
)


def check_round_trip(
    case: unittest.TestCase,
    strategy: st.SearchStrategy[Any],
    write: Callable[[Any], Any],
    read: Callable[..., Any],
) -> None:
    """Check that values are unchanged after being written, encoded, decoded and read."""

    @settings(derandomize=True, max_examples=40, deadline=None, database=None)
    @given(strategy)
    def check(value: Any) -> None:
        message = write(value)
        received = type(message).FromString(message.SerializeToString())
        case.assertEqual(read(received), value)

    check()


class RoundTripTest(unittest.TestCase):
    def test_round_trips_keep_every_field(self) -> None:
        """Guards against a field that is lost or swapped in a conversion."""
        for strategy, write, read in ROUND_TRIPS:
            with self.subTest(write.__name__):
                check_round_trip(self, strategy, write, read)

    def test_a_drained_worker_stays_drained(self) -> None:
        """Guards against a configuration that does not show operators which workers drain."""
        worker = Worker("w", "127.0.0.1:1", "z", "r", 0, 1, 1, 1, 1, 1)
        configuration = model_status.Configuration(
            1, (), (), (worker,), frozenset({"w"}), 2, MappingProxyType({}), True
        )
        message = operator_adapters.write_configuration(configuration)
        self.assertEqual(operator_adapters.read_configuration(message), configuration)

    def test_placements_show_what_members_hold(self) -> None:
        """Guards against placements without the resources that they hold."""
        member = MemberStatus(Member("w", (0, 1), 4, 8), MemberState.RUNNING)
        spec = JobSpec("o", "j", "", "", Shape(2, 4, 8), 0)
        job = Job(spec, 0, JobState.RUNNING, members=(member,))
        placements = model_status.PlacementList((job,), 6, 4, 9)
        message = operator_adapters.write_placements(placements)
        self.assertEqual(operator_adapters.read_placements(message), placements)
