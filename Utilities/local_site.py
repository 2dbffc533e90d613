"""Starts stand-ins, agents and entries on loopback; used by run-local, measure-capacity and
measure-path."""

import contextlib
import hashlib
import http.client
import json
import pathlib
import re
import signal
import subprocess
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
CREDENTIAL = "local-shop"
MODEL = "local-model"
DATA_CENTRE = "local-1"
START_TIMEOUT = 30.0
# Exceeds the drain time of an entry, which waits until cached addresses expire.
STOP_TIMEOUT = 30.0


class SiteError(Exception):
    """The local deployment could not be started or did not behave as expected."""


class Process:
    """A child process with its output in a log file. It is ended only by its own process id."""

    def __init__(self, name, words, log_path):
        self.name = name
        self.log_path = log_path
        with open(log_path, "wb") as log:
            self.handle = subprocess.Popen(words, stdin=subprocess.DEVNULL, stdout=log,
                                           stderr=subprocess.STDOUT, start_new_session=True)

    @property
    def pid(self):
        return self.handle.pid

    def wait_for_line(self, pattern):
        """Waits until a pattern matches the log and returns the match."""
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            text = self.log_path.read_text(errors="replace")
            match = re.search(pattern, text)
            if match:
                return match
            if self.handle.poll() is not None:
                break
            time.sleep(0.02)
        raise SiteError(f"{self.name} did not start; its log: "
                        f"{self.log_path.read_text(errors='replace')}")

    def stop(self):
        """Sends SIGTERM and returns the exit code, or "killed" if it had to be killed."""
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGTERM)
        try:
            return self.handle.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.handle.kill()
            self.handle.wait()
            return "killed"


def request(address, method, target, body=None, headers=None, timeout=30.0):
    """Sends one HTTP request; returns the status, the headers and the body as text."""
    host, port = address.rsplit(":", 1)
    with contextlib.closing(http.client.HTTPConnection(host, int(port), timeout=timeout)) as client:
        client.request(method, target, body, headers or {})
        reply = client.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read().decode(errors="replace")


def fetch_json(address, method, target, body=None, headers=None):
    """Like request, but fails on an error status and parses the body."""
    status, _, text = request(address, method, target, body, headers)
    if status >= 300:
        raise SiteError(f"{method} {target} at {address}: status {status}: {text}")
    return json.loads(text) if text else None


def caller(name, organisation, credential):
    """Returns a caller resource as (kind, name, spec)."""
    digest = hashlib.sha256(credential.encode()).hexdigest()
    return ("caller", name, {"organisation": organisation, "credential_sha256": digest,
                             "share": 1, "priorities": ["urgent", "batch"]})


def to_yaml(resources):
    """Returns a resource file for `medlaryoke apply`; the specs are JSON, which is valid YAML."""
    return "---\n".join(f"kind: {kind}\nname: {name}\nspec: {json.dumps(spec)}\n"
                        for kind, name, spec in resources)


