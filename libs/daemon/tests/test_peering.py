"""Tests of the entries that peers relay."""

import unittest
import warnings
from types import SimpleNamespace
from unittest import mock

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

from hornbeamfold.daemon import peering  # noqa: E402
from hornbeamfold.logclient import EMPTY_RECORD, encode_record  # noqa: E402
from hornbeamfold.membership import InstanceList, ListedInstance  # noqa: E402
from hornbeamfold.model.events import JobCancelled, Record  # noqa: E402
from hornbeamfold.model.status import RelayedEntries, RelayedEntry  # noqa: E402

ADDRESS = "127.0.0.1:9"
RECORD = Record("w", 1, (JobCancelled("o", "1"),))
LATER = '{"writer":"w","seq":1,"events":[{"Later":{}}]}'
DEEP = '{"odd":' + "[" * 100_000


class RelayedEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.relayed = []
        self.skipped = []
        self.follower = SimpleNamespace(
            ready=True,
            view=SimpleNamespace(offset=0),
            on_relayed=self.on_relayed,
            on_skipped=self.skipped.extend,
        )
        texts = (LATER, encode_record(RECORD), DEEP, encode_record(RECORD))
        rows = tuple(RelayedEntry(offset, 5, text) for offset, text in enumerate(texts))
        connection = SimpleNamespace(
            send_heartbeat=lambda *_: None,
            read_records=lambda *_: RelayedEntries(rows, len(rows), 0, 0),
            close=lambda: None,
        )
        entry = ListedInstance("p", "entry", ADDRESS, "z", "live")
        peers = SimpleNamespace(
            update_list=lambda *_: None,
            last_seqs=lambda _: {"p": 1},
            listed={"p": entry},
            peers=lambda: {"p": SimpleNamespace(heartbeat=SimpleNamespace(log_offset=len(rows)))},
            next_seq=lambda _: 1,
        )
        self.peering = peering.Peering(
            SimpleNamespace(name="self", availability_zone="z"),
            peers,
            SimpleNamespace(log_reachable=False, record_announcement=lambda _: None),
            self.follower,
            SimpleNamespace(announce=lambda _: None, read=lambda: InstanceList((entry,))),
            lambda: 1_000,
            lambda seq: SimpleNamespace(seq=seq),
        )
        patcher = mock.patch.object(peering, "PeerConnection", lambda _: connection)
        patcher.start()
        self.addCleanup(patcher.stop)

    def on_relayed(self, entries) -> None:
        self.relayed.extend(entries)
        self.follower.view.offset = len(self.relayed)

    def test_odd_records_of_a_peer_do_not_hide_the_others(self) -> None:
        """Guards against a record of a newer version that ends the thread which fetches entries."""
        self.peering.start("127.0.0.1:8")
        self.addCleanup(self.peering.stop)
        with eventlet.Timeout(5, False):
            while not self.relayed:
                eventlet.sleep(0.02)
        records = [entry.record for entry in self.relayed]
        self.assertEqual(records, [EMPTY_RECORD, RECORD, EMPTY_RECORD, RECORD])
        self.assertEqual([record.offset for record in self.skipped], [0, 2])


if __name__ == "__main__":
    unittest.main()
