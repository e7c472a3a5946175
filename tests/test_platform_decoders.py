"""Test that the decoders accept valid input and reject malformed input."""

import pathlib
import tempfile
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.forwarding.routes import Repeat
from galenapass.platform.configuration import decode_configuration
from galenapass.platform.headers import (
    SendOptions,
    decode_metadata,
    encode_headers,
    filter_response_headers,
    is_not_run,
)
from galenapass.platform.runners import decode_runner
from galenapass.platform.settings import read_host_settings
from galenapass.tables.targets import Role, TargetState

ROUTE = {
    "name": "r1",
    "hostname": "A.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 600,
    "priority": 2,
    "service": "lm",
    "attempts": 2,
    "sticky": True,
    "resumable": True,
    "target_gap_ms": 200,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "lm", "engine": {"kv_tokens": 500_000, "reconfig_s": 3.0}},
        {"name": "desk"},
    ],
    "limits": {"max_body_bytes": 4096, "idle_timeout_ms": 15000},
}
ENTRY = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "stage": "prefill",
    "seq": 900,
    "born": 5,
}
SETTINGS = """
node_name = "front-a-1"
ip = "10.1.0.1"
zone = "a"
heartbeat_ms = 1200
internal_port_range = [7380, 7395]
[listen]
front = "10.1.0.1:80"
ready = "10.1.0.1:81"
[bounds]
budget_ratio = 0.2
retry_slack = 56
budget_window_s = 10
grace_s = 8
drain_ms = 2000
lease_ms = 3000
contact_ms = 3000
[platform]
address = "10.200.0.1:8142"
"""

anything = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


class TestConfiguration(TestCase):
    def test_a_configuration_is_decoded_whole(self):
        table = decode_configuration(CONFIGURATION).unwrap()
        (route,) = table.routes["a.example"]
        self.assertIs(Repeat.RESUME, route.repeat)
        self.assertEqual(timedelta(milliseconds=600), route.latency_objective)
        self.assertTrue(table.services["lm"].is_model)
        self.assertFalse(table.services["desk"].is_model)
        self.assertEqual(4096, table.limits.body_bytes)

    def test_the_kind_decides_what_may_repeat(self):
        kinds = {"idempotent": Repeat.ANY, "non_idempotent": Repeat.ONCE}
        for kind, repeat in kinds.items():
            spec = CONFIGURATION | {"routes": [ROUTE | {"kind": kind}]}
            (route,) = decode_configuration(spec).unwrap().routes["a.example"]
            self.assertIs(repeat, route.repeat)
        spec = CONFIGURATION | {"routes": [ROUTE | {"resumable": False}]}
        (route,) = decode_configuration(spec).unwrap().routes["a.example"]
        self.assertIs(Repeat.ONCE, route.repeat)

    @given(anything)
    def test_no_object_raises(self, spec):
        self.assertIsInstance(decode_configuration(spec), Err | Ok)

    @given(st.sampled_from(sorted(ROUTE)), anything)
    def test_no_field_raises(self, field, value):
        spec = CONFIGURATION | {"routes": [ROUTE | {field: value}]}
        self.assertIsInstance(decode_configuration(spec), Err | Ok)


class TestRunners(TestCase):
    def test_an_entry_names_a_target(self):
        target = decode_runner("i-1", ENTRY).unwrap()
        self.assertEqual(
            ("i-1", "lm", "5"), (target.id, target.service, target.incarnation)
        )
        self.assertIs(Role.PREFILL, target.role)
        leaving = decode_runner("i-1", ENTRY | {"state": "draining"}).unwrap()
        self.assertIs(TargetState.LEAVING, leaving.state)

    @given(anything)
    def test_no_entry_raises(self, entry):
        self.assertIsInstance(decode_runner("i-1", entry), Err | Ok)

    @given(
        st.sampled_from(["service", "address", "zone", "state", "stage", "born"]),
        anything,
    )
    def test_a_field_of_another_type_yields_no_malformed_target(self, field, value):
        decoded = decode_runner("i-1", ENTRY | {field: value})
        if isinstance(decoded, Ok):
            target = decoded.ok_value
            self.assertIsInstance(target.service, str)
            self.assertIn(target.state, (TargetState.SERVING, TargetState.LEAVING))

    def test_a_missing_field_names_no_target(self):
        for field in ("service", "address", "zone", "state"):
            entry = {name: value for name, value in ENTRY.items() if name != field}
            self.assertIn(field, decode_runner("i-1", entry).unwrap_err())


