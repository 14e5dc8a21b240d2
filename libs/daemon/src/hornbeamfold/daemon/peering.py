"""Connections to peers: heartbeats, queries, relayed log entries, and the instance list.

One green thread for each peer sends heartbeats to it; another one reads the instance list.
"""

from collections.abc import Callable
from typing import TypeVar

import eventlet

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.heartbeat import HeartbeatSource
from hornbeamfold.logclient import Signal, decode_entries
from hornbeamfold.membership import (
    Freshness,
    ListClient,
    ListedInstance,
    ListFailure,
    PeerTable,
)
from hornbeamfold.model.status import CancelState, FoundAnswer, PeerHeartbeat, RelayedEntries
from hornbeamfold.model.timing import HEARTBEAT_INTERVAL_MS
from hornbeamfold.rpc.peers import PeerConnection, PeerFailure
from hornbeamfold.settings import Settings
from hornbeamfold.telemetry import counter, get_logger, keep_running

LIST_READ_INTERVAL_MS = 1_000
PEER_CALL_TIMEOUT_MS = 1_000
RELAY_BATCH = 500
RECONNECT_DELAY_MS = 500

logger = get_logger("hornbeamfold.daemon.peering")
count_relayed = counter("hornbeamfold_relayed_entries", "Log entries fetched from peers")

T = TypeVar("T")


