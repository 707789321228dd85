"""Fingerprints of requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tamarack_core.fingerprint import fingerprint

PARTS = st.tuples(
    st.none() | st.text(max_size=8),
    st.text(max_size=8),
    st.binary(max_size=8),
    st.binary(max_size=8),
    st.binary(max_size=8),
)


@given(PARTS, PARTS)
def test_different_requests_have_different_fingerprints(first: tuple, second: tuple) -> None:
    same = (first[0] or "", *first[1:]) == (second[0] or "", *second[1:])
    assert (fingerprint(*first) == fingerprint(*second)) == same


def test_field_boundaries_change_the_fingerprint() -> None:
    assert fingerprint("a", "b", b"POST", b"/x", b"") != fingerprint("ab", "", b"POST", b"/x", b"")


def test_a_fingerprint_contains_only_hexadecimal_digits() -> None:
    name = fingerprint("shop", "shop.example", b"POST", b"/secret", b"secret")
    assert len(name) == 24
    assert set(name) <= set("0123456789abcdef")
