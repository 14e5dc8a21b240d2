"""Tests of the connection to a peer, between two processes with green threads."""

import socket
import unittest

from rpc_processes import read_line, send_newline, start_script


class PeerConnectionTest(unittest.TestCase):
    def test_a_connection_survives_the_restart_of_a_peer(self) -> None:
        """Guards against a failure that raises, blocks or persists after the restart of the peer.

        It also guards against a server without TCP_NODELAY, which delays every reply by 40 ms.
        """
        instance = start_script(self, "rpc_fake_instance.py", "500")
        address = read_line(instance)
        with socket.create_server(("127.0.0.1", 0)) as unused:
            unused_address = f"127.0.0.1:{unused.getsockname()[1]}"
        peer = start_script(self, "rpc_fake_peer.py", address, unused_address)
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
        send_newline(peer)
        self.assertIn("killed PeerFailure(detail=", read_line(peer))
        self.assertEqual(
            read_line(start_script(self, "rpc_fake_instance.py", "500", address)), address
        )
        send_newline(peer)
        self.assertEqual(read_line(peer), "restarted None")
        self.assertEqual(read_line(peer), "closed")
        # The hub prints unhandled exceptions.
        self.assertEqual(peer.communicate(), ("", ""))
        self.assertEqual(peer.returncode, 0)
