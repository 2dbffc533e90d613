"""Stand-ins for the platform's store, a lock-step group of engines, plain services and callers.

They speak what the platform's pages state, all in one event loop on loopback addresses. Each group
of addresses is derived from the process id, so that concurrent runs do not meet.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import struct
import subprocess
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
BINARY = REPOSITORY / "target" / "Source" / "commands" / "medlaryoke"
ZONES = ("oslo-a", "oslo-b", "oslo-c")
HOST = "pearl.example"

# Below the ephemeral range, so the system assigns none of them to another socket.
FRONT_PORT, READINESS_PORT, DIRECTORY_PORT, CONTROL_PORT = 20201, 20202, 20203, 20204
ENGINE_PORT = 20210
METRICS_PORT = 9464  # as in the deploy file
INTERNAL_PORTS = [20220, 20235]

# Bounds and machine settings of the small deployment in Oslo.
HEARTBEAT_MS = 1200
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeStrict": False, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 94, "recoveryS": 12,
          "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "fencingRequired": True,
          "ttl_max_s": 5}


def loopback(index):
    """Returns a loopback address of this process."""
    return f"127.{os.getpid() % 250 + 1}.{index // 250 + 1}.{index % 250 + 1}"


class Request:
    """A request as a stand-in received it; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(it.split("=", 1) for it in query.split("&") if "=" in it)


async def read_message(reader):
    """Reads the head and the body of one message; returns the first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


def encode_reply(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_reply(status, value):
    return encode_reply(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Server:
    """An HTTP/1.1 server whose handler writes the reply itself."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=512)
        return self.server.sockets[0].getsockname()[1]

    def crash(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not writer.is_closing():
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                await self.handler(Request(method, target, headers, body), reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass  # the client has left
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's log, as far as the system uses it: keyed topics with one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)
        self.address = None
        self.silent = set()  # connections that answer nothing more
        self.is_down = False  # answers 503 to all calls

    async def start(self):
        host = loopback(0)
        self.address = f"{host}:{await self.server.start(host, 0)}"

    async def put(self, topic, key, value):
        """Appends a record; an empty value drops the key."""
        records = self.topics.setdefault(topic, [])
        data = json.dumps(value).encode() if isinstance(value, dict) else value
        records.append((key, data))
        async with self.changed:
            self.changed.notify_all()
        return len(records) - 1

    def silence_connections(self):
        """Lets all open connections go silent, without a reset; new ones work."""
        self.silent |= self.server.connections

    async def set_down(self, is_down):
        self.is_down = is_down
        async with self.changed:
            self.changed.notify_all()

    async def reply(self, writer, data):
        if writer in self.silent:
            await asyncio.Event().wait()
        writer.write(json_reply(503, {}) if self.is_down else data)

    async def handle(self, request, _, writer):
        if writer in self.silent:
            await asyncio.Event().wait()
        if self.is_down:
            writer.write(json_reply(503, {}))
            return
        topic = request.query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if request.path == "/log-append":
            size = request.body[4]
            key = request.body[5:5 + size].decode()
            offset = await self.put(topic, key, request.body[5 + size:])
            await self.reply(writer, json_reply(200, {"offset": offset, "end": offset + 1}))
        elif request.path == "/log-newest":
            newest = {key: (offset, data) for offset, (key, data) in enumerate(records)}
            items = [{"key": key, "offset": offset, "value": base64.b64encode(data).decode()}
                     for key, (offset, data) in sorted(newest.items()) if data]
            await self.reply(writer, json_reply(200, {"items": items, "hasMore": False,
                                                      "end": len(records)}))
        elif request.path == "/log-read":
            await self.read(records, request.query, writer)
        else:
            await self.reply(writer, json_reply(404, {}))

    async def read(self, records, query, writer):
        first = int(query["from"])
        with contextlib.suppress(asyncio.TimeoutError):
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.is_down or
                                                             len(records) > first),
                                       int(query.get("waitMs", 0)) / 1000 + 0.001)
        body = struct.pack(">QQ", len(records), 0)
        for key, data in records[first:]:
            content = bytes([len(key)]) + key.encode() + data
            body += struct.pack(">I", len(content)) + content
        await self.reply(writer, encode_reply(200, [("Content-Type", "application/octet-stream")],
                                              body))


