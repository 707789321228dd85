"""Generated documents match the code and the readings that they are made from."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tamarack_bench import capacity, measurements
from tamarack_router.openapi import OPERATIONS, document
from tamarack_router.reference import reference

ROOT = Path(__file__).parent.parent


def test_the_openapi_document(snapshot: Any) -> None:
    assert document() == snapshot


def test_every_operation_states_its_role() -> None:
    assert {operation.role for operation in OPERATIONS} == {"read", "operate", "configure"}


def test_the_reference_page_matches_the_code() -> None:
    assert (ROOT / "docs" / "reference.md").read_text() == reference()


def test_the_pages_of_figures_match_the_readings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    docs = ROOT / "docs"
    assert (docs / "CAPACITY.md").read_text() == capacity.page(capacity.read_lines())
    assert (docs / "MEASUREMENTS.md").read_text() == measurements.page()
