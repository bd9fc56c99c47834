"""A small HTTP/1.1 server and client on asyncio, enough for the platform's calls."""

import asyncio
import json


async def read_message(reader):
    """Reads the first line and the body of a message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    size = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            size = int(value)
    return lines[0], await reader.readexactly(size)


async def serve(host, port, handle):
    """Serves calls: `handle(method, target, body)` returns status and object."""

    async def on_connection(reader, writer):
        try:
            while True:
                line, body = await read_message(reader)
                method, target, _ = line.split(" ")
                status, answer = handle(method, target, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port)


async def call(address, method, target, body=None, timeout=1.0, source=None):
    """Makes one call on a connection of its own; returns the status or None."""

    async def exchange():
        reader, writer = await asyncio.open_connection(
            *address, local_addr=(source, 0) if source else None)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n"
                .encode() + payload)
            line, _ = await read_message(reader)
            return int(line.split(" ")[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError,
            asyncio.IncompleteReadError):
        return None
