"""Runs a sample deployment for use with the command-line tool, until it is interrupted."""

import asyncio
import signal
import sys
from contextlib import suppress

from hornbeamfold.bench.demo import configure
from hornbeamfold.bench.fleet import running_fleet
from hornbeamfold.bench.topologies import highwater, rampes

DEPLOYMENTS = {"rampes": rampes, "highwater": highwater}


def main() -> int:
    """Start the processes, publish the configuration and wait for SIGINT or SIGTERM."""
    deployment = sys.argv[1] if len(sys.argv) > 1 else "rampes"
    if deployment not in DEPLOYMENTS:
        print(
            f"unknown deployment {deployment}; choose one of {', '.join(DEPLOYMENTS)}",
            file=sys.stderr,
        )
        return 2
    with running_fleet(DEPLOYMENTS[deployment]()) as fleet:
        asyncio.run(configure(fleet.addresses()[0], fleet.topology))
        for daemon in fleet.daemons.values():
            print(f"{daemon.name}: calls {daemon.address}, metrics http://{daemon.http_address}")
        print(f"export HORNBEAMFOLD_ADDRESS={fleet.addresses()[0]}", flush=True)
        # The default action of SIGTERM would leave the child processes running.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with suppress(KeyboardInterrupt):
            signal.pause()
    return 0


if __name__ == "__main__":
    sys.exit(main())
