"""A small deployment on loopback for the scripts of the third review: the project's own gateway and
rank-agent as processes, and stand-ins for the platform's store, the engines and the clients."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
BINARY = REPOSITORY / "target" / "Source" / "commands" / "medlaryoke"
HOST = "shops.example"
KEY = "n2ctnfzs989anu6wsjnb"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


class CannotRun(Exception):
    """The deployment could not be started, so the case says nothing."""


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.lines.append(f"{self.now():8.3f} s  {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads the head and the body of one HTTP message; returns the first line, the headers with
    names in lower case, and the body. Returns None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def encode_answer(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server; answer() of a subclass gets each request."""

    def __init__(self, ip):
        self.ip = ip
        self.address = f"{ip}:{free_port(ip)}"
        self.listener = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip,
                                                   int(self.address.rsplit(":", 1)[1]))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ", 2)
                if not await self.answer(method, target, message[1], message[2], writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):  # the loop may have ended
                writer.close()

    async def answer(self, method, target, headers, body, writer):
        """Answers one request; returns whether the connection is kept."""
        raise NotImplementedError

    def reset_all(self):
        """Ends as a killed process does: no new connections, and the open ones are reset."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            reset(writer)


def reset(writer):
    """Closes a connection with a reset."""
    own = writer.get_extra_info("socket")
    if own is not None:
        with contextlib.suppress(OSError):
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Topic:
    def __init__(self):
        self.records = []  # (key, value), with the offset as index
        self.newest = {}  # key -> (value, offset)
        self.grown = asyncio.Event()

    def append(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """The platform's store: keyed topics of one partition. Each process reaches it through a door
    of its own."""

    def __init__(self):
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        text = json.dumps(value).encode() if value is not None else b""
        return self.topic(name).append(key, text)


class Door(Server):
    """One process's way to the store."""

    def __init__(self, ip, store):
        super().__init__(ip)
        self.store = store

    async def answer(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        topic = self.store.topic(asked.get("topic", ""))
        kind = {"Content-Type": "application/json"}
        if path == "/log-newest":
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(topic.newest.items())
                     if key > asked.get("after", "")]
            answer = encode_answer(200, kind, json.dumps(
                {"items": items, "hasMore": False, "end": len(topic.records)}).encode())
        elif path == "/log-read":
            start = int(asked["from"])
            if len(topic.records) <= start and int(asked.get("waitMs", 0)) > 0:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(topic.grown.wait(), int(asked["waitMs"]) / 1000)
            content = struct.pack(">QQ", len(topic.records), 0)
            for key, value in topic.records[start:]:
                named = bytes([len(key)]) + key.encode() + value
                content += struct.pack(">I", len(named)) + named
            answer = encode_answer(200, {}, content)
        elif path == "/log-append":
            first = len(topic.records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                key = record[1:1 + record[0]].decode()
                topic.append(key, record[1 + record[0]:])
            answer = encode_answer(200, kind, json.dumps(
                {"offset": first, "end": len(topic.records)}).encode())
        else:
            answer = encode_answer(404, {})
        writer.write(answer)
        await writer.drain()
        return True


class Engine(Server):
    """An engine of a service without experts. It runs a request for `work` seconds; on streaming
    routes it then sends `events` events."""

    def __init__(self, site, service, name, ip, work=0.03, events=0, gap=0.02, slots=12):
        super().__init__(ip)
        self.site, self.service, self.name = site, service, name
        self.work, self.events, self.gap, self.slots = work, events, gap, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = {}  # request id -> number of runs
        self.running = 0

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "local-a",
                "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    def report(self, state="ready"):
        self.site.store.put("keyed.servers", self.name, self.entry(state))
        self.site.record.note(f"{self.name} is {state} in the store")

    def leave(self):
        self.site.store.put("keyed.servers", self.name, None)
        self.site.record.note(f"{self.name} has left the store's list")

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("medlaryoke-request-id", "")
        echo = {"Medlaryoke-Request-Id": request, "Medlaryoke-Instance-Id": self.name}
        if headers.get("medlaryoke-expect-instance", self.name) != self.name:
            writer.write(encode_answer(421, {**echo, "Medlaryoke-Not-Executed": "1"}))
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        self.site.record.note(f"{self.name} runs {request} ({method} {target})")
        self.running += 1
        try:
            await asyncio.sleep(self.work)
            stamp = {**echo, "Medlaryoke-Server-Stamp": f"{self.name}.{request}"}
            if not self.events:
                writer.write(encode_answer(200, stamp, f"{self.name} {request}\n".encode()))
            else:
                text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "".join(
                    f"{name}: {value}\r\n" for name, value in stamp.items())
                writer.write((text + "Transfer-Encoding: chunked\r\n\r\n").encode())
                for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                    event = f"id: {number}\ndata: {request} {number}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    await asyncio.sleep(self.gap)
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        self.site.record.note(f"{self.name} has answered {request}")
        return True


class Process:
    """A process of the project. It is ended only by its own process id."""

    def __init__(self, name, words, settings, folder):
        self.name, self.words, self.folder = name, words, folder
        self.file = folder / f"{name}.json"
        self.file.write_text(json.dumps(settings))
        self.handle = None

    def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.handle = subprocess.Popen(
                [str(BINARY), *self.words], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "MEDLARYOKE_NODE_FILE": str(self.file)})

    def signal(self, number):
        if self.handle.poll() is None:
            self.handle.send_signal(number)

    def end(self):
        if self.handle and self.handle.poll() is None:
            self.handle.send_signal(signal.SIGCONT)
            self.handle.kill()
            self.handle.wait()


