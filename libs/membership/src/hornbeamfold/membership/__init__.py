"""Live and suspected instances, their ranking, and the freshness rule."""

from hornbeamfold.membership.freshness import Freshness, Permit
from hornbeamfold.membership.listing import InstanceList, ListClient, ListedInstance, ListFailure
from hornbeamfold.membership.peers import PeerState, PeerTable
from hornbeamfold.membership.ranking import keeper_of, rank_names

__all__ = [
    "Freshness",
    "InstanceList",
    "ListClient",
    "ListFailure",
    "ListedInstance",
    "PeerState",
    "PeerTable",
    "Permit",
    "keeper_of",
    "rank_names",
]
