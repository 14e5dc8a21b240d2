"""Slopes of the view: memory, log records and snapshots."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from typing import Any

from hornbeamfold.bench.fitting import REPEATS, Point, processor_ms
from hornbeamfold.bench.scale import (
    LOG_TIME_MS,
    Cluster,
    configured_cluster,
    design_cluster,
    gang_specs,
    make_claims,
    make_workers,
    put_organisations,
    put_workers,
    queued_specs,
    single_specs,
)
from hornbeamfold.logclient import decode_record, encode_record
from hornbeamfold.model import (
    Entry,
    Event,
    JobSubmitted,
    MemberReport,
    MembersReported,
    MemberState,
    OrganisationPut,
    Record,
    Shape,
    Span,
    ZoneSet,
)
from hornbeamfold.placement import guarantees_fit
from hornbeamfold.view import SnapshotCollector, View, snapshot_parts
from hornbeamfold.view.encoding import encode_state

BASE_WORKERS = 950
SHARES = (0.4, 0.7, 1.0)


def state_points() -> Iterator[Point]:
    """Yield all points of this part."""
    yield from _memory_points()
    yield from _record_points()
    yield from _configuration_points()
    yield from _snapshot_points()


def _memory_points() -> Iterator[Point]:
    def workers(cluster: Cluster, size: int) -> None:
        put_workers(cluster, make_workers(BASE_WORKERS + size)[BASE_WORKERS:])

    def restarts(cluster: Cluster, size: int) -> None:
        for number in range(size):
            cluster.fold_record((), f"entry-{number % 9}-{number:012x}")

    def changes(cluster: Cluster, size: int) -> None:
        for _ in range(size):
            zone = cluster.view.zones["zone-00"]
            cluster.fold((ZoneSet(zone.name, zone.region, not zone.in_service, zone.version),))

    growth_cases: tuple[tuple[str, tuple[int, ...], Callable[[Cluster, int], None]], ...] = (
        ("worker", (200, 400, 800), workers),
        (
            "organisation",
            (16, 32, 63),
            lambda cluster, size: put_organisations(cluster, range(100, 100 + size)),
        ),
        (
            "task of a gang",
            (200, 400, 800),
            lambda cluster, size: cluster.run(gang_specs(size)),
        ),
        (
            "task of its own job",
            (500, 1_000, 2_000),
            lambda cluster, size: cluster.run(single_specs(size)),
        ),
        (
            "queued job",
            (500, 1_000, 2_000),
            lambda cluster, size: cluster.fold(JobSubmitted(s) for s in queued_specs(size)),
        ),
        (
            "claim",
            (500, 1_000, 2_000),
            lambda cluster, size: cluster.fold(make_claims(size)),
        ),
        ("restarted instance", (140, 280, 560), restarts),
        ("configuration change", (50, 100, 200), changes),
    )
    for name, sizes, grow in growth_cases:
        for size in sizes:
            for repeat in range(REPEATS):
                cluster = configured_cluster(make_workers(BASE_WORKERS))
                value = _allocated_bytes(grow, cluster, size)
                yield Point(f"view memory per {name}", "bytes", size, repeat, value)


def _allocated_bytes(grow: Callable[[Cluster, int], None], cluster: Cluster, size: int) -> float:
    gc.collect()
    tracemalloc.start(1)
    try:
        grow(cluster, size)
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()


def _record_points() -> Iterator[Point]:
    """Yield bytes and processor time of records with 1 to 128 reports, and of a gang's life."""
    for size in (1, 8, 32, 128):
        for repeat in range(REPEATS):
            cluster = configured_cluster(make_workers(BASE_WORKERS))
            cluster.run(single_specs(size))
            records = [
                Record("entry-0-0123456789ab", number, (_reports(cluster, size),))
                for number in range(10_000, 10_030)
            ]
            texts = [encode_record(record) for record in records]
            yield Point("record bytes per member report", "bytes", size, repeat, len(texts[0]))
            encode_ms = processor_ms(partial(_call_each, encode_record, records)) / 30
            yield Point("record encode per member report", "ms", size, repeat, encode_ms)
            decode_ms = processor_ms(partial(_call_each, decode_record, texts)) / 30
            yield Point("record decode per member report", "ms", size, repeat, decode_ms)

            def fold(cluster: Cluster = cluster, records: list[Record] = records) -> None:
                for record in records:
                    cluster.view.apply(Entry(cluster.view.offset, LOG_TIME_MS, record))

            yield Point(
                "record fold per member report", "ms", size, repeat, processor_ms(fold) / 30
            )
    for size in (1, 8, 32, 128):
        for repeat in range(REPEATS):
            yield from _gang_lifecycle_points(size, repeat)


