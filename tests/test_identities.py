"""Test who calls, how a key is refused, and when a version is the newest."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import orjson
from result import Err, Ok

from galenapass.forwarding.caller_finder import (
    CallerFinder,
    KeyProblem,
    find_caller_rank,
)
from galenapass.forwarding.configuration_follower import VersionKnowledge, is_newest
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import RouteTable
from galenapass.platform.configuration import decode_configuration, replace_keys
from galenapass.systems.identities import Identities, Organisation, digest_key
from tests.forwarding_fakes import make_route
from tests.test_forwarding_configuration_follower import FAILS, FakeSources, make_stored

ORG = Organisation("org", 1)
IDENTITIES = Identities({digest_key("k1"): ORG})
WAIT = timedelta(milliseconds=400)


def test_no_organisation_starves_or_overtakes_a_more_urgent_one():
    routes = [make_route(rank=rank) for rank in (0, 3, 100)]
    callers = [Organisation("a"), Organisation("b", 2), Organisation("c", 50), None]
    ranks = [
        [find_caller_rank(route, caller, [0, 2, 50], [0, 3, 100]) for route in routes]
        for caller in callers
    ]
    assert ranks == [[0, 1, 2], [3, 4, 5], [6, 7, 8], [6, 7, 8]]
    assert find_caller_rank(routes[2], callers[1], [2], [0, 3, 100]) == 100


class TestKeptConfigurations:
    def encode(self, rows):
        spec = {"version": 7, "routes": [], "services": [], "tenants": rows}
        return orjson.dumps(spec).decode()

    def test_digests_replace_keys_and_decode_alike(self):
        rows = [{"name": "org", "api_keys": ["k1", "k2"], "priority": 1}]
        body = self.encode(rows)
        kept = replace_keys(body)
        assert "k1" not in kept
        decoded = [decode_configuration(orjson.loads(text)) for text in (body, kept)]
        assert decoded[0] == decoded[1]
        assert replace_keys(kept) == kept

    def test_no_key_stays_in_rows_that_cannot_be_decoded(self):
        row = {"name": "org", "api_keys": "k1"}
        for rows in ([row], ["api_keys", "k1"], "api_keys"):
            assert "k1" not in replace_keys(self.encode(rows))

    def test_removing_all_organisations_lets_no_one_in(self):
        table = decode_configuration(orjson.loads(self.encode([]))).unwrap()
        assert table.identities == Identities()


class TestNewestVersion:
    SECOND = timedelta(seconds=1)
    KNOWN = VersionKnowledge(5, 5, *[timedelta(0)] * 3)

    def check(self, **changes):
        return is_newest(replace(self.KNOWN, **changes), 10 * self.SECOND)

    def test_neither_silence_nor_news_of_a_newer_one_shows_that_it_is_newest(self):
        assert not self.check()
        assert not self.check(read_at=10 * self.SECOND, heard_version=6)
        for source in ("fresh_at", "watched_at", "read_at"):
            assert self.check(**{source: 9 * self.SECOND})
            assert not self.check(**{source: 7.9 * self.SECOND})


class TestSearch:
    def confirm(self, count, read):
        sources = FakeSources(reads=[read])

        async def main():
            searches = (sources.follower.confirm(WAIT) for _ in range(count))
            return await asyncio.gather(*searches)

        return asyncio.run(main()), sources

    def test_a_flood_of_unknown_keys_shares_one_read_of_the_store(self):
        confirmed, sources = self.confirm(50, make_stored(3))
        assert (confirmed, sources.read_count) == ([True] * 50, 1)

    def test_a_host_that_is_cut_off_does_not_take_its_version_for_the_newest(self):
        assert self.confirm(1, FAILS)[0] == [False]

    def find(self, confirmed, after):
        """Return what becomes of key k1, which a table lacks until it is confirmed."""
        route = make_route()
        rows = {route.host: (route,)}
        fleet = Fleet("h1", "a", RouteTable(3, rows, identities=Identities()))

        async def confirm():
            fleet.routes = replace(fleet.routes, version=4, identities=after)
            return confirmed

        finder = CallerFinder(fleet, lambda headers: digest_key("k1"), confirm)
        return asyncio.run(finder.find({}, route.host, route.prefix)).caller

    def test_a_new_key_is_not_refused_by_a_host_that_is_behind(self):
        assert self.find(False, IDENTITIES) == Ok(ORG)
        assert self.find(False, Identities()) == Err(KeyProblem.UNDECIDED)
        assert self.find(True, Identities()) == Err(KeyProblem.UNKNOWN)
