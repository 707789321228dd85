"""Why prefix blocks were prefilled again, as found from logs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tamarack_ctl.main import main


def placed(at_ms: int, endpoint: str, *, prefilled: bool, part: str = "m/p") -> str:
    shared = [[part, 1_000, prefilled]]
    return _line(at_ms, "request: placed", request="x", endpoint=endpoint, shared=shared)


def _line(at_ms: int, message: str, **fields: object) -> str:
    return json.dumps({"at_ms": at_ms, "router": "r", "message": message, **fields})


def test_each_prefill_of_a_block_has_one_cause(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    log.write_text(
        "\n".join(
            (
                placed(0, "a", prefilled=True),
                placed(100, "b", prefilled=True),
                placed(1_000, "a", prefilled=False),
                placed(2_000, "c", prefilled=True),
                placed(3_000, "c", prefilled=True),
                _line(4_000, "belief: endpoint gone", endpoint="e"),
                placed(30_000, "a", prefilled=True),
                placed(3_500, "e", prefilled=True, part="m/q"),
                placed(5_000, "f", prefilled=True, part="m/q"),
                _line(50, "request: refused", least_wait_ms=3),
                _line(60, "request: refused", least_wait_ms=90),
                _line(70, "request: refused"),
            )
        )
    )
    assert main(["--json", "reads", str(log)]) == 0
    assert json.loads(capsys.readouterr().out) == {
        "first": 3_000,
        "same_engine": 1_000,
        "unaware": 1_000,
        "engine_gone": 1_000,
        "further_engine": 1_000,
        "refused": 2,
        "refused_beside_free": 1,
    }


def test_logs_without_placements_show_no_prefill(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text("not a line of a router\n")
    assert main(["reads", str(log)]) == 1
