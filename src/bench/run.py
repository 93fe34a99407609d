"""Runs the benchmark programs that are built and checks their JSON results against bounds.json.

Exit codes: 0 all results within bounds, 1 a bound is exceeded or a benchmark failed, 2 invalid
usage."""

import argparse
import json
import pathlib
import subprocess
import sys
import time

BENCH_TIMEOUT_S = 180


def unescape_token(token):
    """Decodes one token of a JSON pointer (RFC 6901)."""
    return token.replace("~1", "/").replace("~0", "~")


def select_values(document, tokens):
    """Yields (path, value) for each value that the pointer tokens select; * selects all."""
    if not tokens:
        yield "", document
        return
    head, rest = tokens[0], tokens[1:]
    if isinstance(document, list):
        keys = range(len(document)) if head == "*" else [int(head)]
    elif head == "*":
        keys = list(document)
    else:
        keys = [head]
    for key in keys:
        for path, value in select_values(document[key], rest):
            yield f"/{key}{path}", value


def load_result(path):
    """Reads a JSON result. Turns the list of Google Benchmark into a map by name, so that
    pointers can select a benchmark."""
    result = json.loads(path.read_text())
    if isinstance(result, dict) and isinstance(result.get("benchmarks"), list):
        result["benchmarks"] = {item["name"]: item for item in result["benchmarks"]}
    return result


def check_bounds(result, bounds):
    """Prints each bound with its worst value. Returns the number of bounds that are exceeded or
    select no value."""
    broken = 0
    for bound in bounds:
        tokens = [unescape_token(token) for token in bound["pointer"].split("/")[1:]]
        try:
            values = list(select_values(result, tokens))
        except (KeyError, IndexError, ValueError) as error:
            print(f"  MISSING {bound['pointer']}: {error!r}")
            broken += 1
            continue
        if not values:
            print(f"  MISSING {bound['pointer']}: selects no value")
            broken += 1
            continue
        path, worst = max(values, key=lambda item: item[1])
        is_within = worst <= bound["max"]
        broken += not is_within
        print(f"  {'ok     ' if is_within else 'BROKEN '} {path} = {worst:g} {bound['unit']}, "
              f"bound {bound['max']:g}: {bound['why']}")
    return broken


def run_bench(bench, build, out):
    """Runs one benchmark program and checks its bounds.

    Returns the number of broken bounds, 1 for a failed run, or None when the program is not
    built."""
    program = build / bench["command"][0]
    if not program.exists():
        print(f"{bench['name']}: not built, not run")
        return None
    result = out / f"{bench['name']}.json"
    result.unlink(missing_ok=True)
    arguments = [item.replace("{json}", str(result)) for item in bench["command"][1:]]
    print(f"{bench['name']}: running", flush=True)
    start_s = time.monotonic()
    try:
        process = subprocess.run([program, *arguments], stdout=subprocess.DEVNULL,
                                 stderr=subprocess.PIPE, text=True, timeout=BENCH_TIMEOUT_S,
                                 check=False)
    except subprocess.TimeoutExpired:
        print(f"  FAILED: timed out after {BENCH_TIMEOUT_S} s")
        return 1
    print(f"  took {time.monotonic() - start_s:.1f} s")
    if process.returncode != 0 or not result.exists():
        print(f"  FAILED: exit code {process.returncode}\n{process.stderr[-2000:]}")
        return 1
    return check_bounds(load_result(result), bench["bounds"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True, help="build folder")
    parser.add_argument("--only", action="append", help="run only this benchmark; may be repeated")
    options = parser.parse_args()
    out = options.build / "bench"
    out.mkdir(parents=True, exist_ok=True)
    spec = json.loads((pathlib.Path(__file__).parent / "bounds.json").read_text())
    known = [bench["name"] for bench in spec["benches"]]
    unknown = set(options.only or []) - set(known)
    if unknown:
        parser.error(f"no bench named {', '.join(sorted(unknown))}")
    broken = 0
    skipped = 0
    for bench in spec["benches"]:
        if options.only and bench["name"] not in options.only:
            continue
        broken_bounds = run_bench(bench, options.build, out)
        skipped += broken_bounds is None
        broken += broken_bounds or 0
    print(f"{broken} bounds broken, {skipped} benches not built; results in {out}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
