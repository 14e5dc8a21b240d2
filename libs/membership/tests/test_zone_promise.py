"""Random runs of the freshness rule: several instances on a virtual clock, joined by fakes.

The fakes lose, hold back and reorder heartbeats, cut links one way and both ways, cut instances
from the log and the list, pause and kill instances, let new ones join, and take the log down.
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
    """One instance with its real peer table and freshness rule."""

    def __init__(self, name: str, region: str, now_ms: int) -> None:
        self.name = name
        self.region = region
        self.table = PeerTable(name, region)
        self.fresh = Freshness(self.table, region)
        self.folded = 0
        self.paused_until = 0
        self.log_cut_until = 0
        self.list_cut_until = 0
        self.read_started: int | None = None
        self.next_read = now_ms
        self.next_list = now_ms
        self.next_heartbeat = now_ms
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
            log_offset=self.folded,
            configuration_offset=self.folded,
            confirmed_age_ms=self.fresh.own_confirmed_age(now_ms),
            log_reachable=self.fresh.log_reachable,
            heard=self.table.heard_names(now_ms),
            in_flight={},
            waiting=0,
            set_aside=(),
            settled=self.fresh.settled(now_ms),
        )


class World:
    """The log, the list, the links and the instances, and when changes were accepted."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0
        self.end = 0
        self.log_down_until = 0
        self.list_down_until = 0
        self.listed: list[tuple[int, ListedInstance]] = []
        self.links_cut: dict[tuple[str, str], tuple[int, bool]] = {}
        self.nodes: dict[str, Node] = {}
        self.proposals: dict[int, str] = {}
        self.accepted_ms: dict[int, int] = {}
        self.starts = 0
        self.outage_starts = 0
        self.faults = 0
        self.late: list[str] = []
        for number in range(4):
            self.join(f"n{number}", "east" if number < 3 else "south")
        # The first instances are an old, settled system.
        for node in self.nodes.values():
            self.listed = [(-LIST_LAG_MS, one) for _, one in self.listed]
            node.fresh.announced(-60_000)

    def join(self, name: str, region: str) -> None:
        self.nodes[name] = Node(name, region, self.now)
        self.listed.append((self.now, ListedInstance(name, "entry", "", "", "live")))

    def run(self) -> None:
        while self.now < RUN_MS:
            self.now += STEP_MS
            self.inject()
            for node in list(self.nodes.values()):
                if self.now >= node.paused_until:
                    self.step(node)

    def inject(self) -> None:
        """Start a random fault now and then."""
        if self.random.random() > 0.03:
            return
        self.faults += 1
        until = self.now + self.random.choice((300, 2_000, 6_000, 20_000))
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
            for one in self.nodes.values():
                if one.region != node.region:
                    self.cut(node, one, until)
                    self.cut(one, node, until)
        elif fault == 8 and len(self.nodes) < 6:
            self.join(f"n{len(self.listed)}", node.region)
            if self.random.random() < 0.5:
                self.isolate_newest(self.now + 30_000)
        elif fault == 9 and len(self.nodes) > 3:
            del self.nodes[node.name]

    def isolate_newest(self, until: int) -> None:
        """Let only the newest instance reach the log, and cut it from all others."""
        *others, newest = self.nodes.values()
        for other in others:
            other.log_cut_until = until
            self.cut(other, newest, until)
            self.cut(newest, other, until)
        if self.random.random() < 0.5:
            self.list_down_until = until

    def cut(self, sender: Node, receiver: Node, until: int) -> None:
        """Cut one direction; what is sent meanwhile is lost, or held back by the network."""
        held = self.random.random() < 0.5
        self.links_cut[(sender.name, receiver.name)] = (until, held)

    def step(self, node: Node) -> None:
        """Do what is due in one instance, in a random order as green threads may."""
        work = [self.receive, self.send, self.read_log, self.read_list, self.act]
        self.random.shuffle(work)
        for one in work:
            one(node)

    def send(self, node: Node) -> None:
        if self.now < node.next_heartbeat:
            return
        node.next_heartbeat = self.now + HEARTBEAT_INTERVAL_MS
        heartbeat = node.heartbeat(self.now)
        for name in node.table.known(self.now):
            receiver = self.nodes.get(name)
            if receiver is None:
                continue
            until, held = self.links_cut.get((node.name, name), (0, False))
            if self.now < until and not held:
                continue
            arrival = max(self.now, until) + self.random.choice((0, 1, 20, 400))
            receiver.inbox.append((arrival, heartbeat))

    def receive(self, node: Node) -> None:
        due = [one for arrival, one in node.inbox if arrival <= self.now]
        node.inbox = [pair for pair in node.inbox if pair[0] > self.now]
        self.random.shuffle(due)
        for heartbeat in due:
            node.table.heard(heartbeat, self.now)
            # The relay of records from a peer needs both directions of the link.
            cut = self.links_cut.get((node.name, heartbeat.name), (0, False))[0] > self.now
            lost = cut or heartbeat.name not in self.nodes or self.random.random() < 0.5
            if heartbeat.log_offset > node.folded and not lost:
                node.folded = heartbeat.log_offset
                node.fresh.advanced(node.folded)

    def read_log(self, node: Node) -> None:
        reachable = self.now >= max(self.log_down_until, node.log_cut_until)
        if node.read_started is not None:
            started, node.read_started = node.read_started, None
            node.next_read = self.now + self.random.randrange(0, READ_MS)
            if not reachable:
                node.fresh.log_failed()
                return
            node.folded = max(node.folded, self.end)
            node.fresh.confirmed(started, node.folded)
            self.accept(node)
            return
        if self.now >= node.next_read:
            node.read_started = self.now

    def accept(self, node: Node) -> None:
        """Answer the operators whose changes this instance has folded."""
        for offset, name in list(self.proposals.items()):
            if name == node.name and offset < node.folded:
                del self.proposals[offset]
                self.accepted_ms[offset] = self.now

    def read_list(self, node: Node) -> None:
        if self.now < max(node.next_list, self.list_down_until, node.list_cut_until):
            return
        node.next_list = self.now + LIST_READ_MS
        visible = [one for at_ms, one in self.listed if self.now - at_ms >= LIST_LAG_MS]
        node.table.set_list(visible, self.now)
        node.fresh.announced(self.now)

    def act(self, node: Node) -> None:
        """Publish a change now and then, and start a task wherever the rule permits it."""
        reachable = self.now >= max(self.log_down_until, node.log_cut_until)
        change = self.random.random() < 0.01
        if change and reachable and node.fresh.may_accept_change(self.now).granted:
            self.proposals[self.end] = node.name
            self.end += 1
        permit = node.fresh.may_start(self.now)
        if not permit.granted:
            return
        self.starts += 1
        self.outage_starts += "outage" in permit.reason
        bound = ZONE_OUT_BOUND_MS - START_TIMEOUT_MS
        for offset, accepted in self.accepted_ms.items():
            if offset >= node.folded and self.now > accepted + bound:
                self.late.append(
                    f"{node.name} starts at {self.now} without change {offset}, "
                    f"accepted at {accepted}: {permit.reason}"
                )


class ZonePromiseTest(unittest.TestCase):
    def test_no_start_without_a_change_that_was_accepted_long_ago(self) -> None:
        """Guards against a start in an availability zone that was taken out before (P3, P9)."""
        starts = outage_starts = changes = faults = 0
        for seed in range(SEEDS):
            world = World(seed)
            world.run()
            with self.subTest(seed=seed):
                self.assertEqual(world.late[:3], [])
            starts += world.starts
            outage_starts += world.outage_starts
            changes += len(world.accepted_ms)
            faults += world.faults
        # A rule that never permits anything would pass the check above.
        self.assertGreater(starts, 1_000 * SEEDS)
        self.assertGreater(outage_starts, 10 * SEEDS)
        self.assertGreater(changes, 5 * SEEDS)
        self.assertGreater(faults, 20 * SEEDS)
