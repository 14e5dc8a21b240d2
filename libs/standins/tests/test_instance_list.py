"""Tests of the lag and the expiry of the instance list, and of its protocol."""

import unittest
from dataclasses import asdict, replace

from standin_calls import call

from hornbeamfold.standins.instance_list import InstanceList, ListedInstance
from hornbeamfold.standins.launch import StandIn

ENTRY = ListedInstance("i1", "entry", "127.0.0.1:1", "z1", "live")
LEAVING = replace(ENTRY, state="leaving")


class InstanceListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ms = 0.0
        self.instances = InstanceList(100, 1_000, lambda: self.now_ms)

    def test_changes_are_visible_after_the_lag(self) -> None:
        """Guards against a list that is more recent in tests than that of the platform."""
        self.instances.put(ENTRY)
        self.now_ms = 50
        self.instances.put(LEAVING)
        seen = []
        for self.now_ms in (99, 100, 149, 150):
            seen.append(self.instances.visible())
        self.assertEqual(seen, [(), (ENTRY,), (ENTRY,), (LEAVING,)])
        self.instances.remove("i1")
        self.assertEqual(self.instances.visible(), (LEAVING,))
        self.now_ms = 250
        self.assertEqual(self.instances.visible(), ())

    def test_entries_expire_unless_they_are_renewed(self) -> None:
        """Guards against dead instances that stay listed, and live ones that disappear."""
        self.instances.put(ENTRY)
        self.now_ms = 900
        self.instances.put(ENTRY)
        self.now_ms = 1_500
        self.assertEqual(self.instances.visible(), (ENTRY,))
        self.now_ms = 2_001
        self.assertEqual(self.instances.visible(), ())

    def test_a_stale_list_does_not_change(self) -> None:
        """Guards against a stale list from which entries expire."""
        self.instances.put(ENTRY)
        self.now_ms = 200
        self.instances.set_stale(True)
        self.now_ms = 5_000
        self.assertEqual(self.instances.visible(), (ENTRY,))
        self.instances.set_stale(False)
        self.assertEqual(self.instances.visible(), ())


class InstancesProcessTest(unittest.TestCase):
    def test_the_protocol(self) -> None:
        """Guards against a stand-in that differs from the published protocol."""
        stand_in = StandIn("instances")
        self.addCleanup(stand_in.stop)
        url = f"{stand_in.url}/v1/instances"
        self.assertEqual(call(f"{url}/i1", asdict(ENTRY), "PUT")[0], 200)
        self.assertEqual(call(f"{url}/i2", asdict(ENTRY), "PUT")[0], 400)
        self.assertEqual(call(f"{url}/i1", {**asdict(ENTRY), "state": "x"}, "PUT")[0], 400)
        self.assertEqual(call(url), (200, {"instances": [asdict(ENTRY)]}))
        stand_in.set_faults(list_lag_ms=60_000)
        self.assertEqual(call(url), (200, {"instances": []}))
