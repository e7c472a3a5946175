"""Test with processes that of two concurrent applies one gets a conflict."""

import asyncio

from testtools import TestCase

from experiments.fleet import TOKEN
from tests.process_fleet import make_engines, wait_until, with_fleet


async def read_version(fleet, name):
    return (await fleet.query_operators_port(name, "/status"))["settings_version"]


async def apply(fleet, name, base, text):
    url = f"http://{fleet.daemons[name].operators_address}/configuration"
    headers = {"Authorization": f"Bearer {TOKEN}", "If-Match": f'"{base}"'}
    async with fleet.session.put(url, data=text, headers=headers) as answer:
        return answer.status, await answer.json(content_type=None)


class OperatorsRaceTest(TestCase):
    @with_fleet(2, make_engines(1))
    async def test_the_second_gets_a_conflict_with_both_versions(self, fleet):
        base = await read_version(fleet, "entry-1")
        texts = [
            fleet.format_operators_file(extra=f"# {name}\n") for name in fleet.daemons
        ]
        applies = [
            apply(fleet, name, base, text)
            for name, text in zip(fleet.daemons, texts, strict=True)
        ]
        (_, accepted), (status, refused) = sorted(
            await asyncio.gather(*applies), key=str
        )
        self.assertEqual(409, status)
        version = accepted["version"]
        reported_versions = (refused["base_version"], refused["current_version"])
        self.assertEqual((base, version), reported_versions)

        async def is_in_force():
            return {await read_version(fleet, n) for n in fleet.daemons} == {version}

        await wait_until(is_in_force, 4.0)
