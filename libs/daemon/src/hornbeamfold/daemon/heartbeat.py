"""Builds the heartbeats of this instance and processes those of its peers."""

from collections.abc import Callable

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.dispatch import Dispatcher
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.membership import Freshness, PeerTable
from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.settings import Settings

HeartbeatSource = Callable[[int], PeerHeartbeat]


def heartbeat_source(
    settings: Settings,
    incarnation: str,
    address: Callable[[], str],
    peers: PeerTable,
    freshness: Freshness,
    follower: LogFollower,
    dispatcher: Dispatcher,
    unavailable: Callable[[], frozenset[str]],
    leaving: Callable[[], bool],
    clock: Clock,
) -> HeartbeatSource:
    """Return a function that builds the heartbeat with a given sequence number."""

    def build_heartbeat(seq: int) -> PeerHeartbeat:
        now = clock()
        return PeerHeartbeat(
            seq=seq,
            name=settings.name,
            incarnation=incarnation,
            address=address(),
            availability_zone=settings.availability_zone,
            region=settings.region,
            leaving=leaving(),
            log_offset=follower.view.offset,
            configuration_offset=follower.view.configuration_offset,
            confirmed_age_ms=freshness.own_confirmed_age(now),
            log_reachable=freshness.log_reachable,
            heard=peers.last_seqs(now),
            in_flight=dispatcher.in_flight,
            waiting=dispatcher.waiting,
            set_aside=tuple(sorted(unavailable())),
            settled=freshness.is_settled(now),
        )

    return build_heartbeat


def handle_heartbeat(
    peers: PeerTable, dispatcher: Dispatcher, heartbeat: PeerHeartbeat, now_ms: int
) -> None:
    """Update the peer table and the dispatcher from the heartbeat of a peer."""
    peers.record_heartbeat(heartbeat, now_ms)
    dispatcher.on_peer_heartbeat(heartbeat)
