"""Rendezvous ranking of instances for a key.

The method is highest random weight hashing (Thaler and Ravishankar, 1998): a change of the set
moves only the keys of the instance that came or went.
"""

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, name: str) -> int:
    """Return the weight of an instance for a key; equal on every instance."""
    digest = blake2b(f"{key}\x00{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names ordered by their weight for the key, the first one first."""
    return tuple(sorted(names, key=lambda name: (-weight(key, name), name)))


def keeper_of(worker: str, region: str, peers: Iterable[tuple[str, str]]) -> str:
    """Return the keeper of a worker among (name, region) pairs, those of its region first.

    Prefers the worker's own region, so that renewals go on while regions are partitioned.
    """
    pairs = list(peers)
    near = [name for name, peer_region in pairs if peer_region == region]
    names = near or [name for name, _ in pairs]
    if not names:
        return ""
    return max(names, key=lambda name: (weight(worker, name), name))
