"""One green thread for each peer that sends heartbeats, and one that reads the instance list."""

from collections.abc import Callable
from typing import TypeVar

import eventlet

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.heartbeat import HeartbeatSource
from hornbeamfold.logclient import Signal, decode_record
from hornbeamfold.membership import (
    Freshness,
    ListClient,
    ListedInstance,
    ListFailure,
    PeerTable,
)
from hornbeamfold.model.events import Entry
from hornbeamfold.model.status import CancelState, FoundAnswer, PeerHeartbeat, RelayedEntries
from hornbeamfold.model.timing import HEARTBEAT_INTERVAL_MS
from hornbeamfold.rpc.peers import PeerConnection, PeerFailure
from hornbeamfold.settings import Settings
from hornbeamfold.telemetry import counter, get_logger

LIST_READ_MS = 1_000
PEER_CALL_MS = 1_000
RELAY_LIMIT = 500
RECONNECT_MS = 500

logger = get_logger("hornbeamfold.daemon.peering")
count_relayed = counter("hornbeamfold_relayed_entries", "Log entries fetched from peers")

T = TypeVar("T")


class Peering:
    """The connections to the listed entry instances."""

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
        self._current: PeerHeartbeat | None = None
        self._round = Signal()
        self._running = True
        self._address = ""
        self._state = "live"

    @property
    def address(self) -> str:
        """The address under which the peers reach this instance, once it listens."""
        return self._address

    def start(self, address: str) -> None:
        """Start the green threads; the address is the one that the server listens on."""
        self._address = address
        eventlet.spawn(self._read_list)
        eventlet.spawn(self._number_heartbeats)
        eventlet.spawn(self._relay)

    def leave(self) -> None:
        """Tell the list that this instance leaves."""
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
        """Ask all heard peers at once what they know of a request."""
        found = FoundAnswer("unknown")
        for answer in self._ask_all(
            lambda peer: peer.find_answer(organisation, request_id, PEER_CALL_MS)
        ):
            if isinstance(answer, PeerFailure) or answer.state == "unknown":
                continue
            if answer.state == "done":
                return answer
            found = answer
        return found

    def cancel_waiting(self, organisation: str, request_id: str) -> CancelState:
        """Ask all heard peers at once to cancel a request if it waits there."""
        found = CancelState.UNKNOWN
        for state in self._ask_all(
            lambda peer: peer.cancel_waiting(organisation, request_id, PEER_CALL_MS)
        ):
            if isinstance(state, PeerFailure) or state == CancelState.UNKNOWN:
                continue
            if state == CancelState.CANCELLED:
                return state
            found = state
        return found

    def _ask_all(self, ask: Callable[[PeerConnection], T]) -> list[T]:
        """Ask all heard peers at once and return their answers."""
        pool = eventlet.GreenPool()
        calls = [pool.spawn(ask, connection) for _, connection in self._heard()]
        return [call.wait() for call in calls]

    def _heard(self) -> list[tuple[str, PeerConnection]]:
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
                eventlet.sleep(LIST_READ_MS / 1_000)
                continue
            self._peers.update_list(reading.instances, self._clock())
            self._connect(reading.instances)
            eventlet.sleep(LIST_READ_MS / 1_000)

    def _connect(self, instances: tuple[ListedInstance, ...]) -> None:
        for instance in instances:
            if instance.role != "entry" or instance.name == self._settings.name:
                continue
            if self._addresses.get(instance.name) == instance.address:
                continue
            self._addresses[instance.name] = instance.address
            eventlet.spawn(self._serve_peer, instance.name, instance.address)

    def _number_heartbeats(self) -> None:
        """Make one heartbeat a round, so that all peers get the same number."""
        while self._running:
            seq = self._peers.next_seq(self._clock())
            self._current = self._heartbeat(seq)
            self._round.notify()
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1_000)

    def _serve_peer(self, name: str, address: str) -> None:
        """Send heartbeats to one peer for as long as it is listed or heard at this address."""
        connection = PeerConnection(address)
        self._connections[name] = connection
        sent = 0
        while self._running and self._wanted(name, address):
            current = self._current
            if current is None or current.seq == sent:
                self._round.wait(HEARTBEAT_INTERVAL_MS)
                continue
            failure = connection.send_heartbeat(current, PEER_CALL_MS)
            if isinstance(failure, PeerFailure):
                eventlet.sleep(RECONNECT_MS / 1_000)
                continue
            sent = current.seq
        connection.close()
        if self._connections.get(name) is connection:
            del self._connections[name]
        if self._addresses.get(name) == address:
            del self._addresses[name]

    def _wanted(self, name: str, address: str) -> bool:
        if self._addresses.get(name) != address:
            return False
        listed = self._peers.listed.get(name)
        if listed is not None:
            return listed.address == address
        return name in self._peers.last_seqs(self._clock())

    def _relay(self) -> None:
        """Fetch entries from a peer that is further in the log while the log can't be read."""
        while self._running:
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1_000)
            if self._freshness.log_reachable or not self._follower.ready:
                continue
            for name, connection in self._heard():
                state = self._peers.peers()[name]
                if state.heartbeat.log_offset <= self._follower.view.offset:
                    continue
                self._fetch(name, connection)

    def _fetch(self, name: str, connection: PeerConnection) -> None:
        start = self._follower.view.offset
        reply = connection.read_records(start, RELAY_LIMIT, PEER_CALL_MS)
        if not isinstance(reply, RelayedEntries) or reply.first_offset > start:
            return
        entries = [
            Entry(entry.offset, entry.at_ms, decode_record(entry.data)) for entry in reply.entries
        ]
        if not entries or entries[0].offset != start:
            return
        self._follower.on_relayed(entries)
        count_relayed(len(entries), peer=name)