class Stream:
    """A request for a stream at an engine."""

    def __init__(self, engine, request, reader, writer):
        self.engine, self.reader, self.writer = engine, reader, writer
        headers = request.headers
        self.id = headers["medlaryoke-request-id"]
        self.prompt_left = int(headers["medlaryoke-token-usage"].split(",")[0])
        self.next_event = int(headers.get("last-event-id", 0)) + 1
        self.last_event = json.loads(request.body)["events"]
        self.deadline = time.monotonic() + int(headers["medlaryoke-deadline-ms"]) / 1000
        self.has_begun = False
        self.ended = asyncio.get_running_loop().create_future()

    def has_left(self):
        return self.reader.at_eof() or self.writer.is_closing()

    def end(self):
        if not self.ended.done():
            self.ended.set_result(None)

    def refuse(self, culprit):
        """States that the request did not run."""
        self.writer.write(encode_reply(503, [("Medlaryoke-Request-Id", self.id),
                                             ("Medlaryoke-Not-Executed", "1"),
                                             ("At-Server", culprit)]))
        self.end()

    def break_off(self):
        self.writer.transport.abort()
        self.end()

    def send_event(self):
        if not self.has_begun:
            self.has_begun = True
            self.engine.runs.append((time.monotonic(), self.id))
            self.writer.write((f"HTTP/1.1 200 OK\r\nMedlaryoke-Request-Id: {self.id}\r\n"
                               f"Medlaryoke-Server-Stamp: {self.engine.id}.{self.id}\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n").encode())
        event = f"id: {self.next_event}\ndata: {self.id} {self.next_event}\n\n".encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.next_event += 1
        if self.next_event > self.last_event:
            self.writer.write(b"0\r\n\r\n")
            self.end()


class Engine:
    """One rank of the group."""

    def __init__(self, group, rank):
        self.group, self.rank = group, rank
        self.host = loopback(20 + rank)
        self.address = f"{self.host}:{ENGINE_PORT}"
        self.running, self.queue = [], []
        self.runs = []  # (time, request id) of the streams that began
        self.server = Server(self.handle)
        self.id = None
        self.born = 0

    async def start(self):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        await self.server.start(self.host, ENGINE_PORT)

    def crash(self):
        self.server.crash()
        for stream in self.running + self.queue:
            stream.end()
        self.running, self.queue = [], []

    def entry(self):
        return {"service": "pearl-assistant", "address": self.address,
                "zone": ZONES[self.rank % len(ZONES)], "version": 1, "slots": self.group.SLOTS,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": self.born,
                "size": self.group.RANKS,
                "group": {"name": "g", "epoch": self.group.epoch, "rank": self.rank,
                          "state": "open" if self.group.is_open else "broken"}}

    async def handle(self, request, reader, writer):
        if request.path == "/report":
            writer.write(json_reply(200, self.report()))
        elif request.path == "/picked":
            writer.write(json_reply(200, {"step": self.group.step, "epoch": self.group.epoch,
                                          "counts": self.group.counts(),
                                          "map": self.group.held_experts(self.rank)}))
        elif request.path == "/order":
            self.group.orders += 1
            writer.write(json_reply(409, {}))
        elif request.headers.get("medlaryoke-expect-instance") != self.id:
            writer.write(encode_reply(421, [("Medlaryoke-Not-Executed", "1")]))
        else:
            await self.run(request, reader, writer)

    def report(self):
        group = self.group
        return {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 0, "queued": len(self.queue),
                "running": len(self.running), "kvUsed": 0, "kvTotal": 494000, "handles": 0,
                "step": group.step, "map": 0, "pace": group.slowness(self.rank), "born": self.born,
                "group": {"name": "g", "epoch": group.epoch, "rank": self.rank,
                          "state": "open" if group.is_open else "broken"}, "size": group.RANKS}

    async def run(self, request, reader, writer):
        stream = Stream(self, request, reader, writer)
        if len(self.queue) >= self.group.QUEUE:
            stream.refuse(self.id)
            return
        self.queue.append(stream)
        self.group.work.set()
        if not self.group.is_open:
            self.group.stall_later([stream])
        await stream.ended


