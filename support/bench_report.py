"""Writes an HTML page of a run, its baselines and an earlier run as bar charts.

Usage: bench_report.py LAST.jsonl PREVIOUS.jsonl PAGE.html

The earlier run may be missing. Each figure of a case has its own bar chart, in
which a line marks the bound or floor.
"""

import html
import json
import pathlib
import sys

OWN_VARIANT = "hawthornbank"
BAR_HEIGHT = 16
ROW_HEIGHT = 20
LABEL_WIDTH = 220
BAR_WIDTH = 420
VALUE_WIDTH = 140
COLOURS = {"own": "#2d6a4f", "earlier": "#95b8a8", "baseline": "#9a8c98"}
FAILED_COLOUR = "#b5382a"
LIMIT_COLOUR = "#1d3557"
STYLE = """
body { font: 15px sans-serif; margin: 2em auto; max-width: 60em; }
h3 { margin: 1.2em 0 0.2em; font-size: 1em; }
svg text { font: 12px sans-serif; }
"""


def read_figure_rows(path):
    file = pathlib.Path(path)
    if not file.exists():
        return []
    return [json.loads(line) for line in file.read_text().splitlines() if line]


def make_plot_key(row):
    return row["bench"], row["case"], row["figure"]


def group_rows_by_plot(rows):
    plots = {}
    for row in rows:
        plots.setdefault(make_plot_key(row), []).append(row)
    return plots


def is_within_limits(row):
    return row["value"] <= row.get("bound", row["value"]) and row[
        "value"
    ] >= row.get("floor", row["value"])


def make_bar_label(row, name, seed_count):
    return f"{name}, seed {row['seed']}" if seed_count > 1 else name


def make_bars(rows, earlier_rows):
    """Returns the bars as (label, value, colour), in drawing order."""
    bars = []
    seeds = len({row["seed"] for row in rows})
    for row in rows:
        own = row["variant"] == OWN_VARIANT
        colour = COLOURS["own" if own else "baseline"]
        if not is_within_limits(row):
            colour = FAILED_COLOUR
        label = make_bar_label(row, row["variant"], seeds)
        bars.append((label, row["value"], colour))
    for row in earlier_rows:
        if row["variant"] == OWN_VARIANT:
            label = make_bar_label(row, "earlier run", seeds)
            bars.append((label, row["value"], COLOURS["earlier"]))
    return bars


def collect_limits(rows):
    limits = []
    for row in rows:
        for name in ("bound", "floor"):
            if name in row:
                limits.append((name, row[name]))
    return sorted(set(limits))


def draw_bar(position, bar, scale):
    label, value, colour = bar
    top = position * ROW_HEIGHT
    middle = top + BAR_HEIGHT - 4
    length = max(1, value * scale)
    return (
        f'<text x="0" y="{middle}">{html.escape(label)}</text>'
        f'<rect x="{LABEL_WIDTH}" y="{top}" width="{length:.1f}"'
        f' height="{BAR_HEIGHT}" fill="{colour}"/>'
        f'<text x="{LABEL_WIDTH + length + 6:.1f}" y="{middle}">{value:g}</text>'
    )


def draw_limit(limit, bar_count, scale):
    name, value = limit
    x = LABEL_WIDTH + value * scale
    height = bar_count * ROW_HEIGHT
    return (
        f'<line x1="{x:.1f}" y1="0" x2="{x:.1f}" y2="{height}"'
        f' stroke="{LIMIT_COLOUR}" stroke-dasharray="4 2"/>'
        f'<text x="{x + 3:.1f}" y="{height + 12}">{name} {value:g}</text>'
    )


def draw_plot(rows, earlier_rows):
    bars = make_bars(rows, earlier_rows)
    limits = collect_limits(rows)
    largest = max(
        [value for _, value, _ in bars] + [value for _, value in limits]
    )
    scale = BAR_WIDTH / largest if largest > 0 else 0
    parts = [draw_bar(n, bar, scale) for n, bar in enumerate(bars)]
    parts += [draw_limit(limit, len(bars), scale) for limit in limits]
    width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH
    height = len(bars) * ROW_HEIGHT + 16
    return f'<svg width="{width}" height="{height}">{"".join(parts)}</svg>'


def render_page(rows, earlier):
    earlier_plots = group_rows_by_plot(earlier)
    failed = [row for row in rows if not is_within_limits(row)]
    parts = [
        "<!doctype html><meta charset='utf-8'>",
        f"<title>Benchmarks</title><style>{STYLE}</style><h1>Benchmarks</h1>",
        f"<p>{len(rows)} figures, {len(failed)} outside their limits.</p>",
    ]
    heading = None
    for key, plot_rows in group_rows_by_plot(rows).items():
        bench, case, figure = key
        if heading != (bench, case):
            heading = (bench, case)
            parts.append(f"<h2>{html.escape(bench)}: {html.escape(case)}</h2>")
        unit = html.escape(plot_rows[0]["unit"])
        parts.append(f"<h3>{html.escape(figure)} ({unit})</h3>")
        parts.append(draw_plot(plot_rows, earlier_plots.get(key, [])))
    return "\n".join(parts) + "\n"


def main():
    last, previous, page = sys.argv[1:]
    text = render_page(read_figure_rows(last), read_figure_rows(previous))
    pathlib.Path(page).write_text(text)


if __name__ == "__main__":
    main()
