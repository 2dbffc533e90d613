"""Stand-ins for the cases of review/: the platform's store, engines, groups of ranks and clients.

They behave as the platform's pages say; each case adds the one disruption that it is about. All of
them run on one asyncio event loop, on loopback addresses and the real clock. Only the standard
library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "Source" / "commands" / "medlaryoke"
HOST = "service.example"


class Message:
    """A request or a response that was read from a connection."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        if "?" not in self.target:
            return {}
        pairs = (p.partition("=") for p in self.target.split("?", 1)[1].split("&"))
        return {name: value for name, _, value in pairs}

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    message = Message("", headers, b"")
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(message.header("Content-Length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(head[0], head[1], await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def encode_response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, value):
    body = json.dumps(value).encode()
    return encode_response(status, [("Content-Type", "application/json")], body)


class HttpServer:
    """Reads requests from kept connections and passes each to `handle`."""

    def __init__(self):
        self.server = None
        self.tasks = set()
        self.address = ""

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        return self.address

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, request, reader, writer):
        """Answers a request; returns whether the connection is kept."""
        raise NotImplementedError

    async def close(self):
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(HttpServer):
    """The platform's store: a log with keyed topics."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Condition()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        """Appends a record; an empty value drops the key."""
        async with self.changed:
            self.records(topic).append((key, value))
            self.changed.notify_all()
            return len(self.records(topic)) - 1

    async def handle(self, request, reader, writer):
        calls = {
            "/log-append": self.append,
            "/log-read": self.read,
            "/log-newest": self.newest,
        }
        call = calls.get(request.path)
        answer = await call(request) if call else json_response(404, {"error": "no such call"})
        writer.write(answer)
        await writer.drain()
        return True

    async def append(self, request):
        body = request.body
        first = len(self.records(request.query["topic"]))
        while body:
            size = int.from_bytes(body[:4], "big")
            record, body = body[4 : 4 + size], body[4 + size :]
            key = record[1 : 1 + record[0]].decode()
            await self.put(request.query["topic"], key, record[1 + record[0] :])
        end = len(self.records(request.query["topic"]))
        return json_response(200, {"offset": first, "end": end})

    async def read(self, request):
        topic = request.query["topic"]
        start = int(request.query["from"])
        wait = int(request.query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(lambda: len(self.records(topic)) > start)
        except TimeoutError:
            pass
        records = self.records(topic)
        data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            data += len(record).to_bytes(4, "big") + record
        return encode_response(200, [("Content-Type", "application/octet-stream")], data)

    async def newest(self, request):
        records = self.records(request.query["topic"])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > request.query.get("after", "")
        ]
        return json_response(200, {"items": items, "hasMore": False, "end": len(records)})


class Engine(HttpServer):
    """An engine of a plain service. Counts the runs of each request by its id."""

    def __init__(self, record, name, service, work_s=0.03, slots=6):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.runs = {}

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1700000000000,
        }

    def answer_headers(self, request):
        return [
            ("Medlaryoke-Request-Id", request.header("Medlaryoke-Request-Id", "")),
            ("Medlaryoke-Server-Stamp", f"stamp.{self.name}"),
        ]

    async def refuse_if_misdirected(self, request, writer):
        expected = request.header("Medlaryoke-Expect-Instance")
        if expected is None or expected == self.name:
            return False
        headers = [
            ("Medlaryoke-Request-Id", request.header("Medlaryoke-Request-Id", "")),
            ("Medlaryoke-Instance-Id", self.name),
            ("Medlaryoke-Not-Executed", "1"),
        ]
        writer.write(encode_response(421, headers))
        await writer.drain()
        return True

    def begin_run(self, request):
        request_id = request.header("Medlaryoke-Request-Id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.write("run", engine=self.name, id=request_id, target=request.target)

    async def handle(self, request, reader, writer):
        if await self.refuse_if_misdirected(request, writer):
            return True
        self.begin_run(request)
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.name} to {request.target}".encode()
        writer.write(encode_response(200, self.answer_headers(request), body))
        await writer.drain()
        return True


class RankGroup:
    """A group of model engines that run each pass together, on an expert map."""

    def __init__(self, record, ranks, sets=4, experts=32, places=5, spare=2):
        self.record = record
        self.sets = sets
        self.experts = experts
        self.places = places
        self.spare = spare
        self.epoch = 1
        self.step = 0
        self.step_s = 0.02
        self.active_requests = 0
        self.hot = 0
        self.split_steps = []
        self.switches = 0
        self.ranks = [Rank(self, rank) for rank in range(ranks)]

    def first_map(self):
        count = len(self.ranks)
        return [
            [[e for e in range(self.experts) if e % count == rank] for rank in range(count)]
            for _ in range(self.sets)
        ]

    async def run(self):
        """Begins a pass as long as there are requests and no rank holds it."""
        while True:
            await asyncio.sleep(self.step_s)
            coming = self.step + 1
            if self.active_requests == 0 or any(r.held == coming for r in self.ranks):
                continue
            self.begin_pass(coming)

    def begin_pass(self, step):
        self.step = step
        switched = False
        for rank in self.ranks:
            if rank.armed and rank.armed[1] <= step:
                rank.map = rank.prepared
                rank.armed = None
                rank.prepared = None
                switched = True
        self.switches += switched
        maps = {json.dumps(rank.map) for rank in self.ranks}
        if switched or len(maps) > 1:
            versions = [rank.map[0] for rank in self.ranks]
            if len(maps) == 1 or len(self.split_steps) < 20:
                self.record.write("pass", step=step, maps=len(maps), versions=versions)
        if len(maps) > 1:
            self.split_steps.append(step)
        for rank in self.ranks:
            rank.count_tokens()


class Rank(Engine):
    """One rank of a group: a model engine with orders, reports and token counts."""

    def __init__(self, group, number):
        super().__init__(group.record, f"i-{number:04d}", "model", slots=12)
        self.group = group
        self.number = number
        self.map = (0, None)
        self.prepared = None
        self.copying = None
        self.armed = None
        self.held = None
        self.highest_version = 0
        self.fence = 0
        self.sequence = 0
        self.counts = [0] * (group.sets * group.experts)

    def entry(self, state="ready"):
        value = super().entry(state)
        value["group"] = {
            "name": "g0",
            "epoch": self.group.epoch,
            "rank": self.number,
            "state": "open",
        }
        value["size"] = len(self.group.ranks)
        return value

    def count_tokens(self):
        """Most tokens choose four experts, which the first map places on one rank."""
        for n in range(self.group.sets):
            base = n * self.group.experts
            for e in range(self.group.experts):
                self.counts[base + e] += 2
            for e in range(4):
                self.counts[base + (self.group.hot + 8 * e) % self.group.experts] += 40

    async def handle(self, request, reader, writer):
        if request.path == "/report":
            writer.write(json_response(200, self.report()))
        elif request.path == "/picked":
            writer.write(json_response(200, self.picked("lists" in request.query)))
        elif request.path == "/order":
            status = self.order(json.loads(request.body))
            writer.write(json_response(status, {}))
        elif await self.refuse_if_misdirected(request, writer):
            return True
        else:
            await self.stream(request, writer)
        await writer.drain()
        return True

    async def stream(self, request, writer):
        self.begin_run(request)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in self.answer_headers(request):
            head += f"{name}: {value}\r\n"
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        self.group.active_requests += 1
        try:
            for n in range(1, 9):
                await asyncio.sleep(0.05)
                event = f"id: {n}\ndata: piece {n}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.group.active_requests -= 1

    def report(self):
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.copying is not None,
            "sequence": self.sequence,
            "queued": 0,
            "running": 1,
            "kvUsed": 0,
            "kvTotal": 494000,
            "handles": 0,
            "pace": 1,
            "group": {
                "name": "g0",
                "epoch": self.group.epoch,
                "rank": self.number,
                "state": "open",
            },
            "size": len(self.group.ranks),
            "step": self.group.step,
            "map": self.map[0],
            "prepared": self.prepared[0] if self.prepared else None,
            "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
            "held": self.held,
        }

    def own_experts(self, value):
        sets = value[1] or self.group.first_map()
        return {"version": value[0], "experts": [s[self.number] for s in sets]}

    def picked(self, with_lists):
        if not with_lists:
            return {"step": self.group.step, "epoch": self.group.epoch, "counts": self.counts}
        prepared = self.own_experts(self.prepared) if self.prepared else None
        return {
            "step": self.group.step,
            "epoch": self.group.epoch,
            "map": self.own_experts(self.map),
            "prepared": prepared,
        }

    def order(self, body):
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 412
        self.fence = token
        if "epoch" in body and body["epoch"] != self.group.epoch:
            return 409
        orders = {
            "prepare": self.prepare,
            "arm": self.arm,
            "disarm": self.disarm,
            "hold": self.hold,
            "go": self.release_hold,
        }
        run = orders.get(body.get("operation"))
        status = run(body) if run else 400
        self.sequence += status == 202
        shown = {k: v for k, v in body.items() if k != "map"}
        self.record.write("order", engine=self.name, status=status, **shown)
        return status

    def prepare(self, body):
        version = body["version"]
        current = self.prepared or self.copying
        if current and current[0] == version:
            return 200
        held = self.own_experts(self.map)["experts"]
        new = [len(set(s[self.number]) - set(held[n])) for n, s in enumerate(body["map"])]
        if version <= self.highest_version or self.armed or max(new) > self.group.spare:
            return 409
        self.highest_version = version
        self.prepared = None
        self.copying = (version, body["map"])
        asyncio.get_running_loop().call_later(0.05 * sum(new), self.end_copy, version)
        return 202

    def end_copy(self, version):
        if self.copying and self.copying[0] == version:
            self.prepared, self.copying = self.copying, None

    def arm(self, body):
        wanted = (body["version"], body["step"])
        if self.armed == wanted:
            return 200
        if not self.prepared or self.prepared[0] != wanted[0] or self.group.step >= wanted[1]:
            return 409
        self.armed = wanted
        return 202

    def disarm(self, body):
        if self.map[0] == body["version"]:
            return 409
        if not self.armed or self.armed[0] != body["version"]:
            return 200
        self.armed = None
        return 202

    def hold(self, body):
        if self.held == body["step"]:
            return 200
        if self.held is not None or self.group.step >= body["step"]:
            return 409
        self.held = body["step"]
        return 202

    def release_hold(self, body):
        if self.held != body["step"]:
            return 200
        self.held = None
        return 202


class Record:
    """Writes what was sent, answered and run, a JSON object a line."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, event, **fields):
        fields = {"at": round(time.monotonic() - self.started_at, 3), "event": event, **fields}
        self.file.write(json.dumps(fields) + "\n")
        self.file.flush()


class Program:
    """One process of medlaryoke with a settings file of its own."""

    def __init__(self, folder, settings, arguments):
        self.settings = settings
        self.path = folder / f"{settings['nodeName']}.json"
        self.path.write_text(json.dumps(settings), encoding="utf-8")
        self.log = folder / f"{settings['nodeName']}.log"
        self.arguments = arguments
        self.process = None

    async def start(self):
        environment = {"PATH": os.environ["PATH"], "MEDLARYOKE_NODE_FILE": str(self.path)}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), *self.arguments, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 90,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "fencingRequired": True,
    "ttl_max_s": 5,
}


