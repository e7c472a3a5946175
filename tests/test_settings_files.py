"""Test parsing of INI files: round trips, faults and masked secrets."""

import pathlib
import re
import tempfile
from dataclasses import replace
from datetime import time, timedelta
from zoneinfo import ZoneInfo

from hypothesis import example, given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.settings.daemon import parse_daemon_settings, read_daemon_settings
from galenapass.settings.fleet import parse_configuration
from galenapass.settings.hours import DAYS
from galenapass.tables.configurations import (
    Caller,
    Configuration,
    Hours,
    Service,
    TargetEntry,
)
from galenapass.tables.requests import Urgency
from galenapass.tables.targets import Role, TargetKind

DOCS = pathlib.Path(__file__).parent.parent / "docs"
DAEMON = (DOCS / "daemon-example.ini").read_text(encoding="utf-8")
FLEET = (DOCS / "operators-file-example.ini").read_text(encoding="utf-8")


def parse_fleet(text):
    return parse_configuration(text, 1, "fleet.ini")


def parse_daemon(text):
    return parse_daemon_settings(text, "daemon.ini")


def find_key_lines(text):
    lines = text.splitlines()
    return [number for number, line in enumerate(lines) if " = " in line]


def replace_line(text, number, line):
    lines = text.splitlines()
    lines[number] = line
    return "\n".join(lines)


def find_section(text, number):
    headers = [line for line in text.splitlines()[:number] if line.startswith("[")]
    return headers[-1].strip("[]")


MARKED_DAEMON = DAEMON.replace("change-me-too", "S1").replace("change-me", "S2")
ANY_OFFSET = st.integers(0, len(MARKED_DAEMON) - 1)
OFFSETS_NEAR_SECRETS = st.sampled_from(
    [
        offset
        for offset in range(len(MARKED_DAEMON))
        if any(mark in MARKED_DAEMON[offset : offset + 12] for mark in ("S1", "S2"))
    ]
)
TYPOS = ("", " ", "\n", "\n ", "=", ":", "[", "]", "x", "\x07")
"""Texts that a typo inserts; the empty one deletes a character."""

EXAMPLES = st.sampled_from([(parse_fleet, FLEET), (parse_daemon, DAEMON)])
NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)
NUMBERS = st.integers(1, 999)
DURATIONS = st.integers(1, 9_999).map(lambda ms: timedelta(milliseconds=ms))
MINUTES = st.builds(time, st.integers(0, 23), st.integers(0, 59))
CALLS = st.frozensets(st.sampled_from(["GET /a", "PUT /b/c", "GET /d?e=f"]))


@st.composite
def hours(draw):
    start, end = draw(st.lists(MINUTES, min_size=2, max_size=2, unique=True))
    first, length = draw(st.integers(0, 6)), draw(st.integers(1, 7))
    return Hours(start, end, frozenset((first + day) % 7 for day in range(length)))


