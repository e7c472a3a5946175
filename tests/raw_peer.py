"""Pass the tunnels of other hosts on as a process of its own, as an earlier build does.

Its argument and commands are those of the raw target.
"""

import asyncio
import contextlib
import json

from tests.raw_target import serve_commands, write_record

OPENED = b'{"opened":true}\n'


async def copy(reader, writer):
    with contextlib.suppress(OSError):
        while chunk := await reader.read(65_536):
            writer.write(chunk)
            await writer.drain()


async def serve(reader, writer):
    call = json.loads(await reader.readline())
    write_record("call", call=call.get("call"))
    if "address" not in call:
        writer.close()
        return
    ip, port = call["address"].split(":")
    target_reader, target_writer = await asyncio.open_connection(ip, int(port))
    writer.write(OPENED)
    await asyncio.gather(copy(reader, target_writer), copy(target_reader, writer))


if __name__ == "__main__":
    asyncio.run(serve_commands(serve))
