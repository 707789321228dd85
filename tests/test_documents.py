"""Generated documents match the code and the readings that they are made from."""

from __future__ import annotations

import re
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


PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]
CODE_PAGES = {"ARCHITECTURE.md", "house-style.md", "seeds.md", "design", "incidents"}
SOURCES = ("packages", "platform", "tests", "bench", "deploy")


def source_words() -> set[str]:
    """Words of the sources, and the names of their files and folders."""
    paths = [path for folder in SOURCES for path in (ROOT / folder).rglob("*")]
    texts = [path.read_text() for path in paths if path.suffix in (".py", ".toml", ".sed", ".sh")]
    return {path.stem for path in paths} | set(re.findall(r"\w+", "\n".join(texts)))


def test_links_of_the_pages_lead_to_files() -> None:
    links = {
        (page, link)
        for page in PAGES
        for link in re.findall(r"\]\(([^)#\s]+)", page.read_text())
        if "://" not in link
    }
    assert [link for page, link in sorted(links) if not (page.parent / link).exists()] == []


def test_names_of_code_on_the_pages_exist() -> None:
    """A page that names a module, constant or test after its rename leads its reader nowhere."""
    words = source_words()
    lost = []
    for page in PAGES:
        text = page.read_text()
        names = re.findall(r"\btest_\w+", text)
        if CODE_PAGES.intersection(page.relative_to(ROOT).parts):
            quoted = " ".join(re.findall(r"`([^`\n]+)`", text))
            names += re.findall(r"\b[A-Za-z]\w*_\w+\b|\b[A-Z]+[a-z]+[A-Z]\w+\b", quoted)
        if page.name == "ARCHITECTURE.md":
            names += re.findall(r"`(\w+)`", text)
        lost += [f"{page.name}: {name}" for name in names if name not in words]
    assert lost == []