def free_ports(ips, count):
    """Returns the first of `count` ports in a row that are free at all addresses."""
    first = 20000 + os.getpid() * 37 % 9000
    for base in list(range(first, 30000, count)) + list(range(20000, first, count)):
        try:
            for ip in ips:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Deployment:
    """A small deployment: a store, gateways and, for a group, a rank agent beside each rank."""

    def __init__(self, case_folder, gateways=2, ranks=0):
        self.record = Record(case_folder / "record.txt")
        self.folder = tempfile.TemporaryDirectory(prefix="medlaryoke-review-")
        self.store = Store()
        self.gateway_ips = [f"127.0.1.{n + 1}" for n in range(gateways)]
        self.rank_ips = [f"127.0.2.{n + 1}" for n in range(ranks)]
        self.port = free_ports(["127.0.3.1", *self.gateway_ips, *self.rank_ips], 8)
        self.group = RankGroup(self.record, ranks) if ranks else None
        self.gateways = []
        self.agents = []
        self.engines = []
        self.tasks = []

    def common_settings(self, name, ip, machine_class):
        return {
            "nodeName": name,
            "role": machine_class,
            "machineClass": machine_class,
            "ip": ip,
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "internalPortRange": [self.port, self.port + 3],
            "seeds": [f"{it}:{self.port + 5}" for it in self.gateway_ips[:3]],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.5,
                "cores": 1,
                "memoryMb": 520,
                "maxFds": 8200,
                "linkMbps": 2000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store.address, "form": "log", "minTtlMs": 1000},
        }

    def make_gateway(self, ip):
        number = self.gateway_ips.index(ip) + 1
        settings = self.common_settings(f"edge-{number}", ip, "edge")
        settings["serves"] = ["edge", "control", "directory"]
        settings["listen"] = {
            "front": f"{ip}:{self.port + 4}",
            "control": f"{ip}:{self.port + 5}",
            "readiness": f"{ip}:{self.port + 6}",
            "directory": f"{ip}:{self.port + 7}",
        }
        return Program(pathlib.Path(self.folder.name), settings, ["gateway"])

    def make_agent(self, rank):
        ip = self.rank_ips[rank.number]
        settings = self.common_settings(f"side-{rank.number + 1}", ip, "side")
        settings["serves"] = ["side"]
        settings["listen"] = {}
        settings["app"] = rank.address
        return Program(pathlib.Path(self.folder.name), settings, ["rank-agent"])

    async def start(self, configuration):
        await self.store.listen("127.0.3.1", self.port + 4)
        await self.put_configuration(configuration)
        if self.group:
            for rank, ip in zip(self.group.ranks, self.rank_ips):
                await rank.listen(ip, self.port + 4)
                await self.put_entry(rank)
                self.agents.append(self.make_agent(rank))
            self.tasks.append(asyncio.create_task(self.group.run()))
        self.gateways = [self.make_gateway(ip) for ip in self.gateway_ips]
        for program in self.agents + self.gateways:
            await program.start()
        for ip in self.gateway_ips:
            await self.wait_until_ready(ip)

    async def put_configuration(self, configuration):
        self.record.write("configuration", version=configuration["version"])
        await self.store.put("keyed.op", "config", json.dumps(configuration).encode())

    async def put_entry(self, engine, state="ready"):
        self.record.write("entry", engine=engine.name, state=state)
        await self.store.put("keyed.servers", engine.name, json.dumps(engine.entry(state)).encode())

    async def add_engine(self, engine, ip="127.0.3.1"):
        await engine.listen(ip)
        self.engines.append(engine)
        await self.put_entry(engine)

    def front(self, number):
        return f"{self.gateway_ips[number]}:{self.port + 4}"

    async def is_ready(self, ip):
        try:
            answer = await call(f"{ip}:{self.port + 6}", "GET", "/ready", timeout=1)
            return answer.status == 200
        except (OSError, TimeoutError, EOFError):
            return False

    async def wait_until_ready(self, ip, limit_s=15):
        deadline = time.monotonic() + limit_s
        while not await self.is_ready(ip):
            if time.monotonic() > deadline:
                raise RuntimeError(f"the gateway at {ip} is not ready")
            await asyncio.sleep(0.1)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for program in self.gateways + self.agents:
            await program.stop()
        servers = [self.store, *self.engines, *(self.group.ranks if self.group else [])]
        for server in servers:
            await server.close()
        self.folder.cleanup()


