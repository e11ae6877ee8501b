"""Measures whole systems of several sizes; see scripts/bench."""

import json
import os
import pathlib
import re
import statistics
import subprocess
import time
import urllib.error
import urllib.request

from demo_system import (CONTROL_DOMAINS, CUSTOMER_KEY, DOMAINS, EXAMPLES, System,
                         fetch_json, free_ports, wait_for)

TICKS = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 8.0


class SizedSystem(System):
    """A system with any number of entries, spread over the failure domains."""

    def __init__(self, build_dir, folder, entries):
        self.count = entries
        super().__init__(build_dir, folder)

    def _write_settings(self):
        ports = iter(free_ports(2 * self.count + 2 * len(CONTROL_DOMAINS)))
        replicas = {d: (next(ports), next(ports)) for d in CONTROL_DOMAINS}
        control = "control_replicas:\n" + "".join(
            f"  {i}: {{ peer: 127.0.0.1:{p}, http: 127.0.0.1:{h} }}\n"
            for i, (p, h) in enumerate(replicas.values(), 1))
        keys = "peer_key_file: keys/peer.key\noperators_file: keys/operators\n"
        for number, (domain, (peer, http)) in enumerate(replicas.items(), 1):
            self._write(f"controld-{domain}", domain, peer, http,
                        f"replica: {number}\ndata_folder: data/{number}\n{control}{keys}")
        (self.folder / "data").mkdir()
        self.addresses = {}
        for number in range(self.count):
            name, domain = f"entryd-{number}", DOMAINS[number % len(DOMAINS)]
            peer, http = next(ports), next(ports)
            self.addresses[name] = f"127.0.0.1:{http}"
            self._write(name, domain, peer, http, control + keys)

    def _write(self, name, domain, peer, http, rest):
        (self.folder / f"{name}.yaml").write_text(
            f"name: {name}\nregion: attica\nfailure_domain: {domain}\n"
            f"listen:\n  peer: 127.0.0.1:{peer}\n  http: 127.0.0.1:{http}\n{rest}")

    @property
    def entries(self):
        return self.addresses

    @property
    def living_entries(self):
        return [a for name, a in self.addresses.items() if name in self.processes]

    def start_entries(self):
        for name in self.addresses:
            self.start(name, "peridotspool-entryd", self.folder / f"{name}.yaml")

    def operator_request(self, path, method="GET", body=None, timeout=15):
        """Asks the control replicas until the leader answers."""
        key = (self.folder / "keys" / "operator.key").read_text().strip()
        for address in self.controls.values():
            request = urllib.request.Request(
                f"http://{address}{path}", method=method,
                data=json.dumps(body).encode() if body is not None else None,
                headers={"authorization": f"Bearer {key}"})
            try:
                with urllib.request.urlopen(request, timeout=timeout) as answer:
                    return json.load(answer)
            except (OSError, ValueError):
                continue
        return None

    def edit(self, text):
        """Commits a tree and returns its revision."""
        status = wait_for("settings", lambda: self.operator_request("/v1/settings"))
        answer = self.operator_request(
            "/v1/settings", "PUT",
            {"edit": os.urandom(8).hex(), "base": status["revision"], "text": text})
        return answer["revision"] if answer else None

    def wait_in_force(self, revision, wait_ms=10000):
        return self.operator_request(
            f"/v1/settings/in-force?revision={revision}&wait_ms={wait_ms}")

    def begin(self):
        """Starts everything and puts the example's settings in force."""
        self.start_control()
        self.start_entries()
        wait_for("a first edit", lambda: self.edit(self.tree()), 30)
        wait_for("all members", lambda: len(
            self.operator_request("/v1/status")["entries"]) == self.count, 60)
        wait_for("in force", lambda: self.wait_in_force(1)["in_force"], 60)

    @staticmethod
    def tree(rate=40):
        text = (EXAMPLES / "settings.yaml").read_text()
        return re.sub(r"limits: \{ rate: 40/s", f"limits: {{ rate: {rate}/s", text)

    @staticmethod
    def tree_without_limits():
        """For load that is to reach the upstreams whatever its rate."""
        text = (EXAMPLES / "settings.yaml").read_text()
        text = re.sub(r"rate: \d+/s", "rate: 100000/s", text)
        return re.sub(r"concurrency: \d+", "concurrency: 100000", text)


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024


def peer_bytes(address):
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as answer:
        text = answer.read().decode()
    return sum(float(value) for value in
               re.findall(r'peridotspool_peer_bytes_total\{[^}]*\} (\S+)', text))


def costs_of(system, names, addresses, seconds):
    """CPU share of a core, memory and peer bytes a second, mean and worst."""
    pids = {name: system.processes[name].pid for name in names}
    before = {n: (cpu_seconds(pids[n]), peer_bytes(addresses[n])) for n in names}
    began = time.monotonic()
    time.sleep(seconds)
    passed = time.monotonic() - began
    rows = [((cpu_seconds(pids[n]) - before[n][0]) / passed * 100,
             resident_mb(pids[n]),
             (peer_bytes(addresses[n]) - before[n][1]) / passed / 1000)
            for n in names]
    columns = list(zip(*rows))
    return {"cpu_percent_mean": statistics.mean(columns[0]),
            "cpu_percent_max": max(columns[0]),
            "memory_mb_max": max(columns[1]),
            "kb_per_s_mean": statistics.mean(columns[2]),
            "kb_per_s_max": max(columns[2])}