class Peering:
    """Maintains the connections to the other entry instances."""

    def __init__(
        self,
        settings: Settings,
        peers: PeerTable,
        freshness: Freshness,
        follower: LogFollower,
        list_client: ListClient,
        clock: Clock,
        heartbeat: HeartbeatSource,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._freshness = freshness
        self._follower = follower
        self._list_client = list_client
        self._clock = clock
        self._heartbeat = heartbeat
        self._connections: dict[str, PeerConnection] = {}
        self._addresses: dict[str, str] = {}
        self._latest_heartbeat: PeerHeartbeat | None = None
        self._heartbeat_built = Signal()
        self._running = True
        self._address = ""
        self._state = "live"

    @property
    def address(self) -> str:
        """The address at which peers reach this instance; empty until the server listens."""
        return self._address

    def start(self, address: str) -> None:
        """Start the green threads; `address` is the one that the server listens on."""
        self._address = address
        eventlet.spawn(keep_running(self._read_list))
        eventlet.spawn(keep_running(self._build_heartbeats))
        eventlet.spawn(keep_running(self._fetch_from_peers))

    def leave(self) -> None:
        """Announce to the instance list that this instance is leaving."""
        self._state = "leaving"
        failure = self._list_client.announce(self._own_entry())
        if failure is not None:
            logger.warning("The list did not take the leave", extra={"detail": failure.detail})

    def stop(self) -> None:
        """End the green threads and close the connections."""
        self._running = False
        for connection in list(self._connections.values()):
            connection.close()

    def find_answer(self, organisation: str, request_id: str) -> FoundAnswer:
        """Query all heard peers concurrently for the answer of a request."""
        found = FoundAnswer("unknown")
        for answer in self._call_all(
            lambda peer: peer.find_answer(organisation, request_id, PEER_CALL_TIMEOUT_MS)
        ):
            if isinstance(answer, PeerFailure) or answer.state == "unknown":
                continue
            if answer.state == "done":
                return answer
            found = answer
        return found

    def cancel_waiting(self, organisation: str, request_id: str) -> CancelState:
        """Ask all heard peers concurrently to cancel a request if it is queued there."""
        found = CancelState.UNKNOWN
        for state in self._call_all(
            lambda peer: peer.cancel_waiting(organisation, request_id, PEER_CALL_TIMEOUT_MS)
        ):
            if isinstance(state, PeerFailure) or state == CancelState.UNKNOWN:
                continue
            if state == CancelState.CANCELLED:
                return state
            found = state
        return found

    def _call_all(self, operation: Callable[[PeerConnection], T]) -> list[T]:
        """Call all heard peers concurrently and return their replies."""
        pool = eventlet.GreenPool()
        calls = [pool.spawn(operation, connection) for _, connection in self._heard_connections()]
        return [call.wait() for call in calls]

    def _heard_connections(self) -> list[tuple[str, PeerConnection]]:
        names = self._peers.last_seqs(self._clock())
        return [(name, self._connections[name]) for name in names if name in self._connections]

    def _own_entry(self) -> ListedInstance:
        return ListedInstance(
            self._settings.name,
            "entry",
            self._address,
            self._settings.availability_zone,
            self._state,
        )

    def _read_list(self) -> None:
        announced = False
        while self._running:
            if not announced and self._state == "live":
                announced = self._list_client.announce(self._own_entry()) is None
                if announced:
                    self._freshness.record_announcement(self._clock())
            reading = self._list_client.read()
            if isinstance(reading, ListFailure):
                logger.warning("The list was not read", extra={"detail": reading.detail})
                eventlet.sleep(LIST_READ_INTERVAL_MS / 1_000)
                continue
            self._peers.update_list(reading.instances, self._clock())
            self._connect(reading.instances)
            eventlet.sleep(LIST_READ_INTERVAL_MS / 1_000)

    def _connect(self, instances: tuple[ListedInstance, ...]) -> None:
        for instance in instances:
            if instance.role != "entry" or instance.name == self._settings.name:
                continue
            if self._addresses.get(instance.name) == instance.address:
                continue
            self._addresses[instance.name] = instance.address
            eventlet.spawn(keep_running(self._send_heartbeats), instance.name, instance.address)

    def _build_heartbeats(self) -> None:
        """Build one heartbeat per interval, so that all peers get the same sequence number."""
        while self._running:
            seq = self._peers.next_seq(self._clock())
            self._latest_heartbeat = self._heartbeat(seq)
            self._heartbeat_built.notify()
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1_000)

    def _send_heartbeats(self, name: str, address: str) -> None:
        """Send heartbeats to a peer while it is listed at this address or still heard."""
        connection = PeerConnection(address)
        self._connections[name] = connection
        sent_seq = 0
        while self._running and self._is_current(name, address):
            latest = self._latest_heartbeat
            if latest is None or latest.seq == sent_seq:
                self._heartbeat_built.wait(HEARTBEAT_INTERVAL_MS)
                continue
            failure = connection.send_heartbeat(latest, PEER_CALL_TIMEOUT_MS)
            if isinstance(failure, PeerFailure):
                eventlet.sleep(RECONNECT_DELAY_MS / 1_000)
                continue
            sent_seq = latest.seq
        connection.close()
        if self._connections.get(name) is connection:
            del self._connections[name]
        if self._addresses.get(name) == address:
            del self._addresses[name]

    def _is_current(self, name: str, address: str) -> bool:
        if self._addresses.get(name) != address:
            return False
        listed = self._peers.listed.get(name)
        if listed is not None:
            return listed.address == address
        return name in self._peers.last_seqs(self._clock())

    def _fetch_from_peers(self) -> None:
        """While the log cannot be read, fetch entries from peers that have read more of it."""
        while self._running:
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1_000)
            if self._freshness.log_reachable or not self._follower.ready:
                continue
            for name, connection in self._heard_connections():
                state = self._peers.peers()[name]
                if state.heartbeat.log_offset <= self._follower.view.offset:
                    continue
                self._fetch_entries(name, connection)

    def _fetch_entries(self, name: str, connection: PeerConnection) -> None:
        start = self._follower.view.offset
        reply = connection.read_records(start, RELAY_BATCH, PEER_CALL_TIMEOUT_MS)
        if not isinstance(reply, RelayedEntries) or reply.first_offset > start:
            return
        entries, skipped = decode_entries(
            (entry.offset, entry.at_ms, entry.data) for entry in reply.entries
        )
        if not entries or entries[0].offset != start:
            return
        if skipped:
            self._follower.on_skipped(skipped)
        self._follower.on_relayed(entries)
        count_relayed(len(entries), peer=name)
