"""A whole system on this machine: its files, its processes and their end."""

import hashlib
import json
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples" / "lefkada"
CUSTOMER_KEY = "demo-lefkada-aspida-boards"
DOMAINS = ["piraeus-a", "piraeus-b", "marousi", "elefsina"]
CONTROL_DOMAINS = ["piraeus-a", "piraeus-b", "marousi"]
# An entry may take this long to hand over what it has.
STOP_SECONDS = 40


class DemoFailure(Exception):
    """Something that the demo promises did not come about."""


def wait_for(what, condition, seconds=30.0):
    """Polls until the condition gives something true, and returns that."""
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end:
            raise DemoFailure(f"still waiting for {what} after {seconds:.0f} s")
        time.sleep(0.05)


def fetch_json(address, path, headers=None, timeout=2.0):
    """Returns the JSON answer to a GET, or None when there is none."""
    request = urllib.request.Request(f"http://{address}{path}", headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.load(answer)
    except (OSError, ValueError):
        return None


def free_ports(count):
    """Returns ports that nobody listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class System:
    """The processes of the demo, with their files in one temporary folder."""

    def __init__(self, build_dir, folder):
        self.build_dir = pathlib.Path(build_dir).resolve()
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self.upstreams = []
        self._write_keys()
        self._write_settings()

    def _write_keys(self):
        keys = self.folder / "keys"
        keys.mkdir(mode=0o700)
        lines = []
        for name in ["operator", "upstream"]:
            key = secrets.token_hex(16)
            (keys / f"{name}.key").write_text(key + "\n")
            lines.append(f"{name} {hashlib.sha256(key.encode()).hexdigest()}\n")
        (keys / "operators").write_text("".join(lines))
        (keys / "peer.key").write_text(secrets.token_hex(32) + "\n")
        (keys / "customer.key").write_text(CUSTOMER_KEY + "\n")

    def _write_settings(self):
        """Copies the example's files with ports that are free here."""
        texts = {path.name: path.read_text() for path in EXAMPLES.glob("*d-*.yaml")}
        known = sorted({port for text in texts.values()
                        for port in re.findall(r"127\.0\.0\.1:(\d+)", text)})
        ports = dict(zip(known, free_ports(len(known))))
        for name, text in texts.items():
            text = re.sub(r"127\.0\.0\.1:(\d+)",
                          lambda match: f"127.0.0.1:{ports[match[1]]}", text)
            (self.folder / name).write_text(text)

    def listen_address(self, settings_name):
        text = (self.folder / f"{settings_name}.yaml").read_text()
        return re.search(r"listen:.*?http: (\S+)", text, re.DOTALL)[1]

    @property
    def entries(self):
        return {d: self.listen_address(f"entryd-{d}") for d in DOMAINS}

    @property
    def living_entries(self):
        """The addresses of the entries that run."""
        return [address for domain, address in self.entries.items()
                if f"entryd-{domain}" in self.processes]

    @property
    def controls(self):
        return {d: self.listen_address(f"controld-{d}") for d in CONTROL_DOMAINS}

    def start(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [self.build_dir / program, *map(str, arguments)], cwd=self.folder,
            stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def start_control(self):
        first = self.folder / f"controld-{CONTROL_DOMAINS[0]}.yaml"
        subprocess.run([self.build_dir / "peridotspool-controld", first, "init"],
                       check=True, stdout=subprocess.DEVNULL)
        for domain in CONTROL_DOMAINS:
            self.start(f"controld-{domain}", "peridotspool-controld",
                       self.folder / f"controld-{domain}.yaml")

    def start_entries(self):
        for domain in DOMAINS:
            self.start(f"entryd-{domain}", "peridotspool-entryd",
                       self.folder / f"entryd-{domain}.yaml")

    def start_upstream(self, program, name, service, domain, *arguments):
        self.upstreams.append(name)
        self.start(name, program, "--name", name, "--service", service,
                   "--domain", domain, "--announce", ",".join(self.entries.values()),
                   "--key-file", self.folder / "keys" / "upstream.key",
                   "--journal", self.folder / f"{name}.journal", *arguments)

    def journal(self, name):
        """Returns what an upstream noted that it did."""
        path = self.folder / f"{name}.journal"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def ctl_command(self, *arguments):
        return [str(self.build_dir / "peridotctl"),
                "--control", ",".join(self.controls.values()),
                "--entries", ",".join(self.entries.values()),
                "--key-file", str(self.folder / "keys" / "operator.key"),
                *map(str, arguments)]

    def ctl(self, *arguments):
        """Runs peridotctl; returns its exit code and what it printed."""
        done = subprocess.run(self.ctl_command(*arguments), text=True, timeout=60,
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        return done.returncode, done.stdout

    def check_alive(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.folder / f"{name}.log").read_text(errors="replace")
                raise DemoFailure(f"{name} ended with {process.returncode}:\n{log}")

    def kill(self, name):
        """Ends a process as a reclaim without notice does."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Stops all gracefully: upstreams, entries, control. Returns failures.

        Entries stop one after the other, so that each hands over to the rest.
        """
        entries = [[name] for name in self.processes if name.startswith("entryd-")]
        controls = [name for name in self.processes if name.startswith("controld-")]
        failures = []
        for names in [self.upstreams, *entries, controls]:
            for name in names:
                self.processes[name].send_signal(signal.SIGTERM)
            for name in names:
                failures += self._wait_for_end(name)
        return failures

    def _wait_for_end(self, name):
        process = self.processes.pop(name)
        try:
            code = process.wait(timeout=STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return [f"{name} did not stop within {STOP_SECONDS} s"]
        return [f"{name} stopped with {code}"] if code else []

    def end_at_once(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes.clear()
