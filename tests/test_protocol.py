"""Encoding of peer messages and of idempotency keys."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from tamarack_core.claim_messages import Claim, ClaimAnswer
from tamarack_core.dispatch_messages import (
    Grant,
    Grants,
    PollAck,
    ReportUsage,
    ShardKey,
    SubmitTickets,
    Ticket,
    Usage,
)
from tamarack_core.key_token import KeyToken, parse_key
from tamarack_core.protocol import Ping
from tamarack_core.wire import decode, encode, request_prefix

SHARD = ShardKey("model", 0)
HOLDER = request_prefix("r1", 7)


def test_request_ids_are_shortened_on_the_wire_and_restored() -> None:
    ticket = Ticket(f"{HOLDER}12", "w")
    messages = [
        SubmitTickets(SHARD, 1, [ticket]),
        ReportUsage(SHARD, [Usage(f"{HOLDER}12", 5, 1)]),
        Claim("r2~9~0.k", "w", "d", f"{HOLDER}12"),
    ]
    data = encode(messages)
    assert b"r1~7" not in data
    frame = decode(data, "r1", 7, request_prefix("r2", 9))
    assert frame is not None and frame.messages == messages
    answers = [
        Grants(SHARD, 1, [Grant(f"{HOLDER}12", "e", 10)], {"w": 10}),
        ClaimAnswer(f"{HOLDER}12", "running", "r3~1~5", "r3~1~5", "e"),
    ]
    frame = decode(encode(answers), "r2", 9, HOLDER)
    assert frame is not None and frame.messages == answers


def test_a_message_of_an_unknown_kind_is_skipped() -> None:
    # During a rolling upgrade a newer router sends a kind that this version does not know.
    poll = PollAck(SHARD, 1, False)
    data = msgspec.msgpack.encode([(9_999, ["new"]), (16, poll)])
    frame = decode(data, "r1", 7, HOLDER)
    assert frame is not None and frame.messages == [poll]


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_frame_or_none(data: bytes) -> None:
    frame = decode(data, "r1", 7, HOLDER)
    assert frame is None or isinstance(frame.messages, list)


@given(st.binary(max_size=60), st.integers(0, 200))
def test_a_damaged_frame_never_raises(noise: bytes, at: int) -> None:
    data = encode([Ping(1, "r2", []), SubmitTickets(SHARD, 1, [Ticket(f"{HOLDER}1", "w")])])
    damaged = data[: at % len(data)] + noise + data[at % len(data) :]
    frame = decode(damaged, "r1", 7, HOLDER)
    assert frame is None or isinstance(frame.messages, list)


def test_a_key_names_its_owner() -> None:
    token = KeyToken("milano-a-r1", 1_700_000_000_000, 3)
    assert parse_key(f"{token.text}.unique") == token


@given(st.text(max_size=80))
def test_any_text_parses_as_a_key_with_or_without_an_owner(text: str) -> None:
    token = parse_key(text)
    assert token is None or text.startswith(token.router)
