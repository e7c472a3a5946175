"""Test that galenapassd reports why it cannot start."""

import pathlib
import socket
import subprocess
import sys
import tempfile

from testtools import TestCase

TIMEOUT_SECONDS = 30
SETTINGS = """[host]
id = entry-1
domain = north

[callers]
listen = 127.0.0.1:0

[operators]
listen = 127.0.0.1:{operators}
token = t

[peers]
listen = 127.0.0.1:{peers}
secret = s

[platform]
address = 127.0.0.1:9
"""


def run_daemon(text):
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "entry-1.ini")
        file.write_text(text, encoding="utf-8")
        command = [sys.executable, "-m", "galenapass.daemon", str(file)]
        completed = subprocess.run(
            command, capture_output=True, timeout=TIMEOUT_SECONDS
        )
        return completed.returncode, completed.stderr.decode()


class StartTest(TestCase):
    def assert_port_is_reported(self, used):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            ports = {"operators": 0, "peers": 0, used: port}
            if used != "peers":
                ports["peers"] = self.find_free_port()
            status, errors = run_daemon(SETTINGS.format(**ports))
        self.assertEqual(1, status)
        self.assertIn("cannot start: [Errno 98] error while attempting", errors)
        self.assertIn(str(port), errors)
        self.assertNotIn("Traceback", errors)

    def find_free_port(self):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            return probe.getsockname()[1]

    def test_used_peers_port_is_reported(self):
        self.assert_port_is_reported("peers")

    def test_used_operators_port_is_reported(self):
        self.assert_port_is_reported("operators")

    def test_invalid_settings_exit_with_status_2(self):
        text = SETTINGS.format(operators=0, peers=4).replace("domain =", "domian =")
        status, errors = run_daemon(text)
        self.assertEqual(2, status)
        self.assertIn("domian", errors)
        self.assertNotIn("Traceback", errors)

    def test_invalid_certificate_is_reported(self):
        with tempfile.NamedTemporaryFile(suffix=".pem") as empty:
            tls = f"tls certificate = {empty.name}\ntls key = {empty.name}\n"
            text = SETTINGS.format(operators=0, peers=self.find_free_port())
            text = text.replace("\n\n[operators]", f"\n{tls}\n[operators]")
            status, errors = run_daemon(text)
        self.assertEqual(1, status)
        self.assertIn(f"cannot start: TLS files {empty.name}", errors)
        self.assertNotIn("Traceback", errors)
