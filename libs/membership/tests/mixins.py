"""Helpers for the tests of membership."""

from hornbeamfold.membership import ListedInstance, PeerTable
from hornbeamfold.model.status import PeerHeartbeat


class PeerMixin:
    """Builds peer tables and heartbeats for an instance named "a"."""

    def table(self, *listed: str, at_ms: int = 0) -> PeerTable:
        """Return the peer table of instance "a" after it read a list of these entry instances."""
        table = PeerTable("a", "east")
        table.update_list([ListedInstance(name, "entry", "", "", "live") for name in listed], at_ms)
        return table

    def heartbeat(
        self, name: str, seq: int, acknowledged_seq: int = 0, **changes: object
    ) -> PeerHeartbeat:
        """Return a heartbeat; with `acknowledged_seq` it acknowledges one of instance "a"."""
        values: dict = {
            "seq": seq,
            "name": name,
            "incarnation": f"{name}-1",
            "address": "",
            "availability_zone": "",
            "region": "east",
            "leaving": False,
            "log_offset": 0,
            "configuration_offset": 0,
            "confirmed_age_ms": 10**9,
            "log_reachable": False,
            "heard": {"a": acknowledged_seq} if acknowledged_seq else {},
            "in_flight": {},
            "waiting": 0,
            "set_aside": (),
            "settled": True,
        }
        values.update(changes)
        return PeerHeartbeat(**values)

    def exchange(self, table: PeerTable, now_ms: int, name: str, **changes: object) -> None:
        """Send a heartbeat at `now`, and record the heartbeat that a peer sends in reply to it."""
        seq = table.next_seq(now_ms)
        table.record_heartbeat(self.heartbeat(name, seq, acknowledged_seq=seq, **changes), now_ms)