def _gang_lifecycle_points(size: int, repeat: int) -> Iterator[Point]:
    """Yield the log bytes and the fold time of one gang from its submission to its end."""
    cluster = configured_cluster(make_workers(BASE_WORKERS))
    specs = [replace(gang_specs(1)[0], job_id=f"life-{size}")]
    specs = [replace(s, shape=replace(s.shape, accelerators=size)) for s in specs]
    for spec in specs:
        placed = cluster.placed(spec)
        reports = [
            MemberReport(*spec.key, 1, m.worker, state)
            for state in (MemberState.RUNNING, MemberState.FINISHED)
            for m in placed.members
        ]
        events: list[Event] = [
            JobSubmitted(spec),
            placed,
            *(MembersReported((report,)) for report in reports),
        ]
        texts = [
            encode_record(Record("entry-0-0123456789ab", 10_000 + number, (event,)))
            for number, event in enumerate(events)
        ]
        total = float(sum(map(len, texts)))
        yield Point("log bytes of a gang's life per member", "bytes", size, repeat, total)
        yield Point("log bytes of a placement per member", "bytes", size, repeat, len(texts[1]))

        def fold(texts: list[str] = texts) -> None:
            for text in texts:
                record = decode_record(text)
                cluster.view.apply(Entry(cluster.view.offset, LOG_TIME_MS, record))

        yield Point(
            "decode and fold of a gang's life per member", "ms", size, repeat, processor_ms(fold)
        )


def _call_each(function: Callable[[Any], object], items: list[Any]) -> None:
    for item in items:
        function(item)


def _configuration_points() -> Iterator[Point]:
    """Yield the fold time of changes of an organisation and a zone; all guarantees are checked."""
    for workers in (475, 950, 1_900):
        source = configured_cluster(make_workers(workers))
        view = View(guarantees_fit, source.view.state)
        for repeat in range(REPEATS):
            known = view.organisations["organisation-00"]
            guarantee = (Shape(4, 4, 4, Span.RACK), Shape(2, 2, 3 + repeat, Span.RACK))
            event = OrganisationPut(known.name, guarantee, 1.0 + repeat, known.version)
            entry = Entry(view.offset, LOG_TIME_MS, Record("operator", 2 * repeat + 1, (event,)))
            cost = processor_ms(partial(view.apply, entry))
            yield Point("organisation change fold per worker", "ms", workers, repeat, cost)
            zone = view.zones["zone-00"]
            change = ZoneSet(zone.name, zone.region, not zone.in_service, zone.version)
            entry = Entry(view.offset, LOG_TIME_MS, Record("operator", 2 * repeat + 2, (change,)))
            cost = processor_ms(partial(view.apply, entry))
            yield Point("zone change fold per worker", "ms", workers, repeat, cost)
        if view.configuration_offset != view.offset - 1:
            raise RuntimeError("the changes of configuration were rejected")


def _reports(cluster: Cluster, size: int) -> MembersReported:
    reports = [
        MemberReport(*job.key, 1, job.members[0].member.worker, MemberState.RUNNING)
        for job in list(cluster.view.active.values())[:size]
    ]
    return MembersReported(tuple(reports))


def _snapshot_points() -> Iterator[Point]:
    for share in SHARES:
        cluster = design_cluster(share, int(400 * share))
        cluster.fold(make_claims(int(2_000 * share)))
        tasks = sum(len(job.members) for job in cluster.view.active.values())
        encoded = encode_state(cluster.view.state)
        for repeat in range(REPEATS):
            parts = snapshot_parts(cluster.view)
            size = float(sum(len(part.data) for part in parts))
            yield Point("snapshot state per task", "bytes", tasks, repeat, float(len(encoded)))
            yield Point("snapshot records per task", "bytes", tasks, repeat, size)
            yield Point("snapshot parts per task", "count", tasks, repeat, len(parts))
            write_ms = processor_ms(partial(snapshot_parts, cluster.view))
            yield Point("snapshot write per task", "ms", tasks, repeat, write_ms)

            def restore(parts=parts) -> None:  # type: ignore[no-untyped-def]
                collector = SnapshotCollector()
                for part in parts:
                    collector.add(part)

            yield Point("snapshot load per task", "ms", tasks, repeat, processor_ms(restore))
            digest_ms = processor_ms(cluster.view.digest)
            yield Point("view digest per task", "ms", tasks, repeat, digest_ms)
            yield Point(
                "snapshot load memory per task", "bytes", tasks, repeat, _peak_bytes(restore)
            )


def _peak_bytes(call: Callable[[], None]) -> float:
    tracemalloc.start(1)
    try:
        call()
        return float(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()
