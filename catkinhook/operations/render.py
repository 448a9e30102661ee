"""Text output of the operators' commands."""

from typing import Any

from catkinhook.operations.adminclient import DocumentInfo


def render_table(headers: list[str], rows: list[list[Any]]) -> str:
    """Render rows as left-aligned columns below a header line."""
    cells = [headers, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def render_history(infos: list[DocumentInfo]) -> str:
    """Render a table of accepted changes or documents."""
    rows = [
        [i.number, i.service, i.version, i.author, "withdrawn" if i.withdrawn else "in force"]
        for i in infos
    ]
    return render_table(["change", "service", "version", "author", "state"], rows)


def _render_instances(status: dict[str, Any]) -> str:
    rows = []
    for instance in status["instances"]:
        member = instance["member"]
        gateways = instance["gateways"]
        ready = sum(gateway["ready"] for gateway in gateways)
        running = sum(gateway["in_progress"] for gateway in gateways)
        rows.append(
            [
                member["node"],
                member["zone"],
                member["configuration"],
                "yes" if instance["current"] else "no",
                f"{ready}/{len(gateways)}",
                running,
            ]
        )
    headers = ["instance", "zone", "change", "current", "gateways ready", "requests"]
    return render_table(headers, rows)


def render_status(status: dict[str, Any]) -> str:
    """Render the status of all instances."""
    parts = [_render_instances(status)]
    parts += [f"{node}: no answer" for node in status["missing"]]
    models = [
        [m["model"], f"{m['copies']}/{m['wanted']}", ", ".join(m["zones"]) or "NOT REACHABLE"]
        for m in status["models"]
    ]
    parts.append("\n" + render_table(["model", "copies", "zones"], models))
    orders = [
        [o["endpoint"], o["kind"], o["item"], f"{o['age']:.0f} s", o["node"]]
        for o in status["orders"]
    ]
    if orders:
        parts.append("\n" + render_table(["open order at", "kind", "item", "age", "by"], orders))
    in_doubt = status.get("claims_in_doubt")
    if in_doubt is None:
        parts.append("\nclaims in doubt: not known, since the store can't be read")
    else:
        parts.append(f"\nclaims in doubt: {in_doubt}")
    return "\n".join(parts)


def render_claims(rows: list[dict[str, Any]]) -> str:
    """Render the claims whose outcome is unknown."""
    if not rows:
        return "no claim is in doubt"
    headers = list(rows[0])
    return render_table(headers, [[row[header] for header in headers] for row in rows])
