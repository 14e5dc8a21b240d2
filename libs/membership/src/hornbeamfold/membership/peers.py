"""The table of peers: who is alive, who is known, and who ranks first for a key."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.membership.listing import ListedInstance
from hornbeamfold.membership.ranking import keeper_of, rank_names
from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.model.timing import MAX_LIST_AGE_MS, PEER_RETENTION_MS, SUSPICION_TIMEOUT_MS


@dataclass(frozen=True)
class PeerState:
    """The last heartbeat of a peer.

    `sent_after_ms` is a time of the receiver's clock before which the heartbeat was not sent: the
    time at which the receiver sent the heartbeat that it echoes. A receiver that was paused, or a
    network that held messages back, so never makes an old heartbeat look recent.
    """

    heartbeat: PeerHeartbeat
    received_ms: int
    sent_after_ms: int
    connected: bool

    def recent(self, now_ms: int) -> bool:
        """Return whether this peer was heard within the suspicion time."""
        return self.connected and now_ms - self.received_ms <= SUSPICION_TIMEOUT_MS

    def echoes(self, now_ms: int) -> bool:
        """Return whether the peer also hears this instance, within the suspicion time."""
        return self.recent(now_ms) and now_ms - self.sent_after_ms <= SUSPICION_TIMEOUT_MS


class PeerTable:
    """What one instance knows of the others."""

    def __init__(self, name: str, region: str) -> None:
        self._name = name
        self._region = region
        self._peers: dict[str, PeerState] = {}
        self._listed: dict[str, ListedInstance] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._list_read_ms: int | None = None
        self._sent: dict[int, int] = {}
        self._seq = 0
        self._leaving = False

    @property
    def listed(self) -> Mapping[str, ListedInstance]:
        """All instances of the last list reading, by name."""
        return self._listed

    @property
    def leaving_workers(self) -> frozenset[str]:
        """The workers that the last list reading says are leaving."""
        return self._listed_leaving

    @property
    def list_read(self) -> bool:
        """Whether the list was ever read."""
        return self._list_read_ms is not None

    def list_fresh(self, now_ms: int) -> bool:
        """Return whether the list was read recently enough to show every settled instance."""
        return self._list_read_ms is not None and now_ms - self._list_read_ms <= MAX_LIST_AGE_MS

    def next_seq(self, now_ms: int) -> int:
        """Return the number of the next heartbeat round and remember when it was sent."""
        self._seq += 1
        self._sent[self._seq] = now_ms
        self._sent.pop(self._seq - 64, None)
        return self._seq

    def heard(self, heartbeat: PeerHeartbeat, now_ms: int) -> None:
        """Take in a heartbeat; one of an older incarnation or number is ignored."""
        known = self._peers.get(heartbeat.name)
        if heartbeat.name == self._name:
            return
        if known is not None and not _is_newer(heartbeat, known.heartbeat):
            return
        echoed = heartbeat.heard.get(self._name, 0)
        sent_after = self._sent.get(echoed, -PEER_RETENTION_MS)
        self._peers[heartbeat.name] = PeerState(heartbeat, now_ms, sent_after, True)

    def disconnected(self, name: str) -> None:
        """Suspect a peer at once because its stream broke."""
        known = self._peers.get(name)
        if known is None:
            return
        self._peers[name] = PeerState(
            known.heartbeat, known.received_ms, known.sent_after_ms, False
        )

    def set_list(self, instances: Iterable[ListedInstance], now_ms: int) -> None:
        """Take in a reading of the instance list."""
        self._listed = {instance.name: instance for instance in instances}
        # Every exchange with a worker asks for these, so the list is searched once a reading.
        self._listed_leaving = frozenset(
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
        """Leave all rankings: this instance drains."""
        self._leaving = True

    def heard_names(self, now_ms: int) -> dict[str, int]:
        """Return the peers heard within the suspicion time with their last number."""
        return {
            name: state.heartbeat.seq for name, state in self._peers.items() if state.recent(now_ms)
        }

    def peers(self) -> Mapping[str, PeerState]:
        """Return all peers that were heard, by name."""
        return self._peers

    def live(self, now_ms: int) -> tuple[tuple[str, str], ...]:
        """Return (name, region) of the instances that take part in rankings, this one included."""
        pairs = [] if self._leaving else [(self._name, self._region)]
        for name, state in self._peers.items():
            if not state.recent(now_ms) or state.heartbeat.leaving:
                continue
            pairs.append((name, state.heartbeat.region))
        return tuple(sorted(pairs))

    def known(self, now_ms: int) -> frozenset[str]:
        """Return the other instances that may be at work: listed, or heard in the last minute."""
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

    def unheard(self, now_ms: int) -> frozenset[str]:
        """Return the known instances that are not heard now."""
        heard = self.heard_names(now_ms)
        return frozenset(name for name in self.known(now_ms) if name not in heard)

    def rank(self, key: str, now_ms: int) -> int:
        """Return the place of this instance for a key, 0 for the first; it is last if it leaves."""
        names = rank_names(key, (name for name, _ in self.live(now_ms)))
        return names.index(self._name) if self._name in names else len(names)

    def is_keeper(self, worker: str, region: str, now_ms: int) -> bool:
        """Return whether this instance keeps the leases on a worker."""
        return keeper_of(worker, region, self.live(now_ms)) == self._name

    def incarnation_live(self, incarnation: str, now_ms: int) -> bool:
        """Return whether the holder of a claim is heard now."""
        return any(
            state.heartbeat.incarnation == incarnation and state.recent(now_ms)
            for state in self._peers.values()
        )

    def region_heard(self, region: str, now_ms: int) -> bool:
        """Return whether this instance is in a region or hears one that is."""
        return any(peer_region == region for _, peer_region in self.live(now_ms))


def _is_newer(heartbeat: PeerHeartbeat, known: PeerHeartbeat) -> bool:
    if heartbeat.incarnation != known.incarnation:
        return True
    return heartbeat.seq > known.seq