class EngineGroup:
    """Engines in lock step: each pass lasts as long as the slowest rank needs for it."""

    RANKS, SLOTS, QUEUE = 16, 12, 24
    STEP_MS, PER_SEQUENCE_MS, STRIDE = 4.84, 0.362, 6
    READ_PER_MS, CHUNK = 74.8, 512
    STALL_S, FORM_S = 1.5, 0.6
    SETS, EXPERTS, PLACEMENTS = 4, 64, 5

    def __init__(self, store):
        self.store = store
        self.epoch, self.step, self.orders = 1, 0, 0
        self.is_open = True
        self.slow_ranks, self.slow_factor = 0, 1
        self.work = asyncio.Event()
        self.passes = None  # the task that runs the passes
        self.engines = [Engine(self, rank) for rank in range(self.RANKS)]

    async def start(self):
        for engine in self.engines:
            await engine.start()
            await self.store.put("keyed.servers", engine.id, engine.entry())
        self.passes = asyncio.get_running_loop().create_task(self.run_passes())

    def service(self):
        """Returns the service as the operator's configuration describes it."""
        return {"name": "pearl-assistant", "healthPath": "/health", "maxConnections": 258,
                "protocol": "h1", "tls": False,
                "engine": {"slots": self.SLOTS, "kvCapacityTokens": 494000, "stride": self.STRIDE,
                           "step_ms": self.STEP_MS, "per_seq_ms": self.PER_SEQUENCE_MS,
                           "context_per_k": 0.011, "read_per_s": self.READ_PER_MS * 1000,
                           "pairs_per_m": 0.232, "chunk": self.CHUNK, "report_lag_ms": 200.0,
                           "usual": {"prompt": 835, "answer": 158}, "sets": self.SETS,
                           "experts": self.EXPERTS, "placements": self.PLACEMENTS, "spare": 2,
                           "expertMb": 2500.0, "linkMbps": 180000.0, "expertShare": 0.85,
                           "form_ms": self.FORM_S * 1000}}

    def mean_running(self):
        return sum(len(it.running) for it in self.engines) / self.RANKS

    def slowness(self, rank):
        return self.slow_factor if rank < self.slow_ranks else 1

    def counts(self):
        """Returns how often each expert was chosen; all are liked alike."""
        return [self.step * 100] * (self.SETS * self.EXPERTS)

    def held_experts(self, rank):
        """Returns what a rank holds with map 0, which assigns experts in turn."""
        experts = [it for it in range(self.EXPERTS) if it % self.RANKS == rank]
        return {"version": 0, "experts": [experts] * self.SETS}

    async def run_passes(self):
        while True:
            await self.work.wait()
            if not self.is_open:
                await asyncio.sleep(0.01)
                continue
            epoch = self.epoch
            prompts = [self.admit(engine) for engine in self.engines]
            if not any(engine.running for engine in self.engines):
                self.work.clear()
                continue
            self.step += 1
            await asyncio.sleep(max(self.pass_time(engine, tokens) for engine, tokens
                                    in zip(self.engines, prompts, strict=True)))
            if self.is_open and epoch == self.epoch:
                for engine in self.engines:
                    self.end_pass(engine)

    def admit(self, engine):
        """Fills the slots of an engine; returns the prompt tokens that it reads in this pass."""
        now = time.monotonic()
        for stream in [it for it in engine.queue if it.deadline < now]:
            stream.refuse(engine.id)
        engine.queue = [it for it in engine.queue if not it.ended.done() and not it.has_left()]
        while engine.queue and len(engine.running) < self.SLOTS:
            engine.running.append(engine.queue.pop(0))
        budget = self.CHUNK * self.STRIDE
        for stream in engine.running:
            tokens = min(stream.prompt_left, budget)
            stream.prompt_left -= tokens
            budget -= tokens
        return self.CHUNK * self.STRIDE - budget

    def pass_time(self, engine, tokens):
        steps = self.STRIDE * (self.STEP_MS + self.PER_SEQUENCE_MS * len(engine.running))
        return (steps + tokens / self.READ_PER_MS) / 1000 * self.slowness(engine.rank)

    @staticmethod
    def end_pass(engine):
        now = time.monotonic()
        for stream in engine.running:
            if stream.has_left():
                stream.end()
            elif stream.deadline < now:
                stream.break_off()
            elif stream.prompt_left == 0:
                stream.send_event()
        engine.running = [it for it in engine.running if not it.ended.done()]

    def stall_later(self, streams):
        asyncio.get_running_loop().call_later(self.STALL_S, self.end_stalled, streams)

    @staticmethod
    def end_stalled(streams):
        for stream in streams:
            if stream.ended.done():
                continue
            if stream.has_begun:
                stream.break_off()
            else:
                stream.refuse(stream.engine.id)
            for queue in (stream.engine.running, stream.engine.queue):
                if stream in queue:
                    queue.remove(stream)

    async def crash_rank(self, rank, down_s):
        """Crashes one engine: all ranks stall; the group forms anew when the engine is back."""
        engine = self.engines[rank]
        self.is_open = False
        old_id = engine.id
        engine.crash()
        self.stall_later([it for other in self.engines for it in other.running + other.queue])
        expiry_s = 3 * HEARTBEAT_MS / 1000
        await asyncio.sleep(min(expiry_s, down_s))
        await self.store.put("keyed.servers", old_id, b"")
        await asyncio.sleep(max(down_s - expiry_s, 0))
        await engine.start()
        await asyncio.sleep(self.FORM_S)
        self.epoch += 1
        self.is_open = True
        self.work.set()
        for other in self.engines:
            await self.store.put("keyed.servers", other.id, other.entry())