class TestHeaders(TestCase):
    OPTIONS = SendOptions("i-1", timedelta(milliseconds=1500))

    def test_metadata_is_decoded(self):
        metadata = decode_metadata(
            {
                "X-Galenapass-Attempt-Id": "a1",
                "X-Galenapass-Deadline-Ms": "800",
                "X-Galenapass-Token-Count": "1460,80",
                "X-Galenapass-Prompt-Prefix": "5c:800,91:410,e4:250",
            }
        )
        self.assertEqual(timedelta(milliseconds=800), metadata.patience)
        self.assertEqual(
            (1460, 80), (metadata.prompt.tokens, metadata.prompt.output_tokens)
        )
        self.assertEqual(["5c", "91"], [part.id for part in metadata.prompt.shared])

    @given(st.text(max_size=20), st.text(max_size=20), st.text(max_size=20))
    def test_no_header_raises(self, deadline, count, parts):
        decode_metadata(
            {
                "X-Galenapass-Deadline-Ms": deadline,
                "X-Galenapass-Token-Count": count,
                "X-Galenapass-Prompt-Prefix": parts,
            }
        )

    def test_clients_set_none_of_the_systems_headers(self):
        sent = [
            ("X-Galenapass-Kv-Source", "10.0.0.1:1/h"),
            ("X-Galenapass-Kv-Hold", "h"),
            ("X-Galenapass-Kv-Backup", "b"),
            ("X-Galenapass-Pin-Ms", "5"),
            ("X-Galenapass-Stage", "prefill"),
            ("X-Galenapass-Request-Priority", "0"),
            ("X-Galenapass-Expect-Instance", "i-9"),
            ("Kv-Fetch", "10.0.0.1:1"),
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("X-Galenapass-Model", "m"),
            ("Accept-Language", "en"),
        ]
        kept = dict(encode_headers(sent, "a.example", self.OPTIONS))
        self.assertEqual(
            {
                "X-Galenapass-Model": "m",
                "Accept-Language": "en",
                "Host": "a.example",
                "X-Galenapass-Deadline-Ms": "1500",
                "X-Galenapass-Expect-Instance": "i-1",
            },
            kept,
        )

    def test_not_run_needs_proof(self):
        self.assertTrue(is_not_run(503, {"X-Galenapass-Not-Executed": "1"}))
        self.assertTrue(is_not_run(421, {}))
        self.assertFalse(is_not_run(503, {}))
        self.assertFalse(is_not_run(500, {}))

    def test_end_to_end_response_headers_are_kept(self):
        headers = [("Content-Length", "5"), ("X-Own", "1"), ("Connection", "close")]
        self.assertEqual([("X-Own", "1")], filter_response_headers(headers))


class TestSettings(TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.toml"
            path.write_text(text)
            return read_host_settings(path)

    def test_the_settings_are_decoded(self):
        settings = self.read(SETTINGS).unwrap()
        self.assertEqual(("10.1.0.1", 80), settings.front)
        self.assertEqual(("10.1.0.1", 7380), settings.peers)
        self.assertEqual(timedelta(seconds=8), settings.grace_period)

    def test_a_fault_names_the_field_and_its_value(self):
        broken = SETTINGS.replace("retry_slack = 56", 'retry_slack = "many"')
        fault = str(self.read(broken).unwrap_err())
        self.assertIn("bounds.retry_slack", fault)
        self.assertIn("many", fault)

    def test_a_missing_field_is_named(self):
        fault = str(self.read(SETTINGS.replace("grace_s = 8", "")).unwrap_err())
        self.assertIn("bounds.grace_s", fault)

    def test_text_that_is_no_settings_file_is_a_fault(self):
        self.assertTrue(self.read("node_name = [").is_err())
