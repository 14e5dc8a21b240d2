"""Stand-in of the instance list: python -m hornbeamfold.standins.instances."""

from dataclasses import asdict
from time import monotonic

from msgspec import ValidationError, convert

from hornbeamfold.standins.faults import Faults, FaultState
from hornbeamfold.standins.http import (
    Call,
    Handler,
    Reply,
    application,
    refusal,
    with_faults,
)
from hornbeamfold.standins.instance_list import InstanceList, Listed
from hornbeamfold.standins.network import Traffic
from hornbeamfold.standins.server import (
    Port,
    arguments,
    control_handler,
    delays_argument,
    run_process,
)

PREFIX = "/v1/instances/"
ROLES = ("entry", "worker")
STATES = ("live", "leaving")


def list_handler(instances: InstanceList) -> Handler:
    """Return the handler of the list's protocol."""

    def put(call: Call) -> Reply:
        name = call.path.removeprefix(PREFIX)
        try:
            instance = convert(call.body, Listed)
        except ValidationError as error:
            return refusal(400, str(error))
        if instance.name != name:
            return refusal(400, "the name differs from the path")
        if instance.role not in ROLES or instance.state not in STATES:
            return refusal(400, f"role is one of {ROLES}, state one of {STATES}")
        instances.put(instance)
        return Reply(200, {}, wrote=True)

    def handle(call: Call) -> Reply:
        if (call.method, call.path) == ("GET", "/v1/instances"):
            return Reply(200, {"instances": [asdict(one) for one in instances.visible()]})
        if call.method == "PUT" and call.path.startswith(PREFIX):
            return put(call)
        return refusal(404, "no such path")

    return handle


def main() -> None:
    """Run the instance list until SIGTERM."""
    parser = arguments(main.__doc__ or "")
    parser.add_argument("--lag-ms", type=int, default=0, help="time until a change is visible")
    parser.add_argument("--expiry-ms", type=int, default=0, help="0 keeps entries for ever")
    chosen = parser.parse_args()
    instances = InstanceList(chosen.lag_ms, chosen.expiry_ms, lambda: monotonic() * 1000)
    delays = delays_argument(chosen.delays)
    faults, traffic = FaultState(), Traffic()
    port, control_port = Port(chosen.port), Port(chosen.control_port)

    def fault_changed(now: Faults) -> None:
        instances.set_lag(chosen.lag_ms if now.list_lag_ms is None else now.list_lag_ms)
        instances.set_stale(now.stale_reads)
        port.follow_faults(now)

    def more(call: Call) -> Reply:
        if call.method == "POST" and call.path == "/control/remove":
            instances.remove(call.body.get("name", ""))
            return Reply(200, {})
        return refusal(404, "no such path")

    faults.listen(fault_changed)
    control = control_handler(faults.change, faults.reset, traffic, more)
    serve = with_faults(list_handler(instances), faults, delays, chosen.zone)
    app = application(serve, control, delays, chosen.zone, traffic)
    port.serve(app)
    control_port.serve(app)
    run_process({"address": port.address, "control": control_port.address}, chosen.exit_on_eof)


if __name__ == "__main__":
    main()
