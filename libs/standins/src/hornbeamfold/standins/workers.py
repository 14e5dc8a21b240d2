"""Stand-in of several workers in one process: python -m hornbeamfold.standins.workers."""

from dataclasses import asdict, dataclass
from time import time
from typing import Any

from msgspec import convert

from hornbeamfold.standins.faults import Faults, FaultState
from hornbeamfold.standins.http import Call, Handler, Reply, application, error_reply, with_faults
from hornbeamfold.standins.network import Delays, Traffic
from hornbeamfold.standins.server import (
    Port,
    argument_parser,
    control_handler,
    delays_argument,
    json_argument,
    run_process,
)
from hornbeamfold.standins.worker import Worker
from hornbeamfold.standins.worker_data import Topology, WorkerSpec


@dataclass(frozen=True)
class ServedWorker:
    """One served worker with its faults."""

    worker: Worker
    faults: FaultState


def serve_worker(spec: WorkerSpec, port: Port, delays: Delays, traffic: Traffic) -> ServedWorker:
    """Serve one worker on its port."""
    faults = FaultState()
    worker = Worker(spec, lambda: faults.current, lambda: port.connections, lambda: time() * 1000)
    served = ServedWorker(worker, faults)

    def apply_faults(current: Faults) -> None:
        if current.dead:
            worker.crash()
        port.apply_faults(current)

    faults.add_listener(apply_faults)
    zone = spec.availability_zone
    serve = with_faults(worker.handle, faults, delays, zone)
    control = control_handler(faults.change, faults.reset, traffic, starts_handler((served,)))
    port.serve(application(serve, control, delays, zone, traffic))
    return served


def starts_handler(served: tuple[ServedWorker, ...]) -> Handler:
    """Return the handler that lists the starts of these workers."""

    def handle(call: Call) -> Reply:
        if (call.method, call.path) != ("GET", "/control/starts"):
            return error_reply(404, "no such path")
        starts = [start for served_worker in served for start in served_worker.worker.starts]
        starts.sort(key=lambda start: start.at_ms)
        return Reply(200, {"starts": [asdict(start) for start in starts]})

    return handle


def change_faults(served: dict[str, ServedWorker], patch: dict[str, Any]) -> str:
    """Change the faults of the workers listed in `workers`, by default of all of them."""
    patch = dict(patch)
    names = patch.pop("workers", list(served))
    unknown = sorted(set(names) - set(served))
    if unknown:
        return f"unknown workers: {', '.join(unknown)}"
    errors = [served[name].faults.change(patch) for name in names]
    return next(filter(None, errors), "")


def main() -> None:
    """Run the workers of a topology until SIGTERM."""
    parser = argument_parser(main.__doc__ or "")
    parser.add_argument("--topology", required=True, help="JSON or a file: a list `workers`")
    options = parser.parse_args()
    topology = convert(json_argument(options.topology), Topology)
    delays = delays_argument(options.delays)
    traffic = Traffic()
    ports = {spec.name: Port(spec.port) for spec in topology.workers}
    served = {
        spec.name: serve_worker(spec, ports[spec.name], delays, traffic)
        for spec in topology.workers
    }

    def reset_all() -> None:
        for served_worker in served.values():
            served_worker.faults.reset()

    control = control_handler(
        lambda patch: change_faults(served, patch),
        reset_all,
        traffic,
        starts_handler(tuple(served.values())),
    )
    control_port = Port(options.control_port)
    control_port.serve(
        application(lambda call: error_reply(404, "no such path"), control, delays, "", traffic)
    )
    addresses = {name: port.address for name, port in ports.items()}
    address = control_port.address
    ready = {"address": address, "control": address, "addresses": addresses}
    run_process(ready, options.exit_on_eof)


if __name__ == "__main__":
    main()
