"""Randomised simulation of the freshness rule: several instances on a virtual clock.

The simulated faults lose, delay and reorder heartbeats, cut links in one or both directions, cut
instances off from the log and the instance list, pause and kill instances, and take the log down.
New instances join meanwhile.
"""

import os
import unittest
from random import Random

from hornbeamfold.membership import Freshness, ListedInstance, PeerTable
from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.model.timing import HEARTBEAT_INTERVAL_MS, START_TIMEOUT_MS, ZONE_OUT_BOUND_MS

STEP_MS = 50
READ_MS = 500
LIST_READ_MS = 1_000
LIST_LAG_MS = 10_000
RUN_MS = 120_000
SEEDS = int(os.environ.get("HORNBEAMFOLD_RANDOM_RUNS", "60"))


class Node:
    """A simulated instance with a real peer table and freshness rule."""

    def __init__(self, name: str, region: str, now_ms: int) -> None:
        self.name = name
        self.region = region
        self.table = PeerTable(name, region)
        self.freshness = Freshness(self.table, region)
        self.log_offset = 0
        self.paused_until = 0
        self.log_cut_until = 0
        self.list_cut_until = 0
        self.read_started_ms: int | None = None
        self.next_read_ms = now_ms
        self.next_list_ms = now_ms
        self.next_heartbeat_ms = now_ms
        self.inbox: list[tuple[int, PeerHeartbeat]] = []

    def heartbeat(self, now_ms: int) -> PeerHeartbeat:
        return PeerHeartbeat(
            seq=self.table.next_seq(now_ms),
            name=self.name,
            incarnation=f"{self.name}-1",
            address="",
            availability_zone="",
            region=self.region,
            leaving=False,
            log_offset=self.log_offset,
            configuration_offset=self.log_offset,
            confirmed_age_ms=self.freshness.own_confirmed_age(now_ms),
            log_reachable=self.freshness.log_reachable,
            heard=self.table.last_seqs(now_ms),
            in_flight={},
            waiting=0,
            set_aside=(),
            settled=self.freshness.is_settled(now_ms),
        )


