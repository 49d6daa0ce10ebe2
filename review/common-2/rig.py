"""Stand-ins of the platform's store, engines and clients for the scripts of this review, and the processes of a case.

Standard library only. All sockets are on loopback. A stand-in keeps to the platform's pages; what a case makes it do
beside that is in the case's own file.
"""
import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def line(self, text):
        self.file.write(f"{self.now() * 1000:9.1f} ms  {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, headers and body; nothing at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        try:
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
                body += piece
        except (asyncio.IncompleteReadError, ValueError) as fault:
            raise asyncio.IncompleteReadError(body, None) from fault
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def response(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server; subclasses answer each request in serve(), one at a time on a channel."""

    def __init__(self):
        self.address = ""
        self.writers = set()

    async def listen(self, port=0):
        self.listener = await asyncio.start_server(self.on_channel, LOOPBACK, port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{self.port}"
        return self

    async def on_channel(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers = message
                body = await read_body(reader, headers)
                method, target = first.split(" ")[:2]
                if await self.serve(Request(method, target, headers, body), reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has left, or the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: keyed topics with long-polling reads."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Writes a record. An empty value drops the key."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.topics.setdefault(topic, []).append((key.encode(), text.encode()))
        self.changed.set()
        self.changed = asyncio.Event()

    def list_engine(self, engine, state="ready", **more):
        entry = {"service": engine.service, "address": engine.address, "zone": engine.zone, "version": engine.version,
                 "slots": engine.slots, "state": state, "cold-remaining-ms": 0, "sequence": 1, "born": engine.born}
        entry.update(more)
        entry = {field: value for field, value in entry.items() if value is not None}
        self.put("keyed.servers", engine.id, entry)

    async def serve(self, request, reader, writer):
        topic = request.query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if request.path == "/v1/log-newest":
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            items = [{"key-file": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items()) if value]
            after = request.query.get("after-revision", "")
            items = [item for item in items if item["key-file"] > after]
            writer.write(response(200, {"items": items[:500], "has-more": len(items) > 500, "end-offset": len(records)}))
        elif request.path == "/v1/log-read":
            start = int(request.query["from"])
            until = time.monotonic() + int(request.query.get("wait-ms", "0")) / 1000
            while len(records) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                body += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            writer.write(response(200, body))
        elif request.path == "/v1/log-append":
            first, body, at = len(records), request.body, 0
            while at < len(body):
                size, key = struct.unpack_from(">IB", body, at)
                records.append((body[at + 5:at + 5 + key], body[at + 5 + key:at + 4 + size]))
                at += 4 + size
            self.changed.set()
            self.changed = asyncio.Event()
            writer.write(response(200, {"offset": first, "end-offset": len(records)}))
        else:
            writer.write(response(404, {}))
        await writer.drain()


class Engine(Server):
    """Common part of all engines: identity, liveness and reports."""

    def __init__(self, record, service, name, zone="north", slots=8, version="v1"):
        super().__init__()
        self.record, self.service, self.id, self.zone, self.slots, self.version = record, service, name, zone, slots, version
        self.born = int(time.time() * 1000)

    async def serve(self, request, reader, writer):
        named = request.header("Roadferry-Target-Instance")
        carried = [("Roadferry-Attempt-Id", request.header("Roadferry-Attempt-Id"))] if request.header("Roadferry-Attempt-Id") else []
        if named and named != self.id:
            self.record.line(f"{self.id} answers 421: {request.target} names {named}")
            writer.write(response(421, {}, carried + [("Roadferry-Not-Executed", "1")]))
        elif request.path == "/healthz":
            writer.write(response(200, b"", [("Roadferry-Instance-Id", self.id)]))
        elif request.path == "/v1/report":
            writer.write(response(200, self.report()))
        else:
            return await self.run(request, reader, writer, carried)
        await writer.drain()
        return True

    def report(self):
        return {"queued": 0, "utilization": False, "free-mb": 1000, "born": self.born}

    async def run(self, request, reader, writer, carried):
        raise NotImplementedError


class Daemon:
    """A forwarding node: the program of the deploy file with settings as its template lays them out."""

    numbers = itertools.count(1)

    def __init__(self, record, folder, store_address, seeds=(), zone="north", more=()):
        self.record, self.name = record, f"node-{next(Daemon.numbers)}"
        self.http, self.readiness, self.peer = (f"{LOOPBACK}:{port}" for port in free_ports(3))
        self.flags = ["--adapter=platform", f"--failure_domain={zone}", f"--listen={self.http}",
                      f"--readiness_listen={self.readiness}", f"--peer_listen={self.peer}", f"--seeds={','.join(seeds)}",
                      f"--feed_address={store_address}", f"--peer_secret=nodes-at-{store_address}", "--threads=1",
                      "--connections=4100", "--drain_seconds=8", "--retry_share=0.2", "--retry_slack=54",
                      "--retry_window_seconds=10", "--changes_within_ms=2000", "--leaving_within_ms=2000",
                      "--processor_share=0.25", *more]
        self.settings = Path(folder) / f"{self.name}.flags"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self):
        self.settings.write_text("\n".join(self.flags) + "\n")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["ROADFERRY_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([str(ROOT / "target/roadferryd")], env=env, cwd=ROOT, stdout=log, stderr=log)
        self.record.line(f"{self.name} started: clients {self.http}, nodes {self.peer}")
        return self

    def signal(self, number):
        self.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.readiness, "GET", "/v1/readyz", timeout=1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    async def await_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} is not ready after {seconds} s")

    async def await_members(self, count, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answer = await call(self.readiness, "GET", "/metrics", timeout=1)
            if f"roadferry_live_nodes {count}\n".encode() in answer.body:
                return
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} does not know {count} nodes after {seconds} s")


class NotRun(Exception):
    """The case could not run."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((LOOPBACK, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def call(address, method, target, headers=(), body=b"", timeout=10.0):
    """One request on a channel of its own. An answer that ends early has whole = False; status 0: none at all."""
    host, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            given = dict(headers)
            given.setdefault("Host", address)
            lines += [f"{name}: {value}" for name, value in given.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return Answer(0, {}, b"", False)
            first, received = message
            status = int(first.split(" ")[1])
            try:
                return Answer(status, received, await read_body(reader, received, True), True)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError) as fault:
                return Answer(status, received, getattr(fault, "partial", b""), False)
        except ConnectionError:
            return Answer(0, {}, b"", False)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def run_case(folder, case):
    """Runs a case: a coroutine function with the record, a temporary folder and a list for what is to be ended."""
    record = Record(folder)
    to_end = []
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, to_end), 110))
            record.line("the rule was BROKEN" if broken else "the rule held")
            code = EXIT_BROKEN if broken else EXIT_HELD
        except (NotRun, OSError, asyncio.TimeoutError) as fault:
            record.line(f"the case could not run: {type(fault).__name__} {fault}")
        finally:
            for each in to_end:
                each.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(temporary).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    sys.exit(code)
