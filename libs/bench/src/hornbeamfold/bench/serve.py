"""Keeps one firm running for a tour with the command-line tool, until it is interrupted."""

import asyncio
import signal
import sys
from contextlib import suppress

from hornbeamfold.bench.demo import configure
from hornbeamfold.bench.fleet import running_fleet
from hornbeamfold.bench.topologies import highwater, rampes

FIRMS = {"rampes": rampes, "highwater": highwater}


def main() -> int:
    """Start the processes, publish the configuration and wait."""
    firm = sys.argv[1] if len(sys.argv) > 1 else "rampes"
    if firm not in FIRMS:
        print(f"unknown firm {firm}; choose one of {', '.join(FIRMS)}", file=sys.stderr)
        return 2
    with running_fleet(FIRMS[firm]()) as fleet:
        asyncio.run(configure(fleet.addresses()[0], fleet.topology))
        for daemon in fleet.daemons.values():
            print(f"{daemon.name}: calls {daemon.address}, metrics http://{daemon.http_address}")
        print(f"export HORNBEAMFOLD_ADDRESS={fleet.addresses()[0]}", flush=True)
        # The default of SIGTERM would leave the child processes behind.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with suppress(KeyboardInterrupt):
            signal.pause()
    return 0


if __name__ == "__main__":
    sys.exit(main())
