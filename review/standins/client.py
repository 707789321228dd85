"""A client: sends requests to a router and reads the answers."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import NamedTuple

from standins.fleet import HOST, KEY
from standins.http import read_body, read_chunks, read_head

NOT_RUN_STATUSES = (408, 421, 429, 503)


class Reply(NamedTuple):
    """An answer, or the lack of one.

    Attributes
    ----------
    status
        0 if the connection ended before an answer began.
    whole
        Whether the answer ended as complete.
    """

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def attempt_id() -> str:
    """A new attempt id."""
    return secrets.token_hex(8)


def request(
    method: str, path: str, attempt: str, body: bytes = b"", *, key: str = "", **headers: str
) -> bytes:
    """Bytes of a request with a length; underscores in names of headers stand for hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if key:
        lines.append(f"Authorization: Token {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def stream_request(path: str, attempt: str, *, key: str = KEY, **headers: str) -> bytes:
    """Bytes of a request for a stream."""
    prompt = {
        "X_Deadline_Ms": "12000",
        "X_Model": "m",
        "X_Token_Usage": "300,120",
        "X_Prompt_Prefix": f"5c1e07a2:200,{attempt}:100",
    }
    return request("POST", path, attempt, b"draft", key=key, **prompt, **headers)


async def ask(front: str, data: bytes, attempt: str) -> Reply:
    """Send one request on a new connection, and read its answer."""
    host, _, port = front.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_reply(reader, attempt)
    finally:
        writer.close()


async def read_reply(reader: asyncio.StreamReader, attempt: str) -> Reply:
    """Read one answer, also one that breaks off."""
    try:
        head = await read_head(reader)
    except (OSError, asyncio.IncompleteReadError):
        head = None
    if head is None:
        return Reply(attempt, 0, {}, b"", False)
    if head.headers.get("transfer-encoding") != "chunked":
        try:
            body = await read_body(reader, head)
        except (OSError, asyncio.IncompleteReadError):
            return Reply(attempt, head.status, head.headers, b"", False)
        return Reply(attempt, head.status, head.headers, body, True)
    body = b""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        async for data in read_chunks(reader):
            body += data
        return Reply(attempt, head.status, head.headers, body, True)
    return Reply(attempt, head.status, head.headers, body, False)


def event_ids(body: bytes) -> list[int]:
    """Ids of the events of a stream, in order."""
    lines = body.decode("latin-1").splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]
