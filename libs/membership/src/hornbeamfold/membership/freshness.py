"""The freshness rule: whether this instance may start tasks, accept changes and renew leases.

It depends on the age of the view: the time since the instance last confirmed that it had folded
all records up to the end of the log.
"""

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
    """Whether an action is permitted, and the reason for the log line of the decision."""

    granted: bool
    reason: str


class Freshness:
    """When this instance last confirmed the end of the log, and what that permits."""

    def __init__(self, peers: PeerTable, region: str) -> None:
        self._peers = peers
        self._region = region
        self._announced_ms: int | None = None
        self._confirmed_ms: int | None = None
        self._log_reachable = False
        self._folded_offset = 0
        self._settled = False

    @property
    def log_reachable(self) -> bool:
        """Whether the latest read of the log succeeded."""
        return self._log_reachable

    def record_confirmation(self, read_started_ms: int, offset: int) -> None:
        """Record a read that reached the end of the log; its start is the time of confirmation."""
        self._log_reachable = True
        self._folded_offset = offset
        if self._confirmed_ms is None or read_started_ms > self._confirmed_ms:
            self._confirmed_ms = read_started_ms

    def record_announcement(self, now_ms: int) -> None:
        """Record that this instance is in the instance list, where the others can find it."""
        if self._announced_ms is None:
            self._announced_ms = now_ms

    def record_offset(self, offset: int) -> None:
        """Record that records were folded up to `offset`, short of the end of the log."""
        self._folded_offset = offset

    def record_read_failure(self) -> None:
        """Record a failed read of the log."""
        self._log_reachable = False

    def confirmed_age(self, now_ms: int) -> int:
        """Return the age in ms of the latest confirmation, by this instance or through a peer."""
        ages = [now_ms - self._confirmed_ms] if self._confirmed_ms is not None else []
        for state in self._peers.peers().values():
            heartbeat = state.heartbeat
            # The view must contain everything that the peer had folded when it sent the heartbeat.
            if not state.acknowledges(now_ms) or self._folded_offset < heartbeat.log_offset:
                continue
            ages.append(now_ms - state.sent_after_ms + heartbeat.confirmed_age_ms)
        return min(ages, default=REGION_PARTITION_MS * 2)

    def own_confirmed_age(self, now_ms: int) -> int:
        """Return the age in ms of the confirmation by this instance, as sent in heartbeats."""
        if self._confirmed_ms is None:
            return REGION_PARTITION_MS * 2
        return now_ms - self._confirmed_ms

    def may_start(self, now_ms: int) -> Permit:
        """Return whether tasks may be started now."""
        age = self.confirmed_age(now_ms)
        if age <= MAX_VIEW_AGE_MS:
            return Permit(True, f"log end confirmed {age} ms ago")
        return self._permit_in_log_outage(now_ms, age)

    def may_accept_change(self, now_ms: int) -> Permit:
        """Return whether a change of configuration may be accepted now."""
        if self.own_confirmed_age(now_ms) > MAX_VIEW_AGE_MS:
            return Permit(False, "the last confirmation of the log's end is too old")
        if self.is_settled(now_ms):
            return Permit(True, "settled")
        return Permit(False, "joining: not all listed instances have acknowledged this one yet")

    def is_settled(self, now_ms: int) -> bool:
        """Return whether every known instance acknowledges this one, or has had time to find it."""
        if self._settled:
            return True
        if self._announced_ms is not None and now_ms - self._announced_ms >= JOIN_SETTLE_MS:
            self._settled = True
            return True
        peers = self._peers.peers()
        known = self._peers.known(now_ms)
        self._settled = self._peers.list_read and all(
            name in peers and peers[name].acknowledges(now_ms) for name in known
        )
        return self._settled

    def may_renew(self, now_ms: int) -> Permit:
        """Return whether leases of running tasks may be renewed now.

        Renewals continue in an outage of the log and in a partitioned region. They end early
        enough that other instances can rely on it when they count gang members as lost.
        """
        age = self.confirmed_age(now_ms)
        if age <= ISOLATED_RENEW_MS:
            return Permit(True, "view recent enough to renew")
        if self._permit_in_log_outage(now_ms, age).granted:
            return Permit(True, "log outage for all known instances")
        same_region = [region for _, region in self._peers.live(now_ms) if region == self._region]
        if len(same_region) > 1 and age <= REGION_PARTITION_MS:
            return Permit(True, "region partitioned, with other live instances in it")
        return Permit(False, f"isolated: log end confirmed {age} ms ago")

    def lost_after(self, worker_region: str, now_ms: int) -> int:
        """Return how long a worker must be silent before its gang members count as lost."""
        silence_ms = LEASE_MS + LOST_MARGIN_MS
        if not self._peers.region_heard(worker_region, now_ms):
            return silence_ms + REGION_PARTITION_MS
        if self._peers.silent_peers(now_ms):
            return silence_ms + ISOLATED_RENEW_MS
        return silence_ms

    def _permit_in_log_outage(self, now_ms: int, age: int) -> Permit:
        """Return a permit that is granted if the log is down for all known instances.

        No instance can have accepted a change that this one lacks then. With a stale view, every
        known instance must be heard, report the log as unreachable and be no further in the log.
        """
        known = self._peers.known(now_ms)
        peers = self._peers.peers()
        if self._confirmed_ms is None:
            return Permit(False, "the log's end was never confirmed")
        if not self._peers.list_fresh(now_ms):
            return Permit(False, "stale, and the instance list was not read recently")
        if self._log_reachable:
            return Permit(False, f"stale: log end confirmed {age} ms ago")
        for name in sorted(known):
            state = peers.get(name)
            if state is None or not state.acknowledges(now_ms):
                return Permit(False, f"stale, and {name} is unreachable: it may accept changes")
            if state.heartbeat.log_reachable or self._folded_offset < state.heartbeat.log_offset:
                return Permit(False, f"stale, and {name} reaches the log or has read further")
        return Permit(True, "log outage: no known instance reaches the log")