class LocalSite:
    """A deployment on loopback. If `proxy` is given, it returns the address of a proxy for a group
    of connections and a target address; the processes then connect through these proxies."""

    def __init__(self, preset, engines, services, entries, proxy=None, address_lifetime="100ms",
                 slots=64, share_engine=False, subset_size=24):
        self.build = REPOSITORY / "build" / preset
        self.binary = self.build / "Source" / "commands" / "medlaryoke"
        for it in (self.binary, self.build / "Tests" / "StandIns" / "standin_platform"):
            if not it.exists():
                raise SiteError(f"{it} does not exist; build it with "
                                f"cmake --build --preset {self.build.name}")
        self.counts = (engines, services, entries)
        self.proxy = proxy or (lambda group, address: address)
        self.address_lifetime = address_lifetime
        self.slots = slots
        self.share_engine = share_engine  # all agents use one stand-in engine, for idle deployments
        self.subset_size = subset_size
        self.processes = []  # in the order of their start
        self.agents = []  # (process, upstream, type, address for entries)
        self.entries = []  # (process, address for callers, for operators, for peers)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="medlaryoke-local-"))

    def start(self):
        """Starts all processes. The deployment has no resources until apply() is called."""
        engines, services, entries = self.counts
        self.platform = self.start_standin("platform", "standin_platform")
        for n in range(1, engines + 1):
            if n == 1 or not self.share_engine:
                address = self.start_standin(f"engine-{n}", "standin_engine", "--step-time", "2ms",
                                             "--slots", str(self.slots))
            self.start_agent(f"engine-{n}", "assistant", "engine", address)
        for n in range(1, services + 1):
            address = self.start_standin(f"desk-{n}", "standin_service")
            self.start_agent(f"desk-{n}", "desk", "service", address)
        for n in range(1, entries + 1):
            self.start_entry(f"entry-{n}")

    def run(self, name, *words):
        process = Process(name, [str(it) for it in words], self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    def start_standin(self, name, program, *options):
        process = self.run(f"standin-{name}", self.build / "Tests" / "StandIns" / program,
                           "--address", "127.0.0.1:0", *options)
        return process.wait_for_line(r"listening (\S+)\n").group(1)

    def write_settings(self, name, group, lines):
        path = self.folder / f"{name}.yaml"
        log = self.proxy(f"log-{group}", self.platform)
        instances = self.proxy(f"list-{group}", self.platform)
        path.write_text(f"instance:\n  name: {name}\n  data_centre: {DATA_CENTRE}\n"
                        f"platform:\n  log: {log}\n  instance_list: {instances}\n"
                        + "".join(f"{it}\n" for it in lines))
        return path

    def start_agent(self, upstream, serves, kind, address):
        name = f"agent-{upstream}"
        path = self.write_settings(name, "agents", [
            "agent:", f"  upstream: {upstream}", f"  serves: {serves}", f"  upstream_type: {kind}",
            f"  upstream_address: {address}", "  listen_address: 127.0.0.1:0",
            "  operator_address: 127.0.0.1:0"])
        process = self.run(name, self.binary, "agent", "--settings", path)
        match = process.wait_for_line(r"Serving upstream .* to entries on (\S+), operators on \S+,")
        self.agents.append((process, upstream, kind, self.proxy("agents", match.group(1))))

    def start_entry(self, name):
        lines = ["entry:", "  caller_address: 127.0.0.1:0", "  operator_address: 127.0.0.1:0",
                 "  peer_address: 127.0.0.1:0", f"  address_lifetime: {self.address_lifetime}",
                 f"  subset_size: {self.subset_size}"]
        if self.entries:
            lines.append(f"  peers: [{', '.join(repr(it[3]) for it in self.entries)}]")
        path = self.write_settings(name, "entries", lines)
        process = self.run(name, self.binary, "entry", "--settings", path)
        match = process.wait_for_line(
            r"Serving callers on (\S+), operators on (\S+), entries on (\S+),")
        self.entries.append((process, match.group(1), match.group(2),
                             self.proxy("peers", match.group(3))))

    def resources(self):
        """Returns the resources that describe the running processes."""
        def priority(order, target, floor):
            return {"order": order, "first_token_target": target, "token_interval_target": "1s",
                    "worth": 1, "floor": floor}
        resources = [("model_group", "assistant", {"model": MODEL}),
                     ("priority", "urgent", priority(0, "10s", 0.5)),
                     ("priority", "batch", priority(2, "60s", 0.1)),
                     caller("shop", "shop", CREDENTIAL)]
        for _, upstream, kind, address in self.agents:
            spec = {"type": kind, "serves": "assistant" if kind == "engine" else "desk",
                    "agent": address, "data_centre": DATA_CENTRE}
            if kind == "service":
                spec["repeatable"] = ["GET /stock"]
            resources.append(("upstream", upstream, spec))
        return resources

    def apply(self, resources, timeout="60s"):
        """Runs `medlaryoke apply --wait-in-force` and returns its output."""
        path = self.folder / "resources.yaml"
        path.write_text(to_yaml(resources))
        words = [str(self.binary), "apply", "--entry", self.entries[0][2], str(path),
                 "--author", "local", "--wait-in-force", "--timeout", timeout]
        result = subprocess.run(words, stdin=subprocess.DEVNULL, capture_output=True, text=True,
                                check=False)
        if result.returncode != 0:
            raise SiteError(f"apply ended with {result.returncode}: {result.stderr}{result.stdout}")
        return result.stdout

    def wait_connected(self):
        """Waits until each entry is connected to all agents and to all other entries."""
        deadline = time.monotonic() + START_TIMEOUT
        while missing := [it for entry in self.entries for it in self.missing_connections(entry)]:
            if time.monotonic() > deadline:
                raise SiteError(f"not connected after {START_TIMEOUT} s: {', '.join(missing)}")
            time.sleep(0.1)

    def missing_connections(self, entry):
        """Returns the missing connections of an entry to agents and other entries."""
        name = entry[0].name
        state = fetch_json(entry[2], "GET", "/v1/status")
        agents = {it[1] for it in self.agents}
        connected = {it["upstream"] for it in state["links"]
                     if it["state"] == "connected" and it["upstream_up"]}
        live_peers = {it["instance"] for it in state["peers"] if it["state"] == "live"}
        peers = {it[0].name for it in self.entries} - {name}
        return [f"{name} to {it}" for it in sorted((agents - connected) | (peers - live_peers))]

    def call(self, target, body, headers=None):
        """Sends one request to the first entry with the credential of the sample caller."""
        return request(self.entries[0][1], "POST", target, json.dumps(body),
                       {"Authorization": f"Bearer {CREDENTIAL}", "Content-Type": "application/json",
                        **(headers or {})})

    def stop(self):
        """Stops entries, then agents, then stand-ins; returns name and exit code of each."""
        exit_codes = []
        while self.processes:
            process = self.processes.pop()
            exit_codes.append((process.name, process.stop()))
        return exit_codes
