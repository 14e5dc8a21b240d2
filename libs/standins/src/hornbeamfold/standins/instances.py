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
    error_reply,
    with_faults,
)
from hornbeamfold.standins.instance_list import InstanceList, ListedInstance
from hornbeamfold.standins.network import Traffic
from hornbeamfold.standins.server import (
    Port,
    argument_parser,
    control_handler,
    delays_argument,
    run_process,
)

PREFIX = "/v1/instances/"
ROLES = ("entry", "worker")
STATES = ("live", "leaving")


def list_handler(instances: InstanceList) -> Handler:
    """Return the handler of the instance list protocol."""

    def put(call: Call) -> Reply:
        name = call.path.removeprefix(PREFIX)
        try:
            instance = convert(call.body, ListedInstance)
        except ValidationError as error:
            return error_reply(400, str(error))
        if instance.name != name:
            return error_reply(400, "the name differs from the path")
        if instance.role not in ROLES or instance.state not in STATES:
            return error_reply(400, f"role is one of {ROLES}, state one of {STATES}")
        instances.put(instance)
        return Reply(200, {}, wrote=True)

    def handle(call: Call) -> Reply:
        if (call.method, call.path) == ("GET", "/v1/instances"):
            return Reply(200, {"instances": [asdict(instance) for instance in instances.visible()]})
        if call.method == "PUT" and call.path.startswith(PREFIX):
            return put(call)
        return error_reply(404, "no such path")

    return handle


def main() -> None:
    """Run the instance list until SIGTERM."""
    parser = argument_parser(main.__doc__ or "")
    parser.add_argument("--lag-ms", type=int, default=0, help="delay until a change is visible")
    parser.add_argument("--expiry-ms", type=int, default=0, help="0 keeps entries forever")
    options = parser.parse_args()
    instances = InstanceList(options.lag_ms, options.expiry_ms, lambda: monotonic() * 1000)
    delays = delays_argument(options.delays)
    faults, traffic = FaultState(), Traffic()
    port, control_port = Port(options.port), Port(options.control_port)

    def apply_faults(current: Faults) -> None:
        instances.set_lag(options.lag_ms if current.list_lag_ms is None else current.list_lag_ms)
        instances.set_stale(current.stale_reads)
        port.apply_faults(current)

    def handle_other(call: Call) -> Reply:
        if call.method == "POST" and call.path == "/control/remove":
            instances.remove(call.body.get("name", ""))
            return Reply(200, {})
        return error_reply(404, "no such path")

    faults.add_listener(apply_faults)
    control = control_handler(faults.change, faults.reset, traffic, handle_other)
    serve = with_faults(list_handler(instances), faults, delays, options.zone)
    app = application(serve, control, delays, options.zone, traffic)
    port.serve(app)
    control_port.serve(app)
    run_process({"address": port.address, "control": control_port.address}, options.exit_on_eof)


if __name__ == "__main__":
    main()
