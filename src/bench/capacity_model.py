"""The capacity model: resource use of each role by mesh size, computed from fitted measurements.

Every figure names its formula, the measurement it is based on and the code that implements it.
Figures without a measurement are marked as not measured and are not estimated."""

import dataclasses

DAY_S = 86_400
POLL_PERIOD_S = 0.5           # table_poller.cpp, poll_period
POLLERS_PER_ZONE = 2          # rendezvous.cpp, push_trees::roots
MOVE_WINDOW_S = 0.2           # move_policy.h, window
LEASE_RENEW_S = 0.8           # lease.h, renew_period
LEASE_POLL_S = 0.6            # lease.h, poll_period
LEASE_CONTENDERS = 3          # move_duty.cpp, contender_count
RESOURCES_PER_SERVICE = 3     # a service, an upstream and a route
CLAIM_SPACING_S = 0.004       # claims.cpp, fleet_spacing
CLAIM_MAX_SPACING_S = 0.25  # claims.cpp, longest_spacing
CLAIM_ROWS = 256              # claims.cpp, batch_rows
COMPACTION_CHANGES = 512      # snapshot_compactor.cpp, compaction_threshold
SCAN_ROWS = 500               # table_poller.cpp, rows_per_scan
PLATFORM_READS_S = 2_000
PLATFORM_WRITES_S = 300       # the platform allows "several hundred"; this is a low reading
BUDGET_BYTES_S = 6 * 1024
BUDGET_CORE_PERCENT = 2.1
BUDGET_MEMORY_BYTES = 256 * 1024 * 1024


@dataclasses.dataclass
class Size:
    """Size and load of a modelled mesh."""
    name: str
    nodes: int
    zones: int
    services: int
    calls_s: int
    changes_day: int

    @property
    def resources(self):
        return RESOURCES_PER_SERVICE * self.services


SIZES = [
    Size("today", 12, 3, 4, 3_720, 67),
    Size("10x", 120, 9, 40, 37_200, 670),
    Size("target", 1_800, 27, 280, 550_000, 10_000),
]


@dataclasses.dataclass
class Fit:
    """A line fitted through measured points, with its residual."""
    name: str
    unit: str
    points: list
    slope: float
    intercept: float
    residual: float  # largest |measured - line| divided by the largest measured value

    def on_line(self, x):
        return self.intercept + self.slope * x

    def value_at(self, x):
        """Returns the value at size x: interpolated between measured sizes, the value of the
        smallest size below them, and the fitted line above them."""
        points = sorted(self.points)
        if x > points[-1][0]:
            return self.on_line(x)
        if x <= points[0][0]:
            return points[0][1]
        for (x0, y0), (x1, y1) in zip(points, points[1:]):
            if x <= x1:
                return y0 + (y1 - y0) * (x - x0) / (x1 - x0)
        return points[-1][1]


def fit_line(name, unit, points):
    """Fits a line by least squares.

    Raises ValueError for fewer than three points."""
    if len(points) < 3:
        raise ValueError(f"{name}: a fit needs at least three points, got {len(points)}")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    square_sum_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / square_sum_x
    intercept = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1
    residual = max(abs(y - intercept - slope * x) for x, y in points) / largest
    return Fit(name, unit, points, slope, intercept, residual)


@dataclasses.dataclass
class Row:
    """One figure of one role, with a value for each size of SIZES."""
    role: str
    what: str
    unit: str
    values: list
    formula: str
    source: str
    mechanism: str
    breaks: str
    budget: float = None

    @property
    def misses(self):
        return self.budget is not None and self.values[-1] > self.budget


def per_size(figure):
    return [figure(size) for size in SIZES]