def edit_times(system, edits):
    """Milliseconds to commit, and to be in force on all entries."""
    commits, forces = [], []
    for number in range(edits):
        began = time.monotonic()
        revision = system.edit(system.tree(41 + number))
        committed = time.monotonic()
        if revision and system.wait_in_force(revision)["in_force"]:
            commits.append((committed - began) * 1000)
            forces.append((time.monotonic() - began) * 1000)
    return {"edits": edits, "in_force": len(forces),
            "commit_ms_median": statistics.median(commits),
            "in_force_ms_median": statistics.median(forces),
            "in_force_ms_max": max(forces)}


def leader_domain(system):
    status = system.operator_request("/v1/status")
    leads = [r["name"] for r in status["replicas"] if r["leads"]] if status else []
    return leads[0].removeprefix("controld-") if leads else None


def failover_times(system, rounds):
    """Seconds from the leader's kill to the next commit."""
    times = []
    for number in range(rounds):
        domain = wait_for("a leader", lambda: leader_domain(system))
        began = time.monotonic()
        system.kill(f"controld-{domain}")
        wait_for("a commit", lambda: system.edit(system.tree(70 + number)), 20)
        times.append(time.monotonic() - began)
        system.start(f"controld-{domain}", "peridotspool-controld",
                     system.folder / f"controld-{domain}.yaml")
        time.sleep(1.5)
    return {"rounds": rounds, "median_s": statistics.median(times),
            "max_s": max(times)}


def measure_size(build_dir, folder, entries, edits=10, failovers=0):
    system = SizedSystem(build_dir, folder, entries)
    try:
        system.begin()
        time.sleep(2)
        controls = {f"controld-{d}": a for d, a in system.controls.items()}
        leader = f"controld-{leader_domain(system)}"
        followers = {n: a for n, a in controls.items() if n != leader}
        sample = dict(list(system.addresses.items())[:: max(1, entries // 12)])
        result = {
            "entries": entries,
            "entry_idle": costs_of(system, list(sample), sample, IDLE_SECONDS),
            "leader_idle": costs_of(system, [leader], controls, IDLE_SECONDS),
            "follower_idle": costs_of(system, list(followers), controls, 3),
            "edits": edit_times(system, edits),
        }
        if failovers:
            result["failover"] = failover_times(system, failovers)
        return result
    finally:
        system.end_at_once()


def measure_upstreams(build_dir, folder, entries, counts):
    """What announcements cost an entry, for each upstream that it hears."""
    system = SizedSystem(build_dir, folder, entries)
    try:
        system.begin()
        rows = []
        started = 0
        for count in counts:
            while started < count:
                system.start_upstream(
                    "fake-engine", f"engine-{started}", "assistant",
                    DOMAINS[started % len(DOMAINS)], "--listen", "127.0.0.1:0",
                    "--renew-ms", 1000, "--lease-ms", 2000)
                started += 1
            time.sleep(2.5)
            costs = costs_of(system, list(system.addresses), system.addresses,
                             IDLE_SECONDS)
            rows.append({"upstreams": count, **costs})
        return rows
    finally:
        system.end_at_once()


def run_load(system, arguments):
    done = subprocess.run(
        [str(system.build_dir / "fake-load"), *map(str, arguments)],
        text=True, stdout=subprocess.PIPE, timeout=120)
    return json.loads(done.stdout)


def measure_load(build_dir, folder, rates, tokens):
    """CPU of entries for each request and token, and the latency added."""
    system = SizedSystem(build_dir, folder, 4)
    try:
        system.begin()
        system.start_upstream("fake-engine", "engine-1", "assistant", "piraeus-a",
                              "--listen", "127.0.0.1:0", "--slots", 400,
                              "--token-ms", 2, "--first-token-ms", 20)
        log = system.folder / "engine-1.log"
        wait_for("the engine", lambda: "listening" in log.read_text())
        engine = log.read_text().split()[-1]
        revision = system.edit(system.tree_without_limits())
        system.wait_in_force(revision)
        time.sleep(1.5)
        customer = system.folder / "keys" / "customer.key"
        customer.write_text(CUSTOMER_KEY + "\n")
        rows = []
        for rate in rates:
            for count in tokens:
                rows.append(load_row(system, customer, rate, count))
        direct = run_load(system, ["--direct", engine, "--prefix", "direct",
                                   "--count", 400, "--rate", 50,
                                   "--streamed-share", 1, "--tokens", 8])
        return {"rows": rows, "direct_first_token_ms": direct["first_token_ms"]}
    finally:
        system.end_at_once()


def load_row(system, customer, rate, tokens):
    names = list(system.addresses)
    before = {n: cpu_seconds(system.processes[n].pid) for n in names}
    began = time.monotonic()
    count = int(rate * 6)
    result = run_load(system, [
        "--entry", ",".join(system.addresses.values()), "--key-file", customer,
        "--service", "assistant", "--prefix", f"r{rate}t{tokens}",
        "--count", count, "--rate", rate, "--streamed-share", 1,
        "--tokens", tokens])
    passed = time.monotonic() - began
    used = sum(cpu_seconds(system.processes[n].pid) - before[n] for n in names)
    return {"rate": rate, "tokens": tokens, "count": count,
            "whole": result["outcomes"].get("whole", 0), "seconds": passed,
            "entry_cpu_ms_per_request": used * 1000 / count,
            "first_token_ms": result["first_token_ms"]}