class PlainEngine:
    """An engine of a plain service: answers after its working time."""

    SLOTS = 6

    def __init__(self, index, service="order-desk"):
        self.service = service
        self.runs = []  # (time, request id)
        self.is_leaving = False  # says so in all answers
        self.leaving_answers = set()  # ids of requests that got such an answer
        self.host = loopback(60 + index)
        self.address = f"{self.host}:{ENGINE_PORT}"
        self.zone = ZONES[index % len(ZONES)]
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.server = Server(self.handle)

    async def start(self, store):
        await self.server.start(self.host, ENGINE_PORT)
        await self.write_entry(store)

    async def write_entry(self, store):
        await store.put("keyed.servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": 1,
            "slots": self.SLOTS, "state": "draining" if self.is_leaving else "ready",
            "coldRemainingMs": 0, "sequence": 1, "born": self.born})

    async def handle(self, request, _, writer):
        if request.headers.get("medlaryoke-expect-instance") != self.id:
            writer.write(encode_reply(421, [("Medlaryoke-Not-Executed", "1")]))
            return
        request_id = request.headers["medlaryoke-request-id"]
        async with self.slots:
            self.runs.append((time.monotonic(), request_id))
            await asyncio.sleep(0.03)
        headers = [("Medlaryoke-Request-Id", request_id),
                   ("Medlaryoke-Server-Stamp", f"{self.id}.{request_id}")]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
            self.leaving_answers.add(request_id)
        writer.write(encode_reply(200, headers, request_id.encode() + b"." * 780))