def proxy_rows(fits):
    memory = fits["snapshot_memory"]
    roster = fits["learn_roster_bytes"]
    tick = fits["move_tick"]
    idle = fits["idle_mean"]
    change = fits["change_bytes"]
    return [
        Row("proxy", "memory of configuration, two versions", "B",
            per_size(lambda s: memory.value_at(s.resources) +
                     fits["second_version_memory"].value_at(s.resources)),
            "snapshot(resources) + next version(resources)", "core_bench snapshot_memory, "
            "second_version_memory", "snapshot.cpp, snapshot::with",
            "moves stay as resources until an operator deletes them", BUDGET_MEMORY_BYTES),
        Row("proxy", "memory of the roster", "B", per_size(lambda s: roster.value_at(s.nodes)),
            "learn_roster(nodes)", "core_bench learn_roster", "roster.cpp, roster::merge",
            "every node holds every record: grows with nodes", BUDGET_MEMORY_BYTES),
        Row("proxy", "control bytes, idle, sent and received", "B/s",
            per_size(lambda s: idle.value_at(s.zones)), "idle(zones)",
            "convergence_bench, idle", "failure_detector.cpp, probe_next; "
            "acknowledgements.cpp, relay_reports", "zone reports grow with zones", BUDGET_BYTES_S),
        Row("proxy", "control bytes of changes, ordinary day", "B/s",
            per_size(lambda s: change.value_at(s.zones) * s.changes_day / DAY_S),
            "bytes of a change(zones) x changes/s", "convergence_bench, changes less idle",
            "distribution.cpp, push", "a burst of changes: see the peak below", BUDGET_BYTES_S),
        Row("proxy", "processor time of applying changes, ordinary day", "% of a core",
            per_size(lambda s: 100 * (fits["closure_check"].value_at(s.resources) +
                                      fits["build_next_version"].value_at(s.resources)) * 1e-9 *
                     s.changes_day / DAY_S),
            "(closure_check + build_next_version)(resources) x changes/s", "core_bench",
            "config_store.cpp, apply_changes", "each change checks the whole closure",
            BUDGET_CORE_PERCENT),
        Row("proxy", "processor time of reading one full snapshot, after a restart", "ms",
            per_size(lambda s: fits["read_full_message"].value_at(s.resources) * 1e-6),
            "read_full_message(resources)", "core_bench read_full_message",
            "wire_codec.cpp, from_wire; schema.cpp, check_schema",
            "runs in one piece on the I/O thread: calls that arrive meanwhile wait"),
        Row("proxy", "processor time of one move in progress", "% of a core",
            per_size(lambda s: 100 * tick.value_at(s.nodes) * 1e-9 / MOVE_WINDOW_S),
            "move_tick(nodes) / 200 ms", "core_bench move_tick", "move_duty.cpp, candidates",
            "every node ranks all members in each window; a few moves at once break the budget",
            BUDGET_CORE_PERCENT),
    ]


def relay_rows(fits):
    return [
        Row("relay and poller", "control bytes, idle, busiest node", "B/s",
            per_size(lambda s: fits["idle_max"].value_at(s.zones)), "idle_max(zones)",
            "convergence_bench, idle, max", "rendezvous.cpp, push_trees; member_news.cpp, flush",
            "zone reports of all zones pass through each relay", BUDGET_BYTES_S),
        Row("relay and poller", "table reads, all zones", "1/s",
            per_size(lambda s: s.zones * POLLERS_PER_ZONE / POLL_PERIOD_S), "zones x 2 / 0.5 s",
            "convergence_bench, table_reads_per_s", "table_poller.cpp, on_timer",
            "zones above 50 at this period", 200),
        Row("relay and poller", "bytes of one full snapshot", "B",
            per_size(lambda s: fits["full_message"].value_at(s.resources)),
            "full_message(resources)",
            "core_bench full_message", "distribution.cpp, answer_pull",
            "4 a second and node (full_admission_): a rejoin waits its turn"),
    ]


def control_rows(fits):
    cells = 2
    return [
        Row("control duty holder", "evidence received for one move, all nodes report", "B/s",
            per_size(lambda s: s.nodes * fits["evidence_message"].value_at(cells) / MOVE_WINDOW_S),
            "nodes x evidence_message(2 cells) / 200 ms", "core_bench evidence_message",
            "move_duty.cpp, report", "reports go to the holder direct, without aggregation",
            BUDGET_BYTES_S),
        Row("control duty holder", "lease writes for one move", "1/s",
            per_size(lambda s: 1 / LEASE_RENEW_S), "1 / 0.8 s", "constants; see lease_test",
            "lease.cpp, poll", "some 200 moves at once fill the writes"),
        Row("control duty holder", "lease reads for one move", "1/s",
            per_size(lambda s: (LEASE_CONTENDERS - 1) / LEASE_POLL_S), "2 contenders / 0.6 s",
            "constants; see lease_test", "lease.cpp, poll", "some 600 moves at once"),
    ]


