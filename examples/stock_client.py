"""A stock CoAP client that sends a command and handles the Echo itself.

Usage: ``python examples/stock_client.py 127.20.1.1:5701 pivot-7``. The first
POST carries no Echo and isn't run: the client repeats it with the Echo of the
4.01. The example uses asyncio because aiocoap does.
"""

import asyncio
import json
import sys
import uuid

import aiocoap


def stop_command(entry, pivot, payload, echo=None):
    """Return a POST that stops a pivot, with an Echo if one is given."""
    request = aiocoap.Message(
        code=aiocoap.POST,
        uri=f"coap://{entry}/pivot/{pivot}/command",
        payload=payload,
    )
    if echo is not None:
        request.opt.echo = echo
    return request


async def main(entry, pivot):
    """Get an Echo, then send the same command with it once."""
    client = await aiocoap.Context.create_client_context()
    payload = json.dumps({"id": str(uuid.uuid4()), "command": "stop"}).encode()
    first = await client.request(stop_command(entry, pivot, payload)).response
    print(f"{first.code}, an Echo of {len(first.opt.echo)} bytes")
    repeated = stop_command(entry, pivot, payload, first.opt.echo)
    second = await client.request(repeated).response
    print(second.code)
    await client.shutdown()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
