"""Stand-ins of workers: they run each task for as long as its specification says."""

import json
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

from store import Store, serve

GANG_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5
ENDS_PER_REPORT = 500
TICK_S = 0.01


@dataclass
class Run:
    """A run of a task on a worker; times are on the machine's steady clock."""

    task: str
    number: int
    began: float
    run_s: float
    fails: bool = False


@dataclass
class Life:
    """One incarnation of a worker: what it holds and knows is gone with it."""

    born_ms: int
    began: float
    clock_rate: float = 1.0
    token: int = 0
    lease_until: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    ended: list[list] = field(default_factory=list)
    ends: int = 0

    def clock_ms(self) -> int:
        """Return the worker's steady clock, which begins anew with each life."""
        return int((time.monotonic() - self.began) * 1_000 * self.clock_rate) + 1_000


class Worker:
    """A worker at one address, with one life at a time.

    `observe` is called with the name of the event, the worker's id and the run. `unhealthy` makes
    it answer every call with 503, which does nothing. `held_s` is when its lease was extended last,
    and `clock_rate` the speed of its steady clock.
    """

    def __init__(
        self,
        worker_id: str,
        store: Store,
        service: str,
        zone: str,
        capacity: dict[str, int],
        labels: list[str],
        observe: Callable[[str, str, Run | None, str], None],
        hold_max_ms: int = 6_000,
        clock_rate: float = 1.0,
    ) -> None:
        self.worker_id = worker_id
        self.unhealthy = False
        self.up = True
        self.reaches_store = True
        self._store = store
        self._service = service
        self._zone = zone
        self._capacity = capacity
        self._labels = labels
        self._observe = observe
        self._hold_max_ms = hold_max_ms
        self._clock_rate = clock_rate
        self._lock = threading.Condition()
        self._sequence = 0
        self._connections: set[socket.socket] = set()
        self._life = self._new_life()
        self.held_s = 0.0
        self.address = serve(self._handler())
        for target in (self._beat, self._tick):
            threading.Thread(target=target, daemon=True).start()

    def _new_life(self) -> Life:
        return Life(int(time.time() * 1_000), time.monotonic(), self._clock_rate)

    @property
    def running(self) -> list[Run]:
        """The current runs."""
        with self._lock:
            return list(self._life.runs.values())

    def crash(self) -> None:
        """End the life of the worker: its runs and connections are gone at once."""
        with self._lock:
            self.up = False
            for run in self._life.runs.values():
                self._observe("gone", self.worker_id, run, "")
            self._life.runs = {}
            self._observe("crash", self.worker_id, None, "")
            connections, self._connections = self._connections, set()
        for connection in connections:
            _close(connection)

    def restart(self) -> None:
        """Begin a new life under the same id and address."""
        with self._lock:
            self._life = self._new_life()
            self._sequence = 0
            self.up = True
            self._observe("restart", self.worker_id, None, f"born {self._life.born_ms}")
        self.report()

    def report(self) -> None:
        """Write the entry of the worker into the store."""
        with self._lock:
            self._sequence += 1
            entry = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self._capacity,
                "labels": self._labels,
                "born": self._life.born_ms,
                "sequence": self._sequence,
            }
        self._store.put("keyed.servers", self.worker_id, entry)

    def _beat(self) -> None:
        silent = 0
        while True:
            if self.up and self.reaches_store:
                silent = 0
                self.report()
            else:
                silent += 1
                if silent == 3:
                    self._store.put("keyed.servers", self.worker_id, None)
            time.sleep(HEARTBEAT_S)

    def _tick(self) -> None:
        while True:
            with self._lock:
                self._advance()
            time.sleep(TICK_S)

    def _advance(self) -> None:
        now = time.monotonic()
        for run in tuple(self._life.runs.values()):
            if now > self._life.lease_until:
                self._end(run, "lapsed")
            elif now - run.began >= run.run_s:
                self._end(run, "failed" if run.fails else "done")

    def _end(self, run: Run, how: str) -> None:
        life = self._life
        del life.runs[run.task]
        life.refused[run.task] = max(run.number, life.refused.get(run.task, 0))
        life.ends += 1
        life.ended.append([life.ends, run.task, run.number, how, ""])
        self._observe("end", self.worker_id, run, how)
        self._lock.notify_all()

    def _extend(self, deadline_ms: int) -> None:
        life = self._life
        left_ms = min(deadline_ms - life.clock_ms(), self._hold_max_ms)
        life.lease_until = max(
            life.lease_until, time.monotonic() + left_ms / 1_000 / life.clock_rate
        )

    def hold(self, body: dict) -> tuple[int, dict]:
        """Extend the lease, drop the ends that are taken note of, and wait for a new one."""
        until = time.monotonic() + body.get("wait_ms", 0) / 1_000
        with self._lock:
            life = self._life
            if body["fencing_token"] < life.token:
                return 409, {"clock_ms": life.clock_ms(), "reason": "fence"}
            life.token = body["fencing_token"]
            if "deadline_ms" in body:
                self.held_s = time.monotonic()
            for end in life.ended:
                if end[0] <= body["last_seen"]:
                    self._observe("noted", self.worker_id, None, f"{end[1]} run {end[2]} {end[3]}")
            life.ended = [end for end in life.ended if end[0] > body["last_seen"]]
            if "deadline_ms" in body:
                self._extend(body["deadline_ms"])
            while not life.ended and life is self._life and (left := until - time.monotonic()) > 0:
                self._lock.wait(left)
            now = time.monotonic()
            running = [
                [run.task, run.number, "", round(min(99.0, 100 * (now - run.began) / run.run_s), 2)]
                for run in life.runs.values()
            ]
            ended = life.ended[:ENDS_PER_REPORT]
            clock_ms = life.clock_ms()
            return 200, {
                "clock_ms": clock_ms,
                "born": life.born_ms,
                "running": running,
                "ended": ended,
            }

    def start(self, body: dict) -> tuple[int, dict]:
        """Start a run unless it is late, old or ordered with an old fencing token."""
        task, number = body["task"], body["run"]
        with self._lock:
            life = self._life
            clock = {"clock_ms": life.clock_ms()}
            if body["fencing_token"] < life.token:
                return 409, {**clock, "reason": "fence"}
            life.token = body["fencing_token"]
            known = life.runs.get(task)
            if known is not None and known.number == number:
                return 200, clock
            if body["deadline_ms"] < clock["clock_ms"]:
                return 409, {**clock, "reason": "late"}
            self._extend(body["deadline_ms"])
            if known is not None or number <= life.refused.get(task, 0):
                return 409, {**clock, "reason": "old"}
            work = json.loads(body["specification"])
            run = Run(task, number, time.monotonic(), work["run_s"], work.get("fails", False))
            life.runs[task] = run
            self._observe("start", self.worker_id, run, f"token {body['fencing_token']}")
            return 200, clock

    def stop(self, body: dict) -> tuple[int, dict]:
        """Stop a run, and reject its start from now on."""
        task, number = body["task"], body["run"]
        with self._lock:
            life = self._life
            clock = {"clock_ms": life.clock_ms()}
            if body["fencing_token"] < life.token:
                return 409, {**clock, "reason": "fence"}
            life.token = body["fencing_token"]
            life.refused[task] = max(number, life.refused.get(task, 0))
            run = life.runs.get(task)
            if run is not None and run.number == number:
                self._end(run, "stopped")
            return 200, clock

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self) -> None:
                """Note the connection; a worker that is down closes it at once."""
                super().setup()
                with worker._lock:
                    worker._connections.add(self.request)
                if not worker.up:
                    _close(self.request)

            def finish(self) -> None:
                """Forget the connection."""
                with worker._lock:
                    worker._connections.discard(self.request)
                super().finish()

            def log_message(self, *_: object) -> None:
                """Write no log."""

            def do_POST(self) -> None:
                """Carry out one call."""
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)))
                if not worker.up:
                    _close(self.request)
                    return
                expected = self.headers.get("Hornbeamfold-Expected-Instance", worker.worker_id)
                operation = {
                    "/hornbeamfold/hold": worker.hold,
                    "/hornbeamfold/run-start": worker.start,
                    "/hornbeamfold/run-stop": worker.stop,
                }.get(self.path)
                if expected != worker.worker_id:
                    status, document = 421, {}
                elif worker.unhealthy:
                    status, document = 503, {}
                elif operation is None:
                    status, document = 404, {}
                else:
                    status, document = operation(body)
                answer = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

        return Handler


def _close(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
