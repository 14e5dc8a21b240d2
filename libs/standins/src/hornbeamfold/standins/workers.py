"""Stand-in of many workers in one process: python -m hornbeamfold.standins.workers."""

from dataclasses import asdict, dataclass
from time import time
from typing import Any

from msgspec import convert

from hornbeamfold.standins.faults import Faults, FaultState
from hornbeamfold.standins.http import Call, Handler, Reply, application, refusal, with_faults
from hornbeamfold.standins.network import Delays, Traffic
from hornbeamfold.standins.server import (
    Port,
    arguments,
    control_handler,
    delays_argument,
    json_argument,
    run_process,
)
from hornbeamfold.standins.worker import Worker
from hornbeamfold.standins.worker_data import Topology, WorkerSpec


@dataclass(frozen=True)
class Served:
    """One worker with its faults."""

    worker: Worker
    faults: FaultState


def serve_worker(spec: WorkerSpec, port: Port, delays: Delays, traffic: Traffic) -> Served:
    """Serve one worker on its port."""
    faults = FaultState()
    worker = Worker(spec, lambda: faults.current, lambda: port.connections, lambda: time() * 1000)
    served = Served(worker, faults)

    def fault_changed(now: Faults) -> None:
        if now.dead:
            worker.lose_all()
        port.follow_faults(now)

    faults.listen(fault_changed)
    zone = spec.availability_zone
    serve = with_faults(worker.handle, faults, delays, zone)
    control = control_handler(faults.change, faults.reset, traffic, starts_handler((served,)))
    port.serve(application(serve, control, delays, zone, traffic))
    return served


def starts_handler(served: tuple[Served, ...]) -> Handler:
    """Return the handler of the list of starts."""

    def handle(call: Call) -> Reply:
        if (call.method, call.path) != ("GET", "/control/starts"):
            return refusal(404, "no such path")
        starts = [one for each in served for one in each.worker.starts]
        starts.sort(key=lambda one: one.at_ms)
        return Reply(200, {"starts": [asdict(one) for one in starts]})

    return handle


def change_all(served: dict[str, Served], patch: dict[str, Any]) -> str:
    """Change the faults of the workers named in `workers`, or of all of them."""
    patch = dict(patch)
    names = patch.pop("workers", list(served))
    unknown = sorted(set(names) - set(served))
    if unknown:
        return f"unknown workers: {', '.join(unknown)}"
    wrong = [served[name].faults.change(patch) for name in names]
    return next(filter(None, wrong), "")


def main() -> None:
    """Run the workers of a topology until SIGTERM."""
    parser = arguments(main.__doc__ or "")
    parser.add_argument("--topology", required=True, help="JSON or a file: a list `workers`")
    chosen = parser.parse_args()
    topology = convert(json_argument(chosen.topology), Topology)
    delays = delays_argument(chosen.delays)
    traffic = Traffic()
    ports = {spec.name: Port(spec.port) for spec in topology.workers}
    served = {
        spec.name: serve_worker(spec, ports[spec.name], delays, traffic)
        for spec in topology.workers
    }

    def reset_all() -> None:
        for one in served.values():
            one.faults.reset()

    control = control_handler(
        lambda patch: change_all(served, patch),
        reset_all,
        traffic,
        starts_handler(tuple(served.values())),
    )
    control_port = Port(chosen.control_port)
    control_port.serve(
        application(lambda call: refusal(404, "no such path"), control, delays, "", traffic)
    )
    addresses = {name: port.address for name, port in ports.items()}
    address = control_port.address
    ready = {"address": address, "control": address, "addresses": addresses}
    run_process(ready, chosen.exit_on_eof)


if __name__ == "__main__":
    main()