class Gateway(Process):
    def __init__(self, site, number, ip):
        self.ip = ip
        ports = {name: f"{ip}:{free_port(ip)}"
                 for name in ("front", "readiness", "control", "directory")}
        self.front, self.readiness, self.directory = (
            ports["front"], ports["readiness"], ports["directory"])
        self.door = Door(ip, site.store)
        settings = site.settings(f"edge-local-a-{number}", ip)
        settings.update({"machineClass": "edge", "serves": ["edge", "control", "directory"],
                         "listen": ports, "seeds": [f"{it}:1" for it in site.gateway_ips()],
                         "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 520, "maxFds": 8200}})
        settings["platform"]["address"] = self.door.address
        super().__init__(f"edge-{number}", ["gateway"], settings, site.folder)


class Site:
    """The whole deployment; a context in which the processes run."""

    def __init__(self, record, gateways=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="medlaryoke-review-"))
        self.store = Store()
        self.port_range = [free_port("127.0.0.1")] * 2
        self.count = gateways
        self.gateways = []
        self.engines = []
        self.processes = []

    def gateway_ips(self):
        return [f"127.0.1.{n}" for n in range(1, self.count + 1)]

    def settings(self, name, ip):
        return {"nodeName": name, "role": "role", "ip": ip, "zone": "local-a", "region": "local",
                "zones": {"local-a": "local"}, "internalPortRange": self.port_range,
                "bootstrap": True, "dataDir": None, "discovery": "platform", "entry": "directory",
                "heartbeatMs": 1200,
                "bounds": {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8,
                           "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                           "retryBudgetExtra": 94, "recoveryS": 12, "fencingRequired": True},
                "platform": {"form": "log", "writesPerS": 400, "readsPerS": 2000}}

    async def start(self, engines, config):
        if not BINARY.exists():
            raise CannotRun("the build of the deploy file is missing")
        self.store.put("keyed.op", "config", config)
        for engine in engines:
            await engine.start()
            engine.report()
        self.engines = engines
        for number, ip in enumerate(self.gateway_ips(), 1):
            gateway = Gateway(self, number, ip)
            await gateway.door.start()
            self.gateways.append(gateway)
            self.processes.append(gateway)
            gateway.start()
        deadline = time.monotonic() + 15
        while not all([await self.is_ready(it) for it in self.gateways]):
            if time.monotonic() > deadline:
                raise CannotRun("the gateways are not ready")
            await asyncio.sleep(0.1)
        self.record.note("all gateways are ready")

    async def is_ready(self, gateway):
        answer = await fetch(gateway.readiness, "GET", "/ready", {}, timeout=1)
        return answer.status == 200

    def end(self):
        for process in self.processes:
            process.end()
        for server in [*self.engines, *(it.door for it in self.gateways)]:
            server.reset_all()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False, problem=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.problem = complete, problem


async def fetch(address, method, target, headers, body=b"", timeout=10.0):
    """Sends one request on a connection of its own."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            text = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in headers.items())
            if body or method != "GET":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write((text + "\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return Answer(problem="the connection ended without a whole answer")
            return Answer(int(message[0].split(" ")[1]), message[1], message[2], True)
    except asyncio.TimeoutError:
        return Answer(problem="no answer in time")
    except OSError as e:
        return Answer(problem=f"no connection: {e.strerror}")
    finally:
        if writer:
            writer.close()


def route(name, kind, service, timeout_ms, **more):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 400, "priority": 0, "service": service,
            "maxAttempts": 2, "public": False, **more}


def config(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "shop-one", "apiKeys": [KEY], "priority": 1}]}
