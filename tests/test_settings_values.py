"""Test parsing of single values and of hours."""

from datetime import UTC, datetime, time, timedelta
from pathlib import Path
from zoneinfo import ZoneInfo

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.settings import addresses, hours, values
from galenapass.tables.configurations import Caller, Hours
from galenapass.tables.requests import Urgency

DAY = timedelta(days=1)
MINUTES = st.builds(time, st.integers(0, 23), st.integers(0, 59))
SPANS = st.builds(Hours, MINUTES, MINUTES, st.frozensets(st.integers(0, 6)))
ZONES = st.sampled_from(["UTC", "Africa/Addis_Ababa", "Asia/Bangkok"]).map(ZoneInfo)
INSTANTS = st.datetimes(
    datetime(2026, 1, 1), datetime(2028, 1, 1), timezones=st.just(UTC)
)

VALID = (
    (values.parse_duration, "250 ms", timedelta(milliseconds=250)),
    (values.parse_duration, "5s", timedelta(seconds=5)),
    (values.parse_duration, "1.5 h", timedelta(minutes=90)),
    (values.parse_size, "4 MB", 4_000_000),
    (values.parse_data_rate, "11 KB/s", 11_000),
    (values.parse_request_rate, "40 req/s", 40.0),
    (values.parse_request_rate, "30 req/min", 0.5),
    (values.parse_flag, "no", False),
    (values.parse_outlet, "stdout", values.StandardStream.STDOUT),
    (values.parse_outlet, "./log", Path("log")),
    (values.parse_key_hash, "AB" * 32, "ab" * 32),
    (values.parse_list(values.parse_name), "a,\nb", ("a", "b")),
    (addresses.parse_target_address, "[::1]:0080", "[::1]:80"),
    (addresses.parse_listen_address, "0.0.0.0:0", addresses.Address("0.0.0.0", 0)),
    (
        hours.parse_hours,
        "Fri-Mon 22:00-06:00",
        Hours(time(22), time(6), frozenset({4, 5, 6, 0})),
    ),
    (hours.parse_hours, "Sun 00:00-24:00", Hours(time(0), time(0), frozenset({6}))),
)

INVALID = (
    (
        values.parse_duration,
        ("5", "0 s", "-5 s", "5 S", "٥ s", "1e3 s", "5 s s", "inf s"),
    ),
    (values.parse_size, ("4 M", "0 B", "4 MB/s", "0.5 B")),
    (values.parse_data_rate, ("11 KB", "11 req/s")),
    (values.parse_request_rate, ("40", "0 req/s", "40 req / s")),
    (values.parse_flag, ("true", "1", "Yes", "")),
    (values.parse_name, ("", "a b", "-a", "é", "a" * 64, "a/b")),
    (values.parse_secret, ("", "a b", "é", "a\nb")),
    (values.parse_list(values.parse_name), ("", "a,", "a,,b", "a, a")),
    (values.parse_outlet, ("stdrr", "a\n/b")),
    (values.parse_zone, ("", "Mars/Base", "../etc/passwd", "/etc/passwd", "Africa")),
    (values.parse_call, ("get /a", "/a", "GET a", "GET /a b")),
    (values.parse_key_hash, ("ab" * 31, "zz" * 32)),
    (
        addresses.parse_listen_address,
        ("localhost:80", "1.2.3:80", "127.0.0.1:65536", "::1:80"),
    ),
    (addresses.parse_address, ("0.0.0.0:80", "127.0.0.1:0", "224.0.0.1:80", "[::]:8")),
    (
        hours.parse_hours,
        (
            "8-18",
            "Mo 08:00-18:00",
            "08:00-08:00",
            "24:00-08:00",
            "Mon-Sat",
            "08:00-24:01",
            "Mon,Tue 08:00-18:00",
        ),
    ),
)


class ValuesTest(TestCase):
    def test_valid_values_are_parsed(self):
        for parse, text, value in VALID:
            self.assertEqual((text, value), (text, parse(text).unwrap()))

    def test_invalid_values_are_refused_with_an_expectation(self):
        for parse, texts in INVALID:
            for text in texts:
                self.assertTrue(parse(text).is_err(), text)
                self.assertNotEqual("", parse(text).unwrap_err())

    @given(st.integers(1, 10**9), st.sampled_from(sorted(values.DURATION_UNITS)))
    def test_a_duration_is_its_number_of_units(self, number, unit):
        seconds = number * values.DURATION_UNITS[unit]
        length = values.parse_duration(f"{number} {unit}").unwrap()
        self.assertEqual(timedelta(seconds=seconds), length)


class HoursTest(TestCase):
    @given(SPANS, INSTANTS, ZONES)
    def test_is_within_agrees_with_spans_computed_from_start_times(
        self, span, now, zone
    ):
        local = now.astimezone(zone).replace(tzinfo=None)
        midnight = datetime.combine(local.date(), time(0))
        length = timedelta(
            minutes=(_count_minutes(span.end) - _count_minutes(span.start)) % 1440
        )
        starts = [
            midnight - back + timedelta(minutes=_count_minutes(span.start))
            for back in (timedelta(0), DAY)
            if (midnight - back).weekday() in span.days
        ]
        expected = any(start <= local < start + (length or DAY) for start in starts)
        self.assertEqual(expected, hours.is_within(span, now.astimezone(zone)))

    @given(st.lists(SPANS, max_size=3), INSTANTS, ZONES, st.sampled_from(Urgency))
    def test_a_caller_is_urgent_in_its_hours_only(self, spans, now, zone, urgency):
        caller = Caller("guides", "", frozenset(), urgency, tuple(spans))
        found, patience = hours.find_urgency(caller, now, zone)
        is_open = any(hours.is_within(span, now.astimezone(zone)) for span in spans)
        self.assertEqual(Urgency.URGENT if is_open else urgency, found)
        expected = {Urgency.URGENT: caller.urgent_patience}
        self.assertEqual(expected.get(found, caller.patience), patience)

    def test_hours_are_local_to_the_time_zone(self):
        span = hours.parse_hours("Mon-Sat 08:00-18:00").unwrap()
        caller = Caller("guides", "", frozenset(), urgent_hours=(span,))
        now = datetime(2026, 1, 5, 5, 30, tzinfo=UTC)
        addis = hours.find_urgency(caller, now, ZoneInfo("Africa/Addis_Ababa"))
        self.assertEqual((Urgency.URGENT, timedelta(seconds=8)), addis)
        utc = hours.find_urgency(caller, now, ZoneInfo("UTC"))
        self.assertEqual((Urgency.NORMAL, timedelta(seconds=60)), utc)

    def test_a_time_without_a_zone_is_refused(self):
        caller = Caller("guides", "", frozenset())
        moment = datetime(2026, 1, 5)
        with self.assertRaises(ValueError):
            hours.find_urgency(caller, moment, ZoneInfo("UTC"))


def _count_minutes(moment):
    return moment.hour * 60 + moment.minute
