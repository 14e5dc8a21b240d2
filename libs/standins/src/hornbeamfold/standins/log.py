"""Stand-in of the log service: python -m hornbeamfold.standins.log."""

from dataclasses import asdict
from time import time

from eventlet import spawn_after

from hornbeamfold.standins.faults import Faults, FaultState
from hornbeamfold.standins.http import (
    Call,
    Handler,
    Reply,
    application,
    error_reply,
    query_integer,
    with_faults,
)
from hornbeamfold.standins.log_store import MAX_RECORD_BYTES, Limits, LogStore
from hornbeamfold.standins.network import Traffic
from hornbeamfold.standins.server import (
    Port,
    argument_parser,
    control_handler,
    delays_argument,
    run_process,
)

MAX_WAIT_MS = 30_000
DEFAULT_LIMIT = 1_000


def log_handler(store: LogStore, faults: FaultState) -> Handler:
    """Return the handler of the log service protocol."""

    def append(call: Call) -> Reply:
        data = call.body.get("data") if isinstance(call.body, dict) else None
        if not isinstance(data, str):
            return error_reply(400, "data must be a string")
        if len(data.encode()) > MAX_RECORD_BYTES:
            return error_reply(413, f"a record has at most {MAX_RECORD_BYTES} bytes")
        offset = store.append(data)
        if faults.duplicates_append():
            spawn_after(faults.current.duplicate_after_ms / 1000, store.append, data)
        return Reply(200, {"offset": offset}, wrote=True)

    def read(call: Call) -> Reply:
        start = query_integer(call, "from", 0)
        limit = query_integer(call, "limit", DEFAULT_LIMIT)
        wait_ms = query_integer(call, "wait_ms", 0)
        if start is None or limit is None or wait_ms is None or start < 0 or limit < 1:
            return error_reply(400, "from, limit and wait_ms must be numbers, limit above 0")
        page = store.read(start, limit, min(wait_ms, MAX_WAIT_MS))
        if page.expired:
            return Reply(410, {"first": page.first, "end": page.end})
        records = [asdict(record) for record in page.records]
        return Reply(200, {"records": records, "first": page.first, "end": page.end})

    def handle(call: Call) -> Reply:
        if (call.method, call.path) == ("POST", "/v1/records"):
            return append(call)
        if (call.method, call.path) == ("GET", "/v1/records"):
            return read(call)
        return error_reply(404, "no such path")

    return handle


def main() -> None:
    """Run the log service until SIGTERM."""
    parser = argument_parser(main.__doc__ or "")
    parser.add_argument("--max-records", type=int, default=0, help="0 keeps all")
    parser.add_argument("--max-age-ms", type=int, default=0, help="0 keeps all")
    parser.add_argument("--appends-per-s", type=int, default=300)
    options = parser.parse_args()
    limits = Limits(options.max_records, options.max_age_ms, options.appends_per_s)
    store = LogStore(limits, lambda: time() * 1000)
    delays = delays_argument(options.delays)
    faults, traffic = FaultState(), Traffic()
    port, control_port = Port(options.port), Port(options.control_port)

    def apply_faults(current: Faults) -> None:
        store.set_stale(current.stale_reads)
        port.apply_faults(current)

    def handle_other(call: Call) -> Reply:
        if (call.method, call.path) == ("GET", "/control/log"):
            return Reply(200, {"end": store.end, "connections": port.connections})
        return error_reply(404, "no such path")

    faults.add_listener(apply_faults)
    control = control_handler(faults.change, faults.reset, traffic, handle_other)
    serve = with_faults(log_handler(store, faults), faults, delays, options.zone)
    app = application(serve, control, delays, options.zone, traffic)
    port.serve(app)
    control_port.serve(app)
    ready = {"address": port.address, "control": control_port.address}
    run_process(ready, options.exit_on_eof)


if __name__ == "__main__":
    main()
