"""A process that uses `PeerConnection` and prints one line for each outcome.

Arguments: the address of an instance, and an address without a listener.
"""

import os

os.environ["EVENTLET_HUB"] = "asyncio"

import sys
from collections.abc import Callable
from time import monotonic
from types import MappingProxyType

import eventlet

from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.rpc.peers import PeerConnection

HEARTBEAT = PeerHeartbeat(
    *(1, "entry-2", "i", "127.0.0.1:8", "sfax", "sahel-south", False, 4, 3, 20, True),
    heard=MappingProxyType({"entry-1": 5}),
    in_flight=MappingProxyType({"w1": 2}),
    waiting=0,
    set_aside=(),
    settled=True,
)


def duration_of(call: Callable[[], object]) -> float:
    """Return how many seconds a call takes."""
    start_s = monotonic()
    call()
    return monotonic() - start_s


def main() -> None:
    """Call an instance through its kill and its restart."""
    eventlet.monkey_patch()
    address, unused_address = sys.argv[1:]
    peer = PeerConnection(address)
    for _ in range(3):
        print("sent", peer.send_heartbeat(HEARTBEAT, 2_000), flush=True)
    print("found", peer.find_answer("o", "r", 2_000), flush=True)
    print("cancel", peer.cancel_waiting("o", "r", 2_000), flush=True)
    print("read", len(peer.read_records(3, 2, 2_000).entries), flush=True)  # type: ignore[union-attr]
    # TCP acknowledges the first segments of a connection immediately, so only the last 20 calls
    # are considered.
    durations = [duration_of(lambda: peer.find_answer("o", "r", 2_000)) for _ in range(60)]
    # On a busy machine many replies are slow, but without TCP_NODELAY all take at least 40 ms.
    print("undelayed", min(durations[-20:]) < 0.035, flush=True)
    print("invalid", peer.read_records(3, 0, 2_000), flush=True)
    print("late", peer.find_answer("o", "wait", 200), flush=True)
    print("nobody", PeerConnection(unused_address).send_heartbeat(HEARTBEAT, 2_000), flush=True)
    print("again", peer.send_heartbeat(HEARTBEAT, 2_000), flush=True)
    sys.stdin.readline()
    # After the kill of the instance, only the second heartbeat may detect the lost connection.
    outcomes = [peer.send_heartbeat(HEARTBEAT, 2_000) for _ in range(2)]
    print("killed", outcomes[-1], flush=True)
    sys.stdin.readline()
    print("restarted", peer.send_heartbeat(HEARTBEAT, 2_000), flush=True)
    peer.close()
    peer.close()
    print("closed", flush=True)


if __name__ == "__main__":
    main()
