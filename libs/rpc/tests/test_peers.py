"""Tests of the connection to a peer, between two green-thread processes."""

import socket
import unittest

from rpc_processes import read_line, send_line, start


class PeerConnectionTest(unittest.TestCase):
    def test_a_connection_through_the_life_of_a_peer(self) -> None:
        """Guards against a failure that raises, blocks or outlives the peer's restart.

        It also guards against a server without TCP_NODELAY, which delays every answer by 40 ms.
        """
        instance = start(self, "rpc_fake_instance.py", "500")
        address = read_line(instance)
        with socket.create_server(("127.0.0.1", 0)) as unused:
            nobody = f"127.0.0.1:{unused.getsockname()[1]}"
        peer = start(self, "rpc_fake_peer.py", address, nobody)
        lines = [read_line(peer) for _ in range(11)]
        self.assertEqual(lines[:3], ["sent None"] * 3)
        self.assertIn("answer='answer', worker='worker-1'", lines[3])
        self.assertEqual(lines[4], "cancel cancelled")
        self.assertEqual(lines[5], "read 2")
        self.assertEqual(lines[6], "undelayed True")
        self.assertIn("invalid PeerFailure(detail='INVALID_ARGUMENT invalid: limit", lines[7])
        self.assertEqual(lines[8], "late PeerFailure(detail='no answer within 200 ms')")
        self.assertIn("nobody PeerFailure(detail=", lines[9])
        self.assertEqual(lines[10], "again None")
        instance.kill()
        instance.wait()
        send_line(peer)
        self.assertIn("killed PeerFailure(detail=", read_line(peer))
        self.assertEqual(read_line(start(self, "rpc_fake_instance.py", "500", address)), address)
        send_line(peer)
        self.assertEqual(read_line(peer), "restarted None")
        self.assertEqual(read_line(peer), "closed")
        # The hub prints exceptions that nobody took.
        self.assertEqual(peer.communicate(), ("", ""))
        self.assertEqual(peer.returncode, 0)