class Simulation:
    """The log, the instance list, the links and the instances.

    Records when changes were accepted, and in `violations` the starts that were too late.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0
        self.log_end = 0
        self.log_down_until = 0
        self.list_down_until = 0
        self.registered_instances: list[tuple[int, ListedInstance]] = []
        self.links_cut: dict[tuple[str, str], tuple[int, bool]] = {}
        self.nodes: dict[str, Node] = {}
        self.pending_changes: dict[int, str] = {}
        self.accepted_ms: dict[int, int] = {}
        self.starts = 0
        self.outage_starts = 0
        self.faults = 0
        self.violations: list[str] = []
        for number in range(4):
            self.join(f"n{number}", "east" if number < 3 else "south")
        # The first instances have been running for long enough to be settled.
        for node in self.nodes.values():
            self.registered_instances = [
                (-LIST_LAG_MS, one) for _, one in self.registered_instances
            ]
            node.freshness.record_announcement(-60_000)

    def join(self, name: str, region: str) -> None:
        self.nodes[name] = Node(name, region, self.now_ms)
        self.registered_instances.append(
            (self.now_ms, ListedInstance(name, "entry", "", "", "live"))
        )

    def run(self) -> None:
        while self.now_ms < RUN_MS:
            self.now_ms += STEP_MS
            self.inject_fault()
            for node in list(self.nodes.values()):
                if self.now_ms >= node.paused_until:
                    self.step(node)

    def inject_fault(self) -> None:
        """Start a random fault, with a probability of 3 % in each step."""
        if self.random.random() > 0.03:
            return
        self.faults += 1
        until = self.now_ms + self.random.choice((300, 2_000, 6_000, 20_000))
        node = self.random.choice(list(self.nodes.values()))
        other = self.random.choice(list(self.nodes.values()))
        fault = self.random.randrange(10)
        if fault == 0:
            self.log_down_until = until
        elif fault == 1:
            self.list_down_until = until
        elif fault == 2:
            node.paused_until = until
        elif fault == 3:
            node.log_cut_until = until
        elif fault == 4:
            node.list_cut_until = until
        elif fault in (5, 6):
            self.cut(node, other, until)
        elif fault == 7:
            for other_region_node in self.nodes.values():
                if other_region_node.region != node.region:
                    self.cut(node, other_region_node, until)
                    self.cut(other_region_node, node, until)
        elif fault == 8 and len(self.nodes) < 6:
            self.join(f"n{len(self.registered_instances)}", node.region)
            if self.random.random() < 0.5:
                self.isolate_newest(self.now_ms + 30_000)
        elif fault == 9 and len(self.nodes) > 3:
            del self.nodes[node.name]

    def isolate_newest(self, until: int) -> None:
        """Let only the newest instance reach the log, and cut its links to all others."""
        *others, newest = self.nodes.values()
        for other in others:
            other.log_cut_until = until
            self.cut(other, newest, until)
            self.cut(newest, other, until)
        if self.random.random() < 0.5:
            self.list_down_until = until

    def cut(self, sender: Node, receiver: Node, until: int) -> None:
        """Cut one direction of a link; messages sent meanwhile are lost, or delayed by the cut."""
        delayed = self.random.random() < 0.5
        self.links_cut[(sender.name, receiver.name)] = (until, delayed)

    def step(self, node: Node) -> None:
        """Run the parts of one instance in a random order, as green threads may run."""
        steps = [self.receive, self.send, self.read_log, self.read_list, self.act]
        self.random.shuffle(steps)
        for step in steps:
            step(node)

    def send(self, node: Node) -> None:
        if self.now_ms < node.next_heartbeat_ms:
            return
        node.next_heartbeat_ms = self.now_ms + HEARTBEAT_INTERVAL_MS
        heartbeat = node.heartbeat(self.now_ms)
        for name in node.table.known(self.now_ms):
            receiver = self.nodes.get(name)
            if receiver is None:
                continue
            until, delayed = self.links_cut.get((node.name, name), (0, False))
            if self.now_ms < until and not delayed:
                continue
            arrival = max(self.now_ms, until) + self.random.choice((0, 1, 20, 400))
            receiver.inbox.append((arrival, heartbeat))

    def receive(self, node: Node) -> None:
        arrived = [one for arrival, one in node.inbox if arrival <= self.now_ms]
        node.inbox = [pair for pair in node.inbox if pair[0] > self.now_ms]
        self.random.shuffle(arrived)
        for heartbeat in arrived:
            node.table.record_heartbeat(heartbeat, self.now_ms)
            # Relaying log records from a peer needs both directions of the link.
            cut = self.links_cut.get((node.name, heartbeat.name), (0, False))[0] > self.now_ms
            lost = cut or heartbeat.name not in self.nodes or self.random.random() < 0.5
            if heartbeat.log_offset > node.log_offset and not lost:
                node.log_offset = heartbeat.log_offset
                node.freshness.record_offset(node.log_offset)

    def read_log(self, node: Node) -> None:
        reachable = self.now_ms >= max(self.log_down_until, node.log_cut_until)
        if node.read_started_ms is not None:
            started, node.read_started_ms = node.read_started_ms, None
            node.next_read_ms = self.now_ms + self.random.randrange(0, READ_MS)
            if not reachable:
                node.freshness.record_read_failure()
                return
            node.log_offset = max(node.log_offset, self.log_end)
            node.freshness.record_confirmation(started, node.log_offset)
            self.accept_changes(node)
            return
        if self.now_ms >= node.next_read_ms:
            node.read_started_ms = self.now_ms

    def accept_changes(self, node: Node) -> None:
        """Accept the changes that this instance has published and folded."""
        for offset, name in list(self.pending_changes.items()):
            if name == node.name and offset < node.log_offset:
                del self.pending_changes[offset]
                self.accepted_ms[offset] = self.now_ms

    def read_list(self, node: Node) -> None:
        if self.now_ms < max(node.next_list_ms, self.list_down_until, node.list_cut_until):
            return
        node.next_list_ms = self.now_ms + LIST_READ_MS
        visible = [
            one for at_ms, one in self.registered_instances if self.now_ms - at_ms >= LIST_LAG_MS
        ]
        node.table.update_list(visible, self.now_ms)
        node.freshness.record_announcement(self.now_ms)

    def act(self, node: Node) -> None:
        """Publish a change with a probability of 1 %, and start a task if the rule permits it."""
        reachable = self.now_ms >= max(self.log_down_until, node.log_cut_until)
        change = self.random.random() < 0.01
        if change and reachable and node.freshness.may_accept_change(self.now_ms).granted:
            self.pending_changes[self.log_end] = node.name
            self.log_end += 1
        permit = node.freshness.may_start(self.now_ms)
        if not permit.granted:
            return
        self.starts += 1
        self.outage_starts += "outage" in permit.reason
        bound = ZONE_OUT_BOUND_MS - START_TIMEOUT_MS
        for offset, accepted in self.accepted_ms.items():
            if offset >= node.log_offset and self.now_ms > accepted + bound:
                self.violations.append(
                    f"{node.name} starts at {self.now_ms} without change {offset}, "
                    f"accepted at {accepted}: {permit.reason}"
                )


class ZoneOutBoundTest(unittest.TestCase):
    def test_no_start_without_a_change_that_was_accepted_long_ago(self) -> None:
        """Guards against a start in an availability zone that is out of service (P3, P9)."""
        starts = outage_starts = changes = faults = 0
        for seed in range(SEEDS):
            simulation = Simulation(seed)
            simulation.run()
            with self.subTest(seed=seed):
                self.assertEqual(simulation.violations[:3], [])
            starts += simulation.starts
            outage_starts += simulation.outage_starts
            changes += len(simulation.accepted_ms)
            faults += simulation.faults
        # A rule that never permits anything would pass the check above.
        self.assertGreater(starts, 1_000 * SEEDS)
        self.assertGreater(outage_starts, 10 * SEEDS)
        self.assertGreater(changes, 5 * SEEDS)
        self.assertGreater(faults, 20 * SEEDS)
