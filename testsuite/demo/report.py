"""Computes and renders the figures of a demo run.

Inputs are node logs, the audit trail, node metrics and the report of camphorload.
"""
import datetime
import statistics


def parse_timestamp_s(text):
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def applied_times(lines):
    """Returns (version, Unix time in s) of each config.applied line of one node, in log order."""
    return [(line["config_version"], parse_timestamp_s(line["time"])) for line in lines
            if line.get("event") == "config.applied"]


def convergence_ms(audit, logs):
    """Returns the convergence times in ms and the number of changes that some node never applied.

    The convergence time of an accepted change runs from acceptance to application on the last
    node. `logs` maps node names to log lines.
    """
    delays_ms, not_applied = [], 0
    applied = {node: applied_times(lines) for node, lines in logs.items()}
    for record in audit:
        accepted = parse_timestamp_s(record["at"])
        applied_at = [next((t for v, t in times if v >= record["version"]), None)
                      for times in applied.values()]
        if any(t is None for t in applied_at):
            not_applied += 1
        else:
            delays_ms.append(max(0.0, (max(applied_at) - accepted) * 1000))
    return delays_ms, not_applied


def quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else None


def summary_ms(values):
    return {"count": len(values), "p50": quantile(values, 0.5), "p99": quantile(values, 0.99),
            "max": max(values, default=None)}


def control_bytes_per_s(before, after, duration_s):
    """Returns the mean and maximum over nodes of control traffic in bytes per second.

    Counts frames sent and received and platform traffic except that of claims. `before` and
    `after` map node names to metrics.
    """
    keys = ("camphor_peer_bytes_sent_total", "camphor_peer_bytes_received_total",
            'camphor_platform_bytes_total{use="control"}')
    rates = [sum(after[n].get(k, 0) - before[n].get(k, 0) for k in keys) / duration_s
             for n in after]
    return {"mean": statistics.fmean(rates), "max": max(rates)}


def backward_steps(logs):
    """Counts config.applied lines whose version is not newer than the previous one of the node."""
    steps = 0
    for lines in logs.values():
        versions = [v for v, _ in applied_times(lines)]
        steps += sum(b <= a for a, b in zip(versions, versions[1:]))
    return steps


def render(report):
    convergence, control_bytes = report["convergence_ms"], report["control_bytes_per_node_per_s"]
    lines = [
        f"mesh {report['mesh']}: {report['nodes']} nodes, {report['seconds']:.0f} s, "
        f"platform outage {report['outage_s']} s in the middle",
        f"convergence   {convergence['count']} changes: p50 {convergence['p50']:.0f} ms, "
        f"p99 {convergence['p99']:.0f} ms, max {convergence['max']:.0f} ms; "
        f"never in force on some node: {report['changes_not_in_force']}",
        f"control bytes mean {control_bytes['mean']:.0f} B/s per node, "
        f"max {control_bytes['max']:.0f} B/s",
        f"versions      backward steps: {report['backward_steps']}",
        "calls         " + ", ".join(f"{k} {v}" for k, v in sorted(report["calls"].items())),
        f"latency       p50 {report['latency_ms']['p50']} ms, p99 {report['latency_ms']['p99']} ms",
        f"duplicates    {report['duplicates']} of non-idempotent calls",
        "moves         " + "; ".join(f"{m['name']}: {m['phase']} after {m['seconds']:.1f} s"
                                     f" ({m['reason'] or 'no reason given'})"
                                     for m in report["moves"]),
        f"history check {report['history_check']}",
        "stopped       " + ("all processes, exit 0" if not report["bad_exits"]
                            else "not cleanly: " + ", ".join(report["bad_exits"])),
    ]
    lines += [f"PROBLEM: {text}" for text in report["problems"]]
    return "\n".join(lines)
