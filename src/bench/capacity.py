"""Runs the benchmarks, fits lines through the results and renders the tables of docs/CAPACITY.md.

Writes docs/capacity/capacity.json and slopes.svg, and replaces the text between the markers
`<!-- capacity:NAME -->` and `<!-- /capacity:NAME -->` of docs/CAPACITY.md."""

import argparse
import json
import pathlib
import re
import subprocess
import sys

import capacity_model as model
import capacity_plot

ROOT = pathlib.Path(__file__).resolve().parents[2]
MESH_NODES = "48,192,300,450"
CORE_COMMAND = ["bin/core_bench", "--benchmark_min_time=0.05", "--benchmark_out={json}",
                "--benchmark_out_format=json"]
MESH_COMMAND = ["bin/convergence_bench", "--nodes", MESH_NODES, "--phases", "storm",
                "--json", "{json}"]
TIMEOUT_S = 170


def run_bench(build, command, out, reuse):
    """Runs one benchmark program and returns its JSON result; with reuse, returns the result of the
    last run instead."""
    if reuse:
        return json.loads(out.read_text())
    arguments = [item.replace("{json}", str(out)) for item in command]
    print("running", " ".join(command), flush=True)
    subprocess.run([build / arguments[0], *arguments[1:]], check=True, timeout=TIMEOUT_S,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    return json.loads(out.read_text())


def benchmark_points(result, name, value):
    """Returns (argument, value) for each argument of a Google Benchmark case."""
    out = []
    for item in result["benchmarks"]:
        match = re.fullmatch(rf"{name}/(\d+)", item["name"])
        if match:
            out.append((int(match.group(1)), item[value]))
    return out


def benchmark_value(result, name, value):
    return next(item[value] for item in result["benchmarks"] if item["name"] == name)


def bytes_per_change(run):
    """Control bytes per change and node above the idle traffic."""
    spacing_s, tail_s = 1, 3
    span_s = run["changes"]["changes"] * spacing_s + tail_s
    bytes_above_idle_s = (run["changes"]["bytes_per_node_s"]["mean"] -
                          run["idle"]["bytes_per_node_s"]["mean"])
    return bytes_above_idle_s * span_s / run["changes"]["changes"]


# Bytes of zone reports and acknowledgements per second and node, sent and received.
def zone_report_bytes(run):
    kinds = run["idle"]["sent_bytes_by_kind"]
    return 2 * (kinds.get("zone_reports", 0) + kinds.get("applied_report", 0))


def make_fits(core, mesh):
    def fit_core(name, value, unit):
        return model.fit_line(name, unit, benchmark_points(core, name, value))

    def fit_mesh(name, unit, by, value):
        return model.fit_line(name, unit, [(run[by], value(run)) for run in mesh])

    fits = {name: fit_core(name, "bytes", "B") for name in
            ("snapshot_memory", "second_version_memory", "full_message", "evidence_message")}
    fits["learn_roster_bytes"] = fit_core("learn_roster", "bytes", "B")
    for name in ("closure_check", "build_next_version", "read_full_message", "move_tick",
                 "learn_roster"):
        fits[name] = fit_core(name, "cpu_time", "ns")
    fits["idle_mean"] = fit_mesh("idle_mean", "B/s", "zones",
                                 lambda run: run["idle"]["bytes_per_node_s"]["mean"])
    fits["idle_max"] = fit_mesh("idle_max", "B/s", "zones",
                                lambda run: run["idle"]["bytes_per_node_s"]["max"])
    fits["change_bytes"] = fit_mesh("change_bytes", "B", "zones", bytes_per_change)
    fits["zone_reports"] = fit_mesh("zone_reports", "B/s", "zones", zone_report_bytes)
    return fits


def format_number(value):
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def render_roles(rows):
    out = []
    for row in rows:
        target = format_number(row.values[-1]) + (" **misses**" if row.misses else "")
        out.append([row.role, row.what, row.unit, format_number(row.values[0]),
                    format_number(row.values[1]),
                    target, format_number(row.budget) if row.budget else "", row.formula,
                    row.source, row.mechanism, row.breaks])
    return markdown_table(["role", "figure", "unit", "today", "10x", "target", "budget", "formula",
                           "measured by", "code", "breaks beyond"], out)


def render_slopes(fits):
    def sizes(fit):
        return ", ".join(format_number(x) for x, _ in fit.points)

    return markdown_table(["measurement", "unit", "sizes", "measured", "slope", "intercept",
                           "residual"],
                          [[name, fit.unit, sizes(fit),
                            ", ".join(format_number(y) for _, y in fit.points),
                            format_number(fit.slope), format_number(fit.intercept),
                            f"{100 * fit.residual:.1f}%"]
                           for name, fit in fits.items()])


def render_storms(mesh):
    return markdown_table(["nodes", "zones", "resources", "configuration everywhere, s",
                           "and roster, s", "full fetches, peak 1/s", "busiest node, B/s"],
                          [[format_number(run["nodes"]), format_number(run["zones"]),
                            format_number(run["resources"]),
                            format_number(run["storm"]["config_everywhere_s"]),
                            format_number(run["storm"]["config_and_roster_everywhere_s"]),
                            format_number(run["storm"]["peak_full_fetches_per_s"]),
                            format_number(run["storm"]["bytes_per_node_s"]["max"])]
                           for run in mesh])


def render_claims():
    return markdown_table(["rows in a transaction", "keyed calls/s", "share of 550,000/s"],
                          [[format_number(row["rows_per_transaction"]),
                            format_number(row["calls_s"]),
                            f"{100 * row['share']:.2f}%"] for row in model.claims_table()])


def render_platform(moves):
    return markdown_table(["at the target, claims left out", "reads/s", "of 2,000", "writes/s",
                           "of 300"],
                          [[name, format_number(reads),
                            f"{100 * reads / model.PLATFORM_READS_S:.1f}%",
                            format_number(writes), f"{100 * writes / model.PLATFORM_WRITES_S:.1f}%"]
                           for name, reads, writes in model.platform_load(moves)])


def replace_sections(text, sections):
    for name, body in sections.items():
        pattern = rf"(<!-- capacity:{name} -->\n).*?(<!-- /capacity:{name} -->)"
        text, count = re.subn(pattern, lambda match, body=body: match[1] + body + "\n" + match[2],
                              text, flags=re.DOTALL)
        if count != 1:
            raise ValueError(f"docs/CAPACITY.md has {count} sections named {name}, expected one")
    return text


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True, help="build folder")
    parser.add_argument("--moves", type=int, default=7, help="moves in progress at the target")
    parser.add_argument("--reuse", action="store_true", help="use the results of the last run")
    options = parser.parse_args()
    out = options.build / "bench"
    out.mkdir(parents=True, exist_ok=True)
    docs = ROOT / "docs" / "capacity"
    docs.mkdir(parents=True, exist_ok=True)
    core = run_bench(options.build, CORE_COMMAND, out / "capacity_core.json", options.reuse)
    mesh = run_bench(options.build, MESH_COMMAND, out / "capacity_mesh.json", options.reuse)
    fits = make_fits(core, mesh)
    values = {"change_rows": benchmark_value(core, "change_transaction", "rows"),
              "change_row_bytes": benchmark_value(core, "change_transaction", "bytes")}
    rows = model.all_rows(fits, values)
    document = {
        "sizes": [vars(size) for size in model.SIZES],
        "fits": {name: vars(fit) for name, fit in fits.items()},
        "rows": [vars(row) | {"misses": row.misses} for row in rows],
        "claims": model.claims_table(),
        "mesh": mesh,
    }
    (docs / "capacity.json").write_text(json.dumps(document, indent=1) + "\n")
    (docs / "slopes.svg").write_text(capacity_plot.draw(fits.values()))
    page = ROOT / "docs" / "CAPACITY.md"
    page.write_text(replace_sections(page.read_text(), {
        "roles": render_roles(rows), "slopes": render_slopes(fits), "storms": render_storms(mesh),
        "claims": render_claims(), "platform": render_platform(options.moves)}))
    missed = [row for row in rows if row.misses]
    for row in missed:
        print(f"misses its budget: {row.role}: {row.what}: "
              f"{format_number(row.values[-1])} {row.unit}")
    print(f"{len(rows)} figures, {len(missed)} miss their budget; docs/CAPACITY.md written")
    return 0


if __name__ == "__main__":
    sys.exit(main())