class Process:
    """A program of the project in a process of its own, with its settings and its log."""

    def __init__(self, folder, name, words, settings):
        self.name = name
        self.log_path = folder / f"{name}.log"
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {**os.environ, "MEDLARYOKE_NODE_FILE": str(path)}
        with open(self.log_path, "wb") as log:
            self.handle = subprocess.Popen([str(BINARY), *words], stdin=subprocess.DEVNULL,
                                           stdout=log, stderr=subprocess.STDOUT, env=environment,
                                           start_new_session=True)

    def kill(self):
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGKILL)
        self.handle.wait()


def machine_settings(name, address, zone, store, seeds):
    """Returns the settings that machines of both classes share."""
    return {"nodeName": name, "ip": address, "zone": zone, "region": "oslo",
            "zones": {it: "oslo" for it in ZONES}, "internalPortRange": INTERNAL_PORTS,
            "seeds": seeds, "bootstrap": True, "inFaultBudget": False, "dataDir": None,
            "discovery": "platform", "entry": "directory", "heartbeatMs": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "log", "writesPerS": 400,
                         "readsPerS": 2000, "parts": 12, "keep_s": 300, "minTtlMs": 1000}}


class Gateways:
    """The gateways of the deployment, as its deploy file runs them."""

    def __init__(self, folder, store, count=4):
        self.folder, self.store = folder, store
        self.hosts = [loopback(1 + index) for index in range(count)]
        self.processes = [None] * count

    def start(self, index):
        host = self.hosts[index]
        seeds = [f"{it}:{CONTROL_PORT}" for it in self.hosts[:3]]
        settings = machine_settings(f"edge-{index + 1}", host, ZONES[index % len(ZONES)],
                                    self.store, seeds)
        settings["serves"] = ["edge", "control", "directory"]
        settings["listen"] = {"front": f"{host}:{FRONT_PORT}",
                              "readiness": f"{host}:{READINESS_PORT}",
                              "directory": f"{host}:{DIRECTORY_PORT}",
                              "control": f"{host}:{CONTROL_PORT}"}
        self.processes[index] = Process(self.folder, f"edge-{index + 1}", ["gateway", "--metrics-port", str(METRICS_PORT)],
                                        settings)

    async def wait_ready(self, timeout_s=15):
        """Returns whether all gateways became ready in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            replies = [await self.is_ready(host) for host in self.hosts]
            if all(replies):
                return True
            await asyncio.sleep(0.1)
        return False

    @staticmethod
    async def is_ready(host):
        try:
            reader, writer = await asyncio.open_connection(host, READINESS_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Kind:
    """A kind of requests, as the deployment's table describes it."""

    def __init__(self, name, path, rate, deadline_ms, prompt=0, events=0, is_safe=False):
        self.name, self.path, self.rate, self.deadline_ms = name, path, rate, deadline_ms
        self.prompt, self.events, self.is_safe = prompt, events, is_safe

    def request(self, request_id, left_s, last_event):
        body = json.dumps({"events": self.events}).encode() if self.events else b"x" * 600
        lines = [f"{'GET' if self.is_safe else 'POST'} {self.path}item HTTP/1.1", f"Host: {HOST}",
                 f"Medlaryoke-Request-Id: {request_id}",
                 f"Medlaryoke-Deadline-Ms: {max(int(left_s * 1000), 1)}"]
        if self.events:
            lines += ["Medlaryoke-Model: m", f"Medlaryoke-Token-Usage: {self.prompt},158",
                      f"Medlaryoke-Prompt-Prefix: 5c1e{random.randrange(60):04x}:40,"
                      f"{random.getrandbits(32):08x}:{self.prompt - 40}"]
        if last_event:
            lines.append(f"Last-Event-Id: {last_event}")
        if self.is_safe:
            body = b""
        else:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Outcome:
    """What a caller saw of one request, over its attempts."""

    def __init__(self, kind, sent_at):
        self.kind, self.sent_at = kind, sent_at
        self.served = False
        self.attempts = []  # (request id, gateway, what came of it)


