"""An HTML page with tables and plots of readings."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path

from tamarack_bench.scenarios import Reading


def write_report(readings: list[Reading], path: Path) -> None:
    """Write the page, with plots embedded as PNG."""
    parts = ["<!doctype html><meta charset=utf-8><title>tamarackturn readings</title>"]
    parts.append("<style>body{font-family:sans-serif}td{padding:0 1em}</style>")
    for reading in readings:
        parts.append(f"<h2>{html.escape(reading.scenario)}</h2><table>")
        for figure, value in reading.figures.items():
            parts.append(f"<tr><td>{html.escape(figure)}<td>{value:.4g}")
        parts.append("</table>")
        if reading.series:
            parts.append(f'<img src="data:image/png;base64,{_plot(reading)}">')
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(parts))


def _plot(reading: Reading) -> str:
    # Imported here, as the demo and the tests run without the plotting library.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name, points in reading.series.items():
        axes.plot([x for x, _ in points], [y for _, y in points], label=name)
    axes.set_title(reading.scenario)
    axes.legend()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()
