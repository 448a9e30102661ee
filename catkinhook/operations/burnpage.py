"""Error budget report as text, JSON and one self-contained HTML page."""

import html
import io
import json

import attrs

from catkinhook.errors import StepError
from catkinhook.operations.burn import Alert, Bucket, BurnReport, ClassBurn

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #222 }
table { border-collapse: collapse; width: 100% }
th, td { padding: .35rem .6rem; text-align: right; border-bottom: 1px solid #ddd }
th:first-child, td:first-child { text-align: left }
.page { color: #b00020; font-weight: 600 } .ticket { color: #a15c00; font-weight: 600 }
.missing { background: #fff3d6; padding: .6rem 1rem } svg { width: 100%; height: auto }
"""


def format_minutes(minutes: int) -> str:
    """Format a window length, such as ``30m`` or ``6h``."""
    return f"{minutes}m" if minutes < 60 else f"{minutes // 60}h"


def _describe_alerts(burn: ClassBurn) -> str:
    return "; ".join(
        f"{alert.severity}: over {alert.threshold:g} for {format_minutes(alert.long_minutes)}"
        f" and {format_minutes(alert.short_minutes)}"
        for alert in burn.alerts
    )


def render_text(report: BurnReport) -> str:
    """Render the report as a table for terminals."""
    windows = list(report.classes[0].rate_by_minutes) if report.classes else []
    header = f"{'service / class':32} {'objective':>9} {'attained':>9} {'budget left':>11}"
    lines = [header + "".join(f"{'burn ' + format_minutes(m):>10}" for m in windows)]
    for burn in report.classes:
        name = f"{burn.service} / {burn.caller_class}"
        line = f"{name:32} {burn.objective:9.2%} {burn.attainment:9.2%} {burn.budget_left:11.1%}"
        lines.append(line + "".join(f"{burn.rate_by_minutes[m]:10.2f}" for m in windows))
        if burn.alerts:
            lines.append(f"  alert {_describe_alerts(burn)}")
    if not report.classes:
        lines.append("no requests in the last 24 h")
    for name in report.missing:
        lines.append(f"missing: the counters of {name} could not be read")
    return "\n".join(lines) + "\n"


def render_json(report: BurnReport) -> str:
    """Render the report as JSON."""
    return json.dumps(attrs.asdict(report), indent=2) + "\n"


def decode_report(value: dict) -> BurnReport:
    """Decode a report from its parsed JSON.

    :raises StepError: if the value is not an error budget report.
    """
    try:
        return BurnReport([_decode_class(entry) for entry in value["classes"]], value["missing"])
    except (KeyError, TypeError, ValueError) as error:
        raise StepError("report", "", f"burn report can't be decoded: {error!r}") from error


def _decode_class(value: dict) -> ClassBurn:
    rates = {int(minutes): rate for minutes, rate in value["rate_by_minutes"].items()}
    alerts = [Alert(**alert) for alert in value["alerts"]]
    buckets = [Bucket(**bucket) for bucket in value["buckets"]]
    return ClassBurn(**(value | {"rate_by_minutes": rates, "alerts": alerts, "buckets": buckets}))


def _draw_chart(burn: ClassBurn) -> str:
    try:
        import matplotlib
    except ImportError as error:
        reason = "the HTML report needs the extra 'report': pip install 'catkinhook[report]'"
        raise StepError("report", "", reason) from error
    matplotlib.use("svg")
    from matplotlib import pyplot

    recent = [bucket for bucket in burn.buckets if bucket.minutes_ago < 60]
    ages = [-bucket.minutes_ago for bucket in recent]
    shares = [100 * bucket.met / bucket.total for bucket in recent]
    figure, (attainment_axes, rate_axes) = pyplot.subplots(1, 2, figsize=(11, 2.8))
    attainment_axes.plot(ages, shares, color="#1f5fa8", marker=".", linewidth=1.2)
    attainment_axes.axhline(100 * burn.objective, color="#b00020", linestyle="--", linewidth=1)
    attainment_axes.set(
        xlabel="minutes, 0 is now", ylabel="target met, %", xlim=(-60, 1), ylim=(-3, 103)
    )
    attainment_axes.set_title("Last hour; dashed: objective", fontsize=10)
    windows = [format_minutes(minutes) for minutes in burn.rate_by_minutes]
    rate_axes.bar(windows, list(burn.rate_by_minutes.values()), color="#1f5fa8")
    rate_axes.axhline(1, color="#b00020", linestyle="--", linewidth=1)
    rate_axes.set(xlabel="window", ylabel="burn rate")
    rate_axes.set_title("Burn rate; dashed: budget used up exactly", fontsize=10)
    figure.tight_layout()
    output = io.StringIO()
    figure.savefig(output, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    text = output.getvalue()
    return text[text.index("<svg") :]


def _render_row(burn: ClassBurn) -> str:
    cells = [
        html.escape(f"{burn.service} / {burn.caller_class}"),
        f"{burn.total:,}",
        f"{burn.objective:.2%}",
        f"{burn.attainment:.2%}",
        f"{burn.budget_left:.1%}",
    ]
    cells += [f"{rate:.2f}" for rate in burn.rate_by_minutes.values()]
    severity = burn.alerts[0].severity if burn.alerts else ""
    row = "".join(f"<td>{cell}</td>" for cell in cells)
    return f'<tr class="{severity}">{row}</tr>'


def render_html(report: BurnReport) -> str:
    """Render the report as one HTML page without external resources.

    :raises StepError: if matplotlib is not installed.
    """
    windows = list(report.classes[0].rate_by_minutes) if report.classes else []
    headers = ["service / class", "requests", "objective", "attained", "budget left"]
    headers += [f"burn {format_minutes(minutes)}" for minutes in windows]
    parts = [
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>Service-level burn</title>",
        f"<style>{_STYLE}</style><h1>Service-level burn, last 24 h</h1>",
    ]
    for name in report.missing:
        text = html.escape(f"The counters of {name} could not be read; its requests are missing.")
        parts.append(f"<p class='missing'>{text}</p>")
    parts.append("<table><tr>" + "".join(f"<th>{header}</th>" for header in headers) + "</tr>")
    parts += [_render_row(burn) for burn in report.classes]
    parts.append("</table>")
    for burn in report.classes:
        parts.append(f"<h2>{html.escape(burn.service)} / {html.escape(burn.caller_class)}</h2>")
        if burn.alerts:
            text, severity = _describe_alerts(burn), burn.alerts[0].severity
            parts.append(f"<p class='{severity}'>{html.escape(text)}</p>")
        parts.append(_draw_chart(burn))
    if not report.classes:
        parts.append("<p>No requests in the last 24 h.</p>")
    return "\n".join(parts) + "</html>\n"