def claim_spacing_s(nodes):
    """Seconds between two claim transactions of one node."""
    return min(CLAIM_SPACING_S * nodes, CLAIM_MAX_SPACING_S)


def claims_rows():
    return [
        Row("claims owner", "transactions of all nodes, when each has keyed calls", "1/s",
            per_size(lambda s: s.nodes / claim_spacing_s(s.nodes)),
            "nodes / min(4 ms x nodes, 250 ms)", "constants, not measured", "claims.cpp, flush",
            "above 62 nodes the spacing no longer grows with the nodes", PLATFORM_WRITES_S),
        Row("claims owner", "longest wait of a claim for its transaction", "ms",
            per_size(lambda s: 1_000 * claim_spacing_s(s.nodes)), "min(4 ms x nodes, 250 ms)",
            "constants, not measured", "claims.cpp, flush", "added to each keyed call"),
    ]


def object_rows():
    return [
        Row("object store", "snapshots written", "1/day",
            per_size(lambda s: s.changes_day / COMPACTION_CHANGES), "changes / 512",
            "constants, not measured", "snapshot_compactor.cpp", "one object for every 512 changes"),
    ]


def operator_rows(values):
    rows, row_bytes = values["change_rows"], values["change_row_bytes"]
    return [
        Row("operator API", "transactions, ordinary day", "1/s",
            per_size(lambda s: s.changes_day / DAY_S), "changes/s", "core_bench change_transaction",
            "change_writer.cpp, attempt_front",
            "all changes are one sequence: one writer wins each version"),
        Row("operator API", "table growth", "B/day",
            per_size(lambda s: s.changes_day * row_bytes), f"changes x {row_bytes:.0f} B in "
            f"{rows:.0f} rows", "core_bench change_transaction", "change_writer.cpp, "
            "transaction_of", "change rows are compacted, audit and operation rows stay"),
    ]


def storm_rows(fits):
    return [
        Row("zone summary", "bytes of zone reports and acknowledgements, idle, mean of all nodes",
            "B/s", per_size(lambda s: fits["zone_reports"].value_at(s.zones)),
            "zone_reports(zones)",
            "convergence_bench, sent_bytes_by_kind", "acknowledgements.cpp, relay_reports",
            "grows with zones on every node", BUDGET_BYTES_S),
    ]


def all_rows(fits, values):
    return (proxy_rows(fits) + relay_rows(fits) + storm_rows(fits) + control_rows(fits) +
            claims_rows() + operator_rows(values) + object_rows())


def claims_table():
    """Maximum keyed calls per second by number of rows in one transaction."""
    target = SIZES[-1]
    out = []
    for rows in (1, 16, CLAIM_ROWS):
        # Each key needs two rows: a claim before the call runs and its outcome afterwards.
        calls = PLATFORM_WRITES_S * rows / 2
        out.append({"rows_per_transaction": rows, "calls_s": calls,
                    "share": calls / target.calls_s})
    return out


def platform_load(moves_at_once):
    """Table reads and writes per second at the target size, without claims.

    Returns (situation, reads, writes) for each situation."""
    target = SIZES[-1]
    pollers = target.zones * POLLERS_PER_ZONE
    changes = target.changes_day / DAY_S
    lease_reads = moves_at_once * (LEASE_CONTENDERS - 1) / LEASE_POLL_S
    lease_writes = moves_at_once / LEASE_RENEW_S
    # Each poller reads the head once per period, and the new changes after each accepted change.
    polls = pollers / POLL_PERIOD_S + changes * pollers
    hour_changes = target.changes_day / 24
    scans = hour_changes / SCAN_ROWS
    zones_per_region = 4
    # Pollers of the returning zones read the missed changes within their first period.
    return [
        ("ordinary day", polls + lease_reads, changes + lease_writes),
        ("a zone returns after an hour",
         polls + lease_reads + POLLERS_PER_ZONE * max(1, scans) / POLL_PERIOD_S,
         changes + lease_writes),
        ("a region returns after an hour alone",
         polls + lease_reads +
         zones_per_region * POLLERS_PER_ZONE * max(1, scans) / POLL_PERIOD_S,
         changes + lease_writes),
    ]
