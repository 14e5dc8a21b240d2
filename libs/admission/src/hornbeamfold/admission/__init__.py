"""Decides which connections and requests a server has room for, and which ones it closes."""

from hornbeamfold.admission.documents import Parts, count_parts, decoded_bytes
from hornbeamfold.admission.holdings import Holding, Phase, choose_victims
from hornbeamfold.admission.limits import (
    CONNECTION_BYTES,
    DoorLimits,
    MachineLimits,
    ServerLimits,
    ServerRole,
    server_limits,
)
from hornbeamfold.admission.occupancy import Occupancy

__all__ = [
    "CONNECTION_BYTES",
    "DoorLimits",
    "Holding",
    "MachineLimits",
    "Occupancy",
    "Parts",
    "Phase",
    "ServerLimits",
    "ServerRole",
    "choose_victims",
    "count_parts",
    "decoded_bytes",
    "server_limits",
]
