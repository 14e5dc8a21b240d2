"""Tests of a fleet of real processes."""

import asyncio
import unittest

from hornbeamfold.bench.fleet import FleetOptions, running_fleet, wait_until
from hornbeamfold.bench.topologies import rampes
from hornbeamfold.rpc import client


class RunningFleet(unittest.TestCase):
    def test_instances_with_ports_of_the_system_hear_one_another(self) -> None:
        """Guards against announcing the configured port 0, to which no peer can connect."""
        with running_fleet(rampes(), FleetOptions(instances=2)) as fleet:

            def hear_one_another() -> bool:
                for address in fleet.addresses():
                    listed = asyncio.run(client.list_instances(address, 1_000))
                    if not isinstance(listed, tuple) or len(listed) != 2:
                        return False
                    if {one.address for one in listed} != set(fleet.addresses()):
                        return False
                return True

            wait_until(hear_one_another, 10.0, "heartbeats between both instances")


if __name__ == "__main__":
    unittest.main()
