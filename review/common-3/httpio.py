"""HTTP/1.1 with bodies in JSON, as far as the stand-ins need it."""

import asyncio
import json


async def _read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


async def call(address, method, path, body=None, timeout=1.0):
    """Makes one call. Returns (status, body), or (0, None) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            kind = "Content-Type: application/json\r\n" if text else ""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                          f"{kind}Content-Length: {len(text)}\r\n"
                          "Connection: close\r\n\r\n").encode() + text)
            await writer.drain()
            first, _, raw = await _read_message(reader)
            return int(first.split()[1]), raw
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, None


async def serve(address, handle):
    """Serves calls: handle(method, path, body, peer) returns (status, object),
    or None to end the connection without an answer."""
    async def on_connection(reader, writer):
        peer = writer.get_extra_info("peername")
        try:
            while True:
                first, headers, raw = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = handle(method, path, raw, peer)
                if asyncio.iscoroutine(answer):
                    answer = await answer
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} Status\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n").encode()
                             + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(on_connection, *address)