class Callers:
    """Clients that ask the directory, send requests at the given rates and repeat them once."""

    GAP_S = 2.0  # after a longer pause, also before the first event, a client gives a stream up

    def __init__(self, gateways, kinds):
        self.gateways, self.kinds = gateways, kinds
        self.addresses = []
        self.outcomes = []
        self.served_at = {}  # by request id
        self.factor = 1.0  # multiplies all rates

    async def follow_directory(self):
        while True:
            for host in random.sample(self.gateways.hosts, len(self.gateways.hosts)):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError,
                                         asyncio.TimeoutError, KeyError):
                    self.addresses = await asyncio.wait_for(self.resolve(host), 1)
                    break
            await asyncio.sleep(2)

    @staticmethod
    async def resolve(host):
        reader, writer = await asyncio.open_connection(host, DIRECTORY_PORT)
        writer.write(f"GET /resolve?name={HOST}&region=oslo&zone=oslo-a HTTP/1.1\r\n"
                     f"Host: {HOST}\r\n\r\n".encode())
        _, _, body = await read_message(reader)
        writer.close()
        return json.loads(body)["addresses"]

    async def send_all(self, kind, end):
        loop = asyncio.get_running_loop()
        tasks = set()
        while time.monotonic() < end:
            await asyncio.sleep(random.expovariate(kind.rate * self.factor))
            task = loop.create_task(self.send(kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    async def send(self, kind):
        outcome = Outcome(kind, time.monotonic())
        self.outcomes.append(outcome)
        deadline = outcome.sent_at + kind.deadline_ms / 1000
        last_event = 0
        for _ in range(2):
            if not self.addresses:
                return
            address = random.choice(self.addresses)
            request_id = f"{random.getrandbits(64):016x}"
            result, wait_s, last_event = await self.attempt(kind, address, request_id, deadline,
                                                            last_event)
            outcome.attempts.append((request_id, address, result))
            if result == "served":
                outcome.served = True
                self.served_at[request_id] = time.monotonic()
                return
            may_repeat = result in ("429", "503", "408", "421") or kind.events or kind.is_safe
            if not may_repeat or time.monotonic() + wait_s >= deadline:
                return
            await asyncio.sleep(wait_s)

    async def attempt(self, kind, address, request_id, deadline, last_event):
        """Returns what came of it, the time to wait before the next attempt, and the last event."""
        host, port = address.rsplit(":", 1)
        left_s = deadline - time.monotonic()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(kind.request(request_id, left_s, last_event))
            wait_s = min(left_s, self.GAP_S) if kind.events else left_s
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), wait_s)).decode()
            status = head.split(" ", 2)[1]
            lines = dict(it.lower().split(": ", 1) for it in head.split("\r\n")[1:] if ": " in it)
            if status != "200":
                after = min(float(lines.get("retry-after", 0)), left_s / 3)
                return status, after, last_event
            if not kind.events:
                body = await reader.readexactly(int(lines["content-length"]))
                is_own = body.startswith(request_id.encode())
                return "served" if is_own else "wrong body", 0, last_event
            while time.monotonic() < deadline:
                size = int(await asyncio.wait_for(reader.readline(), self.GAP_S) or b"-1", 16)
                if size < 0:
                    return "cut", 0, last_event
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return ("served" if last_event == kind.events else "short"), 0, last_event
                for line in data.split(b"\n"):
                    if line.startswith(b"id: "):
                        last_event = int(line[4:])
            return "deadline", 0, last_event
        except asyncio.TimeoutError:
            return "given up", 0, last_event
        except (OSError, asyncio.IncompleteReadError):
            return "cut", 0, last_event
        finally:
            if writer:
                writer.transport.abort()
