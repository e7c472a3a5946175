"""Test who calls, how a key is refused, and when a version is the newest."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import orjson
import pytest
from result import Err, Ok

from galenapass.forwarding.caller_finder import (
    CallerFinder,
    KeyProblem,
    find_caller,
    find_caller_rank,
)
from galenapass.forwarding.configuration_follower import VersionKnowledge, is_newest
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import RouteTable
from galenapass.platform.configuration import decode_configuration, replace_keys
from galenapass.systems.identities import (
    Identities,
    Organisation,
    digest_authorization,
    digest_key,
)
from tests.forwarding_fakes import make_request, make_route
from tests.test_forwarding_configuration_follower import FAILS, FakeSources, make_stored

ORG = Organisation("org", 1)
IDENTITIES = Identities({digest_key("k1"): ORG})
WAIT = timedelta(milliseconds=400)


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ("Token k1", "k1"),
        ("TOKEN  k1 ", "k1"),
        ("Bearer k1", ""),
        ("Token ", ""),
        ("", ""),
    ],
)
def test_a_key_is_read_of_its_scheme_only(header, key):
    expected = digest_key(key) if key else ""
    assert digest_authorization(header, "token") == expected


def test_each_problem_of_a_key_is_told_apart():
    private, public = make_route(), make_route(is_public=True)
    known, unknown = digest_key("k1"), digest_key("k2")
    assert find_caller(IDENTITIES, private, known) == Ok(ORG)
    assert find_caller(IDENTITIES, private, unknown) == Err(KeyProblem.UNKNOWN)
    assert find_caller(IDENTITIES, private, "") == Err(KeyProblem.MISSING)
    assert find_caller(IDENTITIES, public, known) == Ok(ORG)
    assert find_caller(IDENTITIES, public, unknown) == Ok(None)
    assert find_caller(None, private, "") == Ok(None)


def test_no_organisation_starves_or_overtakes_a_more_urgent_one():
    routes = [make_route(rank=rank) for rank in (0, 3, 100)]
    callers = [Organisation("a"), Organisation("b", 2), Organisation("c", 50), None]
    ranks = [
        [find_caller_rank(route, caller, [0, 2, 50], [0, 3, 100]) for route in routes]
        for caller in callers
    ]
    assert ranks == [[0, 1, 2], [3, 4, 5], [6, 7, 8], [6, 7, 8]]
    assert find_caller_rank(routes[2], callers[1], [2], [0, 3, 100]) == 100


def test_a_rank_without_organisations_stays_that_of_the_route():
    request = make_request(route=make_route(rank=3))
    assert request.rank == 3
    request.caller_rank = 7
    assert request.rank == 7


class TestKeptConfigurations:
    ROWS = [{"name": "org", "api_keys": ["k1", "k2"], "priority": 1}]

    def encode(self, rows):
        spec = {"version": 7, "routes": [], "services": [], "tenants": rows}
        return orjson.dumps(spec).decode()

    def decode(self, body):
        return decode_configuration(orjson.loads(body))

    def test_digests_replace_keys_and_decode_alike(self):
        body = self.encode(self.ROWS)
        kept = replace_keys(body)
        assert "k1" not in kept
        assert self.decode(kept) == self.decode(body)
        assert replace_keys(kept) == kept

    def test_no_key_stays_in_rows_that_cannot_be_decoded(self):
        for rows in (
            [{"name": "org", "api_keys": "k1"}],
            ["api_keys", "k1"],
            "api_keys",
        ):
            assert "k1" not in replace_keys(self.encode(rows))

    def test_a_text_for_a_list_does_not_make_each_letter_a_key(self):
        rows = [{"name": "org", "api_keys": "k1"}]
        assert isinstance(self.decode(self.encode(rows)), Err)

    def test_removing_all_organisations_lets_no_one_in(self):
        assert self.decode(self.encode([])).unwrap().identities == Identities()


class TestNewestVersion:
    SECOND = timedelta(seconds=1)
    KNOWN = VersionKnowledge(5, 5, *[timedelta(0)] * 3)

    def check(self, **changes):
        return is_newest(replace(self.KNOWN, **changes), 10 * self.SECOND)

    def test_silence_does_not_show_that_there_is_no_newer_one(self):
        assert not self.check()
        for source in ("fresh_at", "watched_at", "read_at"):
            assert self.check(**{source: 9 * self.SECOND})
            assert not self.check(**{source: 7.9 * self.SECOND})

    def test_a_host_told_of_a_newer_one_is_behind(self):
        assert not self.check(read_at=10 * self.SECOND, heard_version=6)

    def test_a_host_without_any_has_none(self):
        assert not self.check(read_at=10 * self.SECOND, version=0, heard_version=0)


class TestSearch:
    def confirm(self, count=1, heard=0, **options):
        sources = FakeSources(**options)

        async def main():
            if heard:
                sources.follower.handle_peer_version(heard, "h9")
            searches = (sources.follower.confirm(WAIT) for _ in range(count))
            return await asyncio.gather(*searches)

        return asyncio.run(main()), sources

    def test_a_flood_of_unknown_keys_shares_one_read_of_the_store(self):
        confirmed, sources = self.confirm(count=50, reads=[make_stored(3)])
        assert (confirmed, sources.read_count) == ([True] * 50, 1)

    def test_a_host_that_is_cut_off_does_not_take_its_version_for_the_newest(self):
        assert self.confirm(reads=[FAILS])[0] == [False]

    def test_a_version_that_was_told_is_awaited(self):
        confirmed, sources = self.confirm(heard=6, reads=[FAILS], peers={"h2": 6})
        assert sources.fleet.routes.version == 6

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