async def call(address, method, target, headers=(), body=b"", timeout=8.0):
    """Sends a request on a new connection and returns the whole response.

    Raises EOFError if the response does not end as its head says.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            names = [name.lower() for name, _ in headers]
            if "host" not in names:
                lines.append(f"Host: {HOST}")
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise EOFError("the connection was closed without an answer")
            try:
                return Message(head[0], head[1], await read_body(reader, head[1]))
            except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
                raise EOFError("the answer is incomplete") from e
        finally:
            writer.close()


def route(name, service, kind, **fields):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 400,
        "maxAttempts": 2,
        "priority": 0,
        **fields,
    }


def configuration(version, routes, group=None):
    names = sorted({it["service"] for it in routes})
    services = [{"name": it, "healthPath": "/health", "maxConnections": 178} for it in names]
    for service in services:
        if group and service["name"] == "model":
            service["engine"] = {
                "step_ms": 4.84,
                "per_seq_ms": 0.362,
                "context_per_k": 0.011,
                "read_per_s": 74800,
                "pairs_per_m": 0.232,
                "stride": 6,
                "chunk": 512,
                "usual": {"prompt": 800, "answer": 150},
                "report_lag_ms": 200,
                "sets": group.sets,
                "experts": group.experts,
                "placements": group.places,
                "spare": group.spare,
                "expertMb": 2500,
                "linkMbps": 180000,
                "expertShare": 0.85,
            }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 30000,
        },
    }


def run_case(case):
    """Runs a case and ends the process with its verdict.

    The case is a coroutine function that returns whether the rule held; any failure to run it is
    reported as 2.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(has_trouble), 115))
    except Exception as e:  # noqa: BLE001
        print(f"the case could not run: {e!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
