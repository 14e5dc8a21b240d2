"""A process that serves a fake front end for the tests of rpc and of the command-line tool.

Arguments: the timeout of its stop in milliseconds, and the address, 127.0.0.1:0 by default. It
prints its address and stops on SIGTERM. The answer of the request ("probe", "events") lists the
recorded events, and that of ("probe", "running") is the number of running threads and tasks.
"""

import os

os.environ["EVENTLET_HUB"] = "asyncio"

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Iterator
from dataclasses import replace
from json import dumps
from types import MappingProxyType

import eventlet
from eventlet.event import Event
from eventlet.greenthread import GreenThread
from eventlet.hubs import get_hub

from hornbeamfold.model import status as model_status
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.topology import AvailabilityZone, Organisation, Worker
from hornbeamfold.model.work import Job, JobSpec, JobState, Request
from hornbeamfold.rpc.server import serve
from hornbeamfold.rpc.services import build_services

CONFLICT = Refused(ErrorKind.CONFLICT, "another operator changed it")


class FakeFrontend:
    """Answers from memory and records events."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.release_events: dict[str, Event] = {}
        self.jobs: dict[tuple[str, str], Job] = {}
        self.organisations: dict[str, Organisation] = {}
        self.zones = {"sousse": AvailabilityZone("sousse", "sahel-east", True, 3)}
        self.workers: dict[str, Worker] = {}
        self.workers_version = 0
        self.draining: frozenset[str] = frozenset()

    def submit(self, request: Request) -> model_status.RequestAnswer | Refused:
        self.events.append(f"submitted {request.request_id}")
        if request.kind == "raise":
            raise RuntimeError("broken frontend")
        if request.kind == "refuse":
            return Refused(ErrorKind(request.body), "détail", ExecutionStatus.UNKNOWN)
        if request.kind == "wait":
            self._wait_for_release(request.request_id)
        if request.kind == "release":
            self.release_events[request.body].send()
        return model_status.RequestAnswer(*request.key, request.body, "worker-1", "done", "d")

    def _wait_for_release(self, name: str) -> None:
        self.release_events[name] = Event()
        self.events.append(f"waiting {name}")
        try:
            self.release_events[name].wait()
            self.events.append(f"finished {name}")
        except BaseException as error:
            self.events.append(f"{type(error).__name__} {name}")
            raise

    def get_answer(self, organisation: str, request_id: str, wait_ms: int):  # type: ignore[no-untyped-def]
        if (organisation, request_id) == ("probe", "running"):
            return model_status.RequestAnswer(
                "probe", request_id, str(count_running()), "", "done", ""
            )
        if organisation == "probe":
            return model_status.RequestAnswer(
                "probe", request_id, dumps(self.events), "", "done", ""
            )
        if wait_ms:
            self._wait_for_release(request_id)
        return Refused(ErrorKind.NOT_FOUND, f"nothing is known of {request_id}")

    def cancel(self, organisation: str, request_id: str) -> Refused | None:
        return None if request_id == "queued" else Refused(ErrorKind.CONFLICT, "dispatched")

    def submit_job(self, spec: JobSpec) -> model_status.JobStatus:
        self.jobs[spec.key] = Job(spec, 1_000)
        return model_status.JobStatus(self.jobs[spec.key], 5, True)

    def get_job(self, organisation: str, job_id: str) -> model_status.JobStatus | Refused:
        job = self.jobs.get((organisation, job_id))
        return (
            model_status.JobStatus(job, 5, True) if job else Refused(ErrorKind.NOT_FOUND, "no job")
        )

    def cancel_job(self, organisation: str, job_id: str) -> model_status.JobStatus | Refused:
        return self.get_job(organisation, job_id)

    def list_jobs(self, organisation: str, state: str) -> model_status.JobList:
        jobs = [job for job in self.jobs.values() if organisation in ("", job.spec.organisation)]
        return model_status.JobList(tuple(model_status.JobStatus(job, 5, True) for job in jobs), 5)

    def follow_job(
        self, organisation: str, job_id: str
    ) -> Iterator[model_status.JobStatus | Refused]:
        try:
            status = self.get_job(organisation, job_id)
            yield status
            if isinstance(status, Refused):
                return
            if job_id == "endless":
                self._wait_for_release(job_id)
            if job_id == "broken":
                raise RuntimeError("broken iterator")
            yield replace(status, job=replace(status.job, state=JobState.FINISHED))
        finally:
            self.events.append(f"closed {job_id}")

    def put_organisation(self, organisation: Organisation) -> model_status.Change | Refused:
        current = self.organisations.get(organisation.name, Organisation(""))
        if current.version != organisation.version:
            return CONFLICT
        version = current.version + 1
        self.organisations[organisation.name] = replace(organisation, version=version)
        return model_status.Change(7, version)

    def remove_organisation(self, name: str, version: int) -> model_status.Change | Refused:
        if name not in self.organisations:
            return Refused(ErrorKind.UNKNOWN_ORGANISATION, name)
        if self.organisations[name].version != version:
            return CONFLICT
        del self.organisations[name]
        return model_status.Change(8, version + 1)

    def set_zone(self, zone: AvailabilityZone) -> model_status.Change | Refused:
        current = self.zones.get(zone.name, AvailabilityZone("", ""))
        if current.version != zone.version:
            return CONFLICT
        self.zones[zone.name] = replace(zone, version=zone.version + 1)
        return model_status.Change(9, zone.version + 1)

    def drain_target(
        self, worker: str, draining: bool, version: int
    ) -> model_status.Change | Refused:
        if version != self.workers_version:
            return CONFLICT
        self.workers_version += 1
        self.draining = frozenset({worker}) if draining else frozenset()
        return model_status.Change(10, self.workers_version)

    def put_workers(self, workers, removed, version: int):  # type: ignore[no-untyped-def]
        if version != self.workers_version:
            return CONFLICT
        self.workers_version += 1
        self.workers.update({worker.name: worker for worker in workers})
        return model_status.Change(11, self.workers_version)

    def get_configuration(self) -> model_status.Configuration:
        return model_status.Configuration(
            11,
            tuple(self.organisations.values()),
            tuple(self.zones.values()),
            tuple(self.workers.values()),
            self.draining,
            self.workers_version,
            MappingProxyType({"entry-1": 11}),
            False,
        )

    def list_placements(self) -> model_status.PlacementList:
        return model_status.PlacementList(tuple(self.jobs.values()), 12, 8, 5)

    def list_instances(self) -> tuple[model_status.InstanceStatus, ...]:
        return (model_status.InstanceStatus("entry-1", "a:1", "sousse", "self", 5, 4, 30, True),)

    def heartbeat(self, heartbeat: model_status.PeerHeartbeat) -> None:
        self.events.append(f"heard {heartbeat.name} {heartbeat.log_offset}")

    def peer_disconnected(self, name: str) -> None:
        self.events.append(f"lost {name}")

    def find_answer(self, organisation: str, request_id: str) -> model_status.FoundAnswer:
        if request_id == "wait":
            self._wait_for_release(request_id)
        return model_status.FoundAnswer("done", "d", "answer", "worker-1")

    def cancel_waiting(self, organisation: str, request_id: str) -> model_status.CancelState:
        return model_status.CancelState.CANCELLED

    def read_records(self, start: int, limit: int) -> model_status.RelayedEntries:
        entries = tuple(model_status.RelayedEntry(start + i, 1_000, "{}") for i in range(limit))
        return model_status.RelayedEntries(entries, start + limit, 0, 20)


def count_running() -> int:
    """Return the number of green threads and asyncio tasks that have not ended."""
    gc.collect()
    threads = [item for item in gc.get_objects() if isinstance(item, GreenThread) and not item.dead]
    return len(threads) + len(asyncio.all_tasks(get_hub().loop))


def main() -> None:
    """Serve until SIGTERM, then stop and print whether all calls ended in time."""
    eventlet.monkey_patch()
    logging.basicConfig(level="ERROR")
    frontend = FakeFrontend()
    address = sys.argv[2] if len(sys.argv) > 2 else "127.0.0.1:0"
    handle = serve(address, build_services(frontend, frontend))
    stop = Event()
    get_hub().loop.add_signal_handler(signal.SIGTERM, stop.send)
    print(handle.address, flush=True)
    stop.wait()
    print("draining", flush=True)
    print(handle.stop(int(sys.argv[1])), flush=True)


if __name__ == "__main__":
    main()
