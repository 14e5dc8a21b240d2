"""The peer table: which instances are live, which are known, and how they rank for a key."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.membership.listing import ListedInstance
from hornbeamfold.membership.ranking import keeper_of, rank_names
from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.model.timing import MAX_LIST_AGE_MS, PEER_RETENTION_MS, SUSPICION_TIMEOUT_MS


@dataclass(frozen=True)
class PeerState:
    """The last heartbeat of a peer.

    `sent_after_ms` is a lower bound on the time at which the peer sent it, by the clock of this
    instance: the time at which this instance sent the heartbeat that the peer acknowledges. So a
    heartbeat that was delayed by the network, or by a pause of this instance, never looks recent.
    """

    heartbeat: PeerHeartbeat
    received_ms: int
    sent_after_ms: int
    connected: bool

    def is_recent(self, now_ms: int) -> bool:
        """Return whether the peer is connected and was heard within the suspicion timeout."""
        return self.connected and now_ms - self.received_ms <= SUSPICION_TIMEOUT_MS

    def acknowledges(self, now_ms: int) -> bool:
        """Return whether the peer also acknowledges a heartbeat sent within that timeout."""
        return self.is_recent(now_ms) and now_ms - self.sent_after_ms <= SUSPICION_TIMEOUT_MS


class PeerTable:
    """What one instance knows of the other instances."""

    def __init__(self, name: str, region: str) -> None:
        self._name = name
        self._region = region
        self._peers: dict[str, PeerState] = {}
        self._listed: dict[str, ListedInstance] = {}
        self._leaving_workers: frozenset[str] = frozenset()
        self._list_read_ms: int | None = None
        self._heartbeat_sent_ms: dict[int, int] = {}
        self._seq = 0
        self._leaving = False

    @property
    def listed(self) -> Mapping[str, ListedInstance]:
        """The entries of the instance list as last read, by name."""
        return self._listed

    @property
    def leaving_workers(self) -> frozenset[str]:
        """The workers that are leaving by the instance list as last read."""
        return self._leaving_workers

    @property
    def list_read(self) -> bool:
        """Whether the instance list was ever read."""
        return self._list_read_ms is not None

    def list_fresh(self, now_ms: int) -> bool:
        """Return whether the list was read recently enough to contain every settled instance."""
        return self._list_read_ms is not None and now_ms - self._list_read_ms <= MAX_LIST_AGE_MS

    def next_seq(self, now_ms: int) -> int:
        """Return the sequence number of the next heartbeat, and record its time of sending."""
        self._seq += 1
        self._heartbeat_sent_ms[self._seq] = now_ms
        self._heartbeat_sent_ms.pop(self._seq - 64, None)
        return self._seq

    def record_heartbeat(self, heartbeat: PeerHeartbeat, now_ms: int) -> None:
        """Record a heartbeat; one that is older than the last of its incarnation is ignored."""
        known = self._peers.get(heartbeat.name)
        if heartbeat.name == self._name:
            return
        if known is not None and not _is_newer(heartbeat, known.heartbeat):
            return
        acknowledged_seq = heartbeat.heard.get(self._name, 0)
        sent_after_ms = self._heartbeat_sent_ms.get(acknowledged_seq, -PEER_RETENTION_MS)
        self._peers[heartbeat.name] = PeerState(heartbeat, now_ms, sent_after_ms, True)

    def record_disconnect(self, name: str) -> None:
        """Suspect a peer immediately because its stream is disconnected."""
        known = self._peers.get(name)
        if known is None:
            return
        self._peers[name] = PeerState(
            known.heartbeat, known.received_ms, known.sent_after_ms, False
        )

    def update_list(self, instances: Iterable[ListedInstance], now_ms: int) -> None:
        """Replace the entries of the instance list, and drop peers that are no longer known."""
        self._listed = {instance.name: instance for instance in instances}
        # Every exchange with a worker needs this set, so it is computed once for each read.
        self._leaving_workers = frozenset(
            name
            for name, instance in self._listed.items()
            if instance.role == "worker" and instance.state == "leaving"
        )
        self._list_read_ms = now_ms
        for name in list(self._peers):
            if name in self._listed or now_ms - self._peers[name].received_ms <= PEER_RETENTION_MS:
                continue
            del self._peers[name]

    def set_leaving(self) -> None:
        """Remove this instance from all rankings, because it is draining."""
        self._leaving = True

    def last_seqs(self, now_ms: int) -> dict[str, int]:
        """Return the last sequence number of each peer heard within SUSPICION_TIMEOUT_MS."""
        return {
            name: state.heartbeat.seq
            for name, state in self._peers.items()
            if state.is_recent(now_ms)
        }

    def peers(self) -> Mapping[str, PeerState]:
        """Return the state of all peers that were heard, by name."""
        return self._peers

    def live(self, now_ms: int) -> tuple[tuple[str, str], ...]:
        """Return (name, region) of all live instances, including this one unless it is leaving."""
        pairs = [] if self._leaving else [(self._name, self._region)]
        for name, state in self._peers.items():
            if not state.is_recent(now_ms) or state.heartbeat.leaving:
                continue
            pairs.append((name, state.heartbeat.region))
        return tuple(sorted(pairs))

    def known(self, now_ms: int) -> frozenset[str]:
        """Return the other instances that may be running: listed, or heard in the last minute."""
        names = {
            name
            for name, instance in self._listed.items()
            if instance.role == "entry" and instance.state == "live"
        }
        for name, state in self._peers.items():
            if state.heartbeat.leaving:
                names.discard(name)
                continue
            if now_ms - state.received_ms <= PEER_RETENTION_MS:
                names.add(name)
        names.discard(self._name)
        return frozenset(names)

    def silent_peers(self, now_ms: int) -> frozenset[str]:
        """Return the known instances that were not heard within SUSPICION_TIMEOUT_MS."""
        heard = self.last_seqs(now_ms)
        return frozenset(name for name in self.known(now_ms) if name not in heard)

    def rank(self, key: str, now_ms: int) -> int:
        """Return the rank of this instance for a key, from 0; it is last if it is leaving."""
        names = rank_names(key, (name for name, _ in self.live(now_ms)))
        return names.index(self._name) if self._name in names else len(names)

    def is_keeper(self, worker: str, region: str, now_ms: int) -> bool:
        """Return whether this instance is the keeper of a worker, which renews its leases."""
        return keeper_of(worker, region, self.live(now_ms)) == self._name

    def incarnation_live(self, incarnation: str, now_ms: int) -> bool:
        """Return whether a peer with this incarnation was heard within SUSPICION_TIMEOUT_MS."""
        return any(
            state.heartbeat.incarnation == incarnation and state.is_recent(now_ms)
            for state in self._peers.values()
        )

    def region_heard(self, region: str, now_ms: int) -> bool:
        """Return whether any live instance is in the region, including this one."""
        return any(peer_region == region for _, peer_region in self.live(now_ms))


def _is_newer(heartbeat: PeerHeartbeat, known: PeerHeartbeat) -> bool:
    if heartbeat.incarnation != known.incarnation:
        return True
    return heartbeat.seq > known.seq
