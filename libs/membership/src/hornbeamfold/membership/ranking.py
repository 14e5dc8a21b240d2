"""Rendezvous ranking of instances for a key.

The method is highest random weight hashing (Thaler and Ravishankar, 1998): when an instance joins
or leaves, only its own keys move.
"""

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, name: str) -> int:
    """Return the weight of an instance for a key, which is the same on every instance."""
    digest = blake2b(f"{key}\x00{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names ordered by their weight for the key, the highest first."""
    return tuple(sorted(names, key=lambda name: (-weight(key, name), name)))


def keeper_of(worker: str, region: str, peers: Iterable[tuple[str, str]]) -> str:
    """Return the name of the instance that renews the leases of a worker.

    `peers` are (name, region) pairs. Instances in the worker's own region are preferred, so that
    renewals continue while regions are partitioned.
    """
    pairs = list(peers)
    same_region = [name for name, peer_region in pairs if peer_region == region]
    names = same_region or [name for name, _ in pairs]
    if not names:
        return ""
    return max(names, key=lambda name: (weight(worker, name), name))
