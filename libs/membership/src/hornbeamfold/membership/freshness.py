"""The rule by which an instance may start tasks, accept changes and renew leases."""

from dataclasses import dataclass

from hornbeamfold.membership.peers import PeerTable
from hornbeamfold.model.timing import (
    ISOLATED_RENEW_MS,
    JOIN_SETTLE_MS,
    LEASE_MS,
    LOST_MARGIN_MS,
    MAX_VIEW_AGE_MS,
    REGION_PARTITION_MS,
)


@dataclass(frozen=True)
class Permit:
    """A permission with its reason, for the log line of the decision."""

    granted: bool
    reason: str


class Freshness:
    """When this instance last confirmed the log's end, and what follows from it."""

    def __init__(self, peers: PeerTable, region: str) -> None:
        self._peers = peers
        self._region = region
        self._announced_ms: int | None = None
        self._confirmed_ms: int | None = None
        self._log_reachable = False
        self._offset = 0
        self._settled = False

    @property
    def log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._log_reachable

    def confirmed(self, read_started_ms: int, offset: int) -> None:
        """Note a read that reached the log's end; its start is the time that counts."""
        self._log_reachable = True
        self._offset = offset
        if self._confirmed_ms is None or read_started_ms > self._confirmed_ms:
            self._confirmed_ms = read_started_ms

    def announced(self, now_ms: int) -> None:
        """Note that the list has taken this instance; the others can know of it from then on."""
        if self._announced_ms is None:
            self._announced_ms = now_ms

    def advanced(self, offset: int) -> None:
        """Note folded records that did not reach the log's end."""
        self._offset = offset

    def log_failed(self) -> None:
        """Note a read of the log that failed."""
        self._log_reachable = False

    def confirmed_age(self, now_ms: int) -> int:
        """Return the age of the last confirmation, directly or through a peer."""
        ages = [now_ms - self._confirmed_ms] if self._confirmed_ms is not None else []
        for state in self._peers.peers().values():
            heartbeat = state.heartbeat
            # The view must hold all that the peer had folded when it sent the heartbeat.
            if not state.echoes(now_ms) or self._offset < heartbeat.log_offset:
                continue
            ages.append(now_ms - state.sent_after_ms + heartbeat.confirmed_age_ms)
        return min(ages, default=REGION_PARTITION_MS * 2)

    def own_confirmed_age(self, now_ms: int) -> int:
        """Return the age of this instance's own confirmation, which heartbeats carry."""
        if self._confirmed_ms is None:
            return REGION_PARTITION_MS * 2
        return now_ms - self._confirmed_ms

    def may_start(self, now_ms: int) -> Permit:
        """Return whether tasks may be started now."""
        age = self.confirmed_age(now_ms)
        if age <= MAX_VIEW_AGE_MS:
            return Permit(True, f"log end confirmed {age} ms ago")
        return self._plain_outage(now_ms, age)

    def may_accept_change(self, now_ms: int) -> Permit:
        """Return whether a change of configuration may be accepted now."""
        if self.own_confirmed_age(now_ms) > MAX_VIEW_AGE_MS:
            return Permit(False, "the log's end was not confirmed in time")
        if self.settled(now_ms):
            return Permit(True, "settled")
        return Permit(False, "joining: not all listed instances have been heard yet")

    def settled(self, now_ms: int) -> bool:
        """Return whether every listed instance has heard this one, or could have by now."""
        if self._settled:
            return True
        if self._announced_ms is not None and now_ms - self._announced_ms >= JOIN_SETTLE_MS:
            self._settled = True
            return True
        peers = self._peers.peers()
        known = self._peers.known(now_ms)
        self._settled = self._peers.list_read and all(
            name in peers and peers[name].echoes(now_ms) for name in known
        )
        return self._settled

    def may_renew(self, now_ms: int) -> Permit:
        """Return whether leases of running tasks may be renewed now.

        Renewals go on in a plain outage and in a region that is cut off, but end in time for the
        others to rely on it when they count members as lost.
        """
        age = self.confirmed_age(now_ms)
        if age <= ISOLATED_RENEW_MS:
            return Permit(True, "view recent enough to renew")
        if self._plain_outage(now_ms, age).granted:
            return Permit(True, "plain outage of the log")
        near = [region for _, region in self._peers.live(now_ms) if region == self._region]
        if len(near) > 1 and age <= REGION_PARTITION_MS:
            return Permit(True, "region cut off as a group")
        return Permit(False, f"isolated: log end confirmed {age} ms ago")

    def lost_after(self, worker_region: str, now_ms: int) -> int:
        """Return how long a worker must be silent before its members count as lost."""
        base = LEASE_MS + LOST_MARGIN_MS
        if not self._peers.region_heard(worker_region, now_ms):
            return base + REGION_PARTITION_MS
        if self._peers.unheard(now_ms):
            return base + ISOLATED_RENEW_MS
        return base

    def _plain_outage(self, now_ms: int, age: int) -> Permit:
        known = self._peers.known(now_ms)
        peers = self._peers.peers()
        if self._confirmed_ms is None:
            return Permit(False, "the log's end was never confirmed")
        if not self._peers.list_fresh(now_ms):
            return Permit(False, "stale, and the list of instances was not read recently")
        if self._log_reachable:
            return Permit(False, f"stale: log end confirmed {age} ms ago")
        for name in sorted(known):
            state = peers.get(name)
            if state is None or not state.echoes(now_ms):
                return Permit(False, f"stale, and {name} is not heard: it may accept changes")
            if state.heartbeat.log_reachable or self._offset < state.heartbeat.log_offset:
                return Permit(False, f"stale, and {name} is ahead in the log")
        return Permit(True, "plain outage: no known instance reaches the log")
