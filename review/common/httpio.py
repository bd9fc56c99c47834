"""HTTP/1.1 messages with bodies of a known length."""

import asyncio
import json

_REASONS = {200: "OK", 404: "Not Found", 409: "Conflict",
            503: "Service Unavailable"}


async def read_message(reader):
    """Reads a request: method, target and body; None at the end."""
    head = await _read_head(reader)
    if head is None:
        return None
    method, target = head[0].split(" ")[:2]
    return method, target, await _read_body(reader, head)


async def _read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    return text.decode().split("\r\n")


async def _read_body(reader, head):
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            return await reader.readexactly(int(value))
    return b""


async def write_response(writer, status, body):
    text = json.dumps(body).encode()
    writer.write(f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\n"
                 f"Content-Type: application/json\r\n"
                 f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
    await writer.drain()


async def call(address, port, method, target, body=None, timeout=1.0):
    """Makes one call on a connection of its own.

    Returns the status, or 0 if no answer came in time.
    """
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            writer.write(f"{method} {target} HTTP/1.1\r\n"
                         f"Host: {address}:{port}\r\n"
                         f"Connection: close\r\n"
                         f"Content-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() +
                         text)
            head = await _read_head(reader)
            if head is None:
                return 0
            await _read_body(reader, head)
            return int(head[0].split(" ")[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0
