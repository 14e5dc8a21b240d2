"""One instance of each region, the relay, reads topics from the store for the others there."""

from hornbeamfold.relay.codec import Page, RelayRecord
from hornbeamfold.relay.directory import Directory, LocalInstance
from hornbeamfold.relay.mirror import Mirror
from hornbeamfold.relay.port import Fetch, relayed_port
from hornbeamfold.relay.server import RELAY_PATH, answer_read

__all__ = [
    "RELAY_PATH",
    "Directory",
    "Fetch",
    "LocalInstance",
    "Mirror",
    "Page",
    "RelayRecord",
    "answer_read",
    "relayed_port",
]