@st.composite
def configurations(draw):
    names = draw(st.lists(NAMES, min_size=2, max_size=5, unique=True))
    engines = set(names[: len(names) // 2])
    targets = {
        f"target-{port}": TargetEntry(
            f"target-{port}",
            service := draw(st.sampled_from(names)),
            f"127.0.0.1:{port}",
            draw(NAMES),
            draw(st.sampled_from([None, *Role])) if service in engines else None,
            draw(st.booleans()) if service in engines else True,
        )
        for port in range(1, draw(st.integers(1, 6)))
    }
    owners = [target.service for target in targets.values()]
    services = {
        name: Service(
            name,
            TargetKind.ENGINE if name in engines else TargetKind.SERVICE,
            draw(NAMES) if name in engines else "",
            draw(NUMBERS),
            draw(st.integers(0, owners.count(name))) if name in engines else 0,
            draw(st.integers(0, owners.count(name))) if name in engines else 0,
            frozenset() if name in engines else draw(CALLS),
        )
        for name in names
    }
    callers = {
        f"caller-{number}": Caller(
            f"caller-{number}",
            f"{number:064x}",
            draw(st.frozensets(st.sampled_from(names), min_size=1)),
            draw(st.sampled_from(Urgency)),
            tuple(draw(st.lists(hours(), max_size=3, unique=True))),
            draw(DURATIONS),
            draw(DURATIONS),
            draw(NUMBERS),
            draw(NUMBERS),
        )
        for number in range(draw(st.integers(0, 4)))
    }
    zone = ZoneInfo(draw(st.sampled_from(["UTC", "Asia/Bangkok"])))
    return Configuration(zone=zone, services=services, targets=targets, callers=callers)


def render(configuration):
    lines = ["[fleet]", f"time zone = {configuration.zone.key}"]
    for service in configuration.services.values():
        lines += [f"[service {service.name}]", f"share = {service.share}"]
        if service.kind is TargetKind.SERVICE:
            lines += ["kind = plain"]
            lines += ["repeatable calls = " + ", ".join(service.repeatable)]
        else:
            lines += ["kind = engine", f"model = {service.model}"]
            lines += [f"prefill floor = {service.floor_prefill}"]
            lines += [f"decode floor = {service.floor_decode}"]
    for target in configuration.targets.values():
        lines += [f"[target {target.name}]", f"service = {target.service}"]
        lines += [f"address = {target.address}", f"domain = {target.domain}"]
        if configuration.services[target.service].kind is TargetKind.ENGINE:
            lines += [f"role = {target.role.value if target.role else 'auto'}"]
            lines += [f"checks fencing = {'yes' if target.checks_fencing else 'no'}"]
    for caller in configuration.callers.values():
        lines += [f"[caller {caller.name}]", f"key sha256 = {caller.key_hash}"]
        lines += ["services = " + ", ".join(caller.services)]
        lines += [f"urgency = {caller.urgency.name.lower()}"]
        spans = ", ".join(render_hours(span) for span in caller.urgent_hours)
        lines += [f"urgent hours = {spans}"]
        lines += [f"patience = {caller.patience // timedelta(milliseconds=1)} ms"]
        lines += [f"urgent patience = {caller.urgent_patience.total_seconds()} s"]
        lines += [f"rate = {caller.rate} req/s", f"share = {caller.share}"]
    return "\n".join(lines)


def render_hours(span):
    starts = [day for day in span.days if (day - 1) % 7 not in span.days]
    first = starts[0] if starts else 0
    last = (first + len(span.days) - 1) % 7
    return f"{DAYS[first]}-{DAYS[last]} {span.start:%H:%M}-{span.end:%H:%M}"


@st.composite
def edits(draw):
    """Return the example file with some lines changed, moved, repeated or dropped."""
    lines = FLEET.split("\n")
    line_numbers = st.integers(0, len(lines) - 1)
    for _ in range(draw(st.integers(0, 2))):
        start, end = sorted((draw(line_numbers), draw(line_numbers)))
        chunk = lines[start:end]
        typo = draw(st.sampled_from(["", " ", "#", "x", "[", "["]))
        changed = [typo + line for line in chunk]
        destination = draw(line_numbers)
        if draw(st.booleans()):
            lines[start:end] = changed
        else:
            lines[destination:destination] = changed
    return "\n".join(lines)


class RoundTripTest(TestCase):
    @given(configurations())
    def test_a_rendered_configuration_is_parsed_back(self, configuration):
        text = render(configuration)
        expected = replace(configuration, version=1, text=text)
        self.assertEqual(expected, parse_fleet(text).unwrap())

    def test_the_example_files_are_parsed(self):
        guides = parse_fleet(FLEET).unwrap().callers["guides"]
        self.assertEqual(timedelta(seconds=8), guides.urgent_patience)
        self.assertEqual(
            (Hours(time(8), time(18), frozenset(range(6))),), guides.urgent_hours
        )
        settings = read_daemon_settings(DOCS / "daemon-example.ini").unwrap()
        self.assertEqual(11_000, settings.peers_budget)
        self.assertEqual(4_000_000, settings.body_limit)
        self.assertEqual(
            ["127.0.0.1:8182", "127.0.0.1:8282"],
            [str(address) for address in settings.peers_join],
        )


class FaultTest(TestCase):
    @given(EXAMPLES, st.data(), st.text(max_size=5))
    def test_a_corrupt_value_gives_a_fault_that_names_its_key(
        self, example, data, garbage
    ):
        parse, text = example
        number = data.draw(st.sampled_from(find_key_lines(text)))
        key = text.splitlines()[number].partition(" = ")[0]
        garbage = "".join(part for part in garbage if part.isprintable())
        faults = parse(
            replace_line(text, number, f"{key} = \x07{garbage}")
        ).unwrap_err()
        locations = {(fault.section, fault.key) for fault in faults}
        self.assertIn((find_section(text, number), key), locations)

    @given(EXAMPLES, st.data())
    def test_a_misspelt_key_and_a_repeated_one_are_named(self, example, data):
        parse, text = example
        number = data.draw(st.sampled_from(find_key_lines(text)))
        line = text.splitlines()[number]
        key = line.partition(" = ")[0]
        [*_, misspelt] = parse(replace_line(text, number, "x" + line)).unwrap_err()
        self.assertIn(find_section(text, number), str(misspelt))
        [repeated] = parse(replace_line(text, number, f"{line}\n{line}")).unwrap_err()
        self.assertEqual((key, number + 2), (repeated.key, repeated.line))

    @given(
        st.lists(
            st.tuples(OFFSETS_NEAR_SECRETS | ANY_OFFSET, st.sampled_from(TYPOS)),
            max_size=3,
        ),
        st.sampled_from(["", "=="]),
    )
    def test_a_secret_stays_out_of_the_faults(self, typos, padding):
        text = MARKED_DAEMON
        for offset, typo in sorted(typos, reverse=True):
            text = text[:offset] + typo + text[offset + (not typo) :]
        text = re.sub("S[12]", rf"\g<0>-Secret{padding}", text)
        for fault in parse_daemon(text).err() or []:
            self.assertNotIn("Secret", str(fault))

    @given(st.lists(edits(), min_size=1, max_size=5))
    @example([FLEET + "[service booking]\nkind = plain\n"])
    @example([FLEET + "[service booking]\nkind = odd\n"])
    @example([FLEET.replace("kind = plain", "kind = engine\nmodel = m")])
    @example([FLEET + "[service m]\nkind = plain\n\n  [service n]\nkind = plain\n"])
    def test_cached_sections_change_no_result(self, texts):
        sections = {}
        for version, text in enumerate([FLEET, *texts, FLEET]):
            expected = parse_configuration(text, version, "fleet.ini")
            cached = parse_configuration(text, version, "fleet.ini", sections)
            self.assertEqual(expected, cached)

    def test_rows_of_unchanged_sections_are_reused(self):
        sections = {}
        before = parse_configuration(FLEET, 1, "fleet.ini", sections).unwrap()
        text = FLEET.replace("rate = 40", "rate = 30")
        after = parse_configuration(text, 2, "fleet.ini", sections).unwrap()
        self.assertIs(before.services["assistant"], after.services["assistant"])
        self.assertEqual(30.0, after.callers["guides"].rate)

    @given(st.text(max_size=200))
    def test_any_text_gives_a_result(self, text):
        for parse in (parse_fleet, parse_daemon):
            result = parse(text)
            self.assertTrue(result.is_ok() or result.unwrap_err())

    def test_all_faults_of_a_file_are_returned(self):
        text = FLEET.replace("kind = plain", "kind = plain\nmodel = m\nfoo = 1")
        text = text.replace("9201", "9101").replace(
            "prefill floor = 1", "prefill floor = 2"
        )
        text = text.replace("assistant, booking", "assistant, cellar")
        text = text.replace("domain = addis-1\nrole", "nonsense\nrole")
        text += "[service booking]\n[kitchen]\n[caller a b]\n"
        faults = {
            (fault.section, fault.key) for fault in parse_fleet(text).unwrap_err()
        }
        expected = {
            ("", ""),
            ("service booking", ""),
            ("kitchen", ""),
            ("caller a b", ""),
            ("caller a b", "key sha256"),
            ("caller a b", "services"),
            ("service booking", "model"),
            ("service booking", "foo"),
            ("target desk-1", "address"),
            ("target runner-1", "domain"),
            ("service assistant", "prefill floor"),
            ("caller guides", "services"),
        }
        self.assertEqual(expected, faults)

    def test_a_kind_limits_the_keys_of_a_section(self):
        cases = {
            "model = juniper-8b\n": "",
            "domain = addis-1\n\n[caller": "domain = addis-1\nrole = decode\n[caller",
            "kind = engine": "kind = engine\nrepeatable calls = GET /a",
            "kind = plain": "kind = plain\ndecode floor = 0",
        }
        for before, after in cases.items():
            text = FLEET.replace(before, after)
            [fault] = parse_fleet(text).unwrap_err()
            self.assertIn(fault.key, before + after)

    def test_a_tls_key_without_a_certificate_is_refused(self):
        text = DAEMON.replace("body limit", "tls key = a/b.pem\nbody limit")
        [fault] = parse_daemon(text).unwrap_err()
        self.assertEqual("tls certificate", fault.key)

    def test_a_file_that_cannot_be_read_is_a_fault(self):
        [missing] = read_daemon_settings(DOCS / "none.ini").unwrap_err()
        self.assertIn("readable file", str(missing))
        [directory] = read_daemon_settings(DOCS).unwrap_err()
        self.assertIn("readable file", str(directory))
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"[host]\nid = \xff\n")
            file.flush()
            [latin] = read_daemon_settings(pathlib.Path(file.name)).unwrap_err()
        self.assertIn("UTF-8", str(latin))
