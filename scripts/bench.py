#!/usr/bin/env python3
"""Runs the project's measurements; see scripts/bench."""

import argparse
import json
import os
import pathlib
import platform
import subprocess
import sys
import tempfile

from bench_system import measure_load, measure_size, measure_upstreams


def fit(points):
    """Least squares line through (x, y); returns slope, intercept, residual."""
    n = len(points)
    if n < 2:
        return None
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return None
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    worst = max(abs(y - (base + slope * x)) for x, y in points)
    return {"slope": slope, "intercept": base, "worst_residual": worst}


def say(text):
    print(f"bench: {text}", file=sys.stderr, flush=True)


def run_steps(build_dir):
    """The step benchmarks, by name: nanoseconds or other figures."""
    program = pathlib.Path(build_dir) / "peridotspool-bench"
    if not program.exists():
        return {}
    with tempfile.NamedTemporaryFile(suffix=".json") as out:
        subprocess.run([program, f"--benchmark_out={out.name}",
                        "--benchmark_out_format=json",
                        "--benchmark_min_time=0.1"],
                       check=True, stdout=subprocess.DEVNULL, timeout=240)
        rows = json.load(open(out.name))["benchmarks"]
    kept = {}
    for row in rows:
        figures = {k: v for k, v in row.items() if isinstance(v, float)}
        kept[row["name"]] = figures
    return kept


def fits_of(sizes, load):
    fits = {}
    for role in ["entry_idle", "leader_idle", "follower_idle"]:
        for field in ["cpu_percent_mean", "memory_mb_max", "kb_per_s_mean"]:
            fits[f"{role}.{field} per entry"] = fit(
                [(size["entries"], size[role][field]) for size in sizes])
    fits["in_force_ms_max per entry"] = fit(
        [(size["entries"], size["edits"]["in_force_ms_max"]) for size in sizes])
    rows = load.get("rows", [])
    fits["entry_cpu_ms_per_request per token"] = fit(
        [(row["tokens"], row["entry_cpu_ms_per_request"]) for row in rows])
    return {name: value for name, value in fits.items() if value}


def flatten(value, prefix=""):
    if isinstance(value, dict):
        for key, one in value.items():
            yield from flatten(one, f"{prefix}.{key}" if prefix else key)
    elif isinstance(value, list):
        for index, one in enumerate(value):
            yield from flatten(one, f"{prefix}[{index}]")
    elif isinstance(value, (int, float)) and not isinstance(value, bool):
        yield prefix, value


def print_table(results, old):
    before = dict(flatten(old)) if old else {}
    for name, value in flatten(results):
        ratio = ""
        if before.get(name):
            ratio = f"  x{value / before[name]:.2f}"
        print(f"{name:<78} {value:>14.4g}{ratio}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", default="build")
    parser.add_argument("--out")
    parser.add_argument("--compare")
    parser.add_argument("--sizes", default="4,11,50,100")
    parser.add_argument("--skip-steps", action="store_true")
    parser.add_argument("--skip-load", action="store_true")
    arguments = parser.parse_args()
    results = {"machine": {"cores": os.cpu_count(), "kind": platform.machine(),
                           "load_before": os.getloadavg()[0]}}
    if not arguments.skip_steps:
        say("steps")
        results["steps"] = run_steps(arguments.build_dir)
    sizes = []
    for number, entries in enumerate(map(int, arguments.sizes.split(","))):
        say(f"a system of {entries} entries")
        with tempfile.TemporaryDirectory(prefix="peridotspool-bench-") as folder:
            sizes.append(measure_size(arguments.build_dir, folder, entries,
                                      failovers=6 if number == 0 else 0))
    results["sizes"] = sizes
    say("announcements")
    with tempfile.TemporaryDirectory(prefix="peridotspool-bench-") as folder:
        results["upstreams"] = measure_upstreams(
            arguments.build_dir, folder, 11, [8, 24, 48])
    load = {}
    if not arguments.skip_load:
        say("load")
        with tempfile.TemporaryDirectory(prefix="peridotspool-bench-") as folder:
            load = measure_load(arguments.build_dir, folder, [50, 100], [8, 32, 128])
    results["load"] = load
    results["fits"] = fits_of(sizes, load)
    for field in ["cpu_percent_mean", "kb_per_s_mean"]:
        results["fits"][f"entry.{field} per upstream, renewed each second"] = fit(
            [(row["upstreams"], row[field]) for row in results["upstreams"]])
    if arguments.out:
        pathlib.Path(arguments.out).write_text(json.dumps(results, indent=1) + "\n")
    old = json.load(open(arguments.compare)) if arguments.compare else None
    print_table(results, old)


if __name__ == "__main__":
    main()
