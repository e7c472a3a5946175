"""Fields of organisations, sizes and duties that the platform adds to its objects."""

import json
from datetime import timedelta
from pathlib import Path

import pytest

from galenapass.forwarding.datagrams import (
    decode_datagram,
    encode_datagram,
    encode_message,
)
from galenapass.forwarding.operations import Duty
from galenapass.forwarding.routes import Scaling
from galenapass.forwarding.slot_requests import SlotRequest, Stage
from galenapass.platform.configuration import decode_configuration, replace_keys
from galenapass.platform.headers import SendOptions, encode_headers
from galenapass.platform.runners import decode_runner
from galenapass.platform.settings import read_host_settings
from galenapass.systems.identities import Organisation, digest_key, find_organisation

SETTINGS = """
node_name = "front-a-1"
ip = "10.1.0.17"
zone = "a"
internal_port_range = [7680, 7695]
[listen]
front = "10.1.0.17:8187"
ready = "10.1.0.17:8189"
[bounds]
grace_s = 8
lease_ms = 3000
budget_ratio = 0.2
retry_slack = 176
budget_window_s = 10
report_window_s = 5
usage_late_s = 10
[platform]
address = "10.200.1.7:8182"
"""
CLOUD = """
[cloud]
address = "10.200.0.175:8182"
duties = ["usage_report", "autoscale", "of a later build"]
duty_per_s = 50.0
"""


class TestConfiguration:
    def decode(self, **more):
        service = {"name": "plain", "scale": more.pop("scale", None)}
        spec = {"version": 7, "routes": [], "services": [service], **more}
        return decode_configuration(spec).unwrap()

    def test_organisations_are_found_by_each_of_their_keys(self):
        rows = [{"name": "org", "api_keys": ["k1", "k2"], "priority": 1}]
        identities = self.decode(tenants=rows).identities
        for key in ("k1", "k2"):
            found = find_organisation(identities, digest_key(key))
            assert found == Organisation("org", 1)
        assert find_organisation(identities, digest_key("k3")) is None
        assert find_organisation(identities, digest_key("")) is None

    def test_a_configuration_that_hosts_pass_on_holds_digests_only(self):
        rows = [{"name": "org", "key_digests": [digest_key("k1")]}]
        identities = self.decode(tenants=rows).identities
        assert find_organisation(identities, digest_key("k1")) == Organisation("org")

    def test_without_organisations_no_key_is_asked_for(self):
        assert self.decode().identities is None

    def test_the_size_of_a_service_is_fixed_unless_it_has_bounds(self):
        assert self.decode().services["plain"].scaling is None
        row = {"min": 1, "max": 35, "boot_s": 4.0, "spot_price": 0.22}
        row["zone_prices"] = {"a": 1.0, "b": 0.8}
        prices = {"a": 1.0, "b": 0.8}
        expected = Scaling(1, 35, timedelta(seconds=4), 0.22, prices)
        assert self.decode(scale=row).services["plain"].scaling == expected


class TestSettings:
    def read(self, path: Path, text: str):
        path.write_text(text)
        return read_host_settings(path).unwrap()

    def test_duties_come_with_their_terms(self, tmp_path):
        terms = self.read(tmp_path / "a.toml", SETTINGS + CLOUD).operations
        assert terms.duties == {Duty.USAGE, Duty.SIZES}
        assert terms.window == timedelta(seconds=5)
        assert terms.lateness == timedelta(seconds=10)

    @pytest.mark.parametrize(
        "cloud", ['cloud = ""', "cloud = {}", "[cloud]\nduties = []"]
    )
    def test_empty_keys_ask_for_no_duty(self, tmp_path, cloud):
        # Keys that a platform does not use may be empty.
        text = f"{cloud}\n{SETTINGS}" if "[" not in cloud else f"{SETTINGS}\n{cloud}"
        assert self.read(tmp_path / "a.toml", text).operations is None

    def test_without_duties_there_are_no_terms(self, tmp_path):
        assert self.read(tmp_path / "a.toml", SETTINGS).operations is None

    @pytest.mark.parametrize(
        ("text", "field"),
        [
            ("cloud = 7\n" + SETTINGS, "cloud"),
            (SETTINGS + CLOUD.replace('["usage', '[["x"], "usage'), "cloud.duties"),
            (SETTINGS + '[cloud]\nduties = "usage_report"', "cloud.duties"),
            (
                (SETTINGS + CLOUD).replace(
                    "report_window_s = 5", "report_window_s = 0"
                ),
                "bounds.report_window_s",
            ),
        ],
    )
    def test_a_field_of_another_form_is_named_as_a_fault(self, tmp_path, text, field):
        """Another error, or a division by zero later, would end the daemon."""
        path = tmp_path / "a.toml"
        path.write_text(text)
        assert read_host_settings(path).unwrap_err().key == field


@pytest.mark.parametrize(
    ("value", "expected"),
    [(2300, timedelta(seconds=2.3)), (None, None), ("soon", None), (True, None)],
)
def test_a_leaving_target_tells_the_time_left(value, expected):
    entry = {"service": "s", "address": "10.1.1.1:80", "zone": "a"}
    entry |= {"state": "draining", "spot": True, "leaves_ms": value}
    target = decode_runner("r-1", entry).unwrap()
    assert target.is_reclaimable
    assert target.time_left == expected


def test_a_slot_request_names_the_organisation():
    now = timedelta(seconds=5)
    later = now + timedelta(seconds=1)
    for organisation in ("", "org"):
        request = SlotRequest(
            "t", "r", "s", Stage.CALL, later, later, 0, organisation=organisation
        )
        data = encode_datagram("h", [encode_message(request, now)])
        assert decode_datagram(data, now).unwrap() == ("h", [request])


def test_a_client_cannot_remove_the_name_of_its_organisation():
    # Headers that `Connection` lists were dropped together with the system's own.
    sent = [
        ("Connection", "keep-alive, X-Galenapass-Tenant"),
        ("X-Galenapass-Tenant", "other"),
        ("Authorization", "Token k1"),
    ]
    for organisation, expected in (("org", ["org"]), ("", [])):
        options = SendOptions("i-1", timedelta(seconds=1), organisation=organisation)
        pairs = list(encode_headers(sent, "a.example", options))
        names = [v for name, v in pairs if name.lower() == "x-galenapass-tenant"]
        assert names == expected
        assert "k1" not in str(pairs)


def test_keys_under_an_escaped_name_are_replaced():
    rows = [{"name": "org", "api_keys": ["secret"]}]
    body = json.dumps({"version": 1, "tenants": rows}).replace("_keys", "\\u005fkeys")
    assert "secret" not in replace_keys(body)
