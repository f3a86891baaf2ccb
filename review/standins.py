"""Stand-ins for a review case: the platform's store, servers, clients and the
start of entry instances. Everything runs on loopback addresses in one asyncio
loop; only the entry instances are processes of their own.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Where these pages are silent,
a stand-in behaves like a sound server, client or platform.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "laburnumdyked")
TEMPLATE = os.path.join(ROOT, "deploy", "entry.ini.template")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
IDLE_S = 10.0  # after which a server closes an idle connection
BORN = int(time.time() * 1000)


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()


def loopback_ip():
    """A loopback address for one machine, so that its fixed ports are free."""
    return "127.%d.%d.%d" % (random.randint(16, 250), random.randint(1, 250),
                             random.randint(1, 250))


def free_ports(ip, count):
    """Different free ports of an address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


async def read_head(reader):
    """Returns (first line, headers) or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: rows, the feed of changes and transactions."""

    def __init__(self):
        self.rows = {}  # (table, key) -> (value, ver)
        self.log = []  # every change in order: (ver, table, key, value or None)
        self.ver = 0
        self.silent = False  # in an outage: takes calls and answers none
        self.changed = asyncio.Event()
        self.began = time.monotonic()

    async def start(self):
        self.ip = "127.0.0.1"
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.ip, self.port)

    def put(self, table, key, value):
        self.ver += 1
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.rows[(table, key)] = (value, self.ver)
        self.log.append((self.ver, table, key, value))
        self.wake()

    def remove(self, table, key):
        if (table, key) in self.rows:
            self.ver += 1
            del self.rows[(table, key)]
            self.log.append((self.ver, table, key, None))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            head = await read_head(reader)
            if head is None:
                return
            body = await read_body(reader, head[1])
            method, target, _ = head[0].split(" ")
            if self.silent:
                await reader.read()  # until the caller gives up
                return
            status, answer = await self.answer(method, target, body)
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\nConnection: close\r\n\r\n"
                         % (status, len(text)) + text)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/laburnumdyke/rows-get":
            return 200, self.page(query)
        if url.path == "/laburnumdyke/rows-feed":
            return 200, await self.feed(query)
        if url.path == "/laburnumdyke/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    def text(self, table, key, entry):
        return {"table": table, "part": "", "key": key, "ver": entry[1],
                "value": base64.b64encode(entry[0]).decode()}

    def with_time(self, answer):
        answer["ver"] = self.ver
        answer["now-ms"] = int((time.monotonic() - self.began) * 1000)
        return answer

    def page(self, query):
        rows = [self.text(t, k, e) for (t, k), e in sorted(self.rows.items())
                if t == query["table"] and k >= query.get("from", "")]
        return self.with_time({"rows": rows[:500],
                               "truncated": len(rows) > 500})

    def changes(self, table, after):
        """The changes in order, also several of one row."""
        return [{"table": t, "part": "", "key": k, "ver": v, "removed": True}
                if value is None else self.text(t, k, (value, v))
                for v, t, k, value in self.log if t == table and v > after]

    async def feed(self, query):
        until = time.monotonic() + min(int(query.get("wait-ms", "0")),
                                       30000) / 1000
        while True:
            rows = self.changes(query["table"], int(query["after"]))
            left = until - time.monotonic()
            if rows or left <= 0 or self.silent:
                return self.with_time({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("expected-rev", []):
            known = self.rows.get((row["table"], row["key"]), (b"", 0))
            if known[1] != row["ver"]:
                return 412, self.with_time({"rows": []})
        for row in call.get("put-rows", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("delete-rows", []):
            self.remove(row["table"], row["key"])
        return 200, self.with_time({})


class Server:
    """A server of a service: slots, a queue, a registration that it renews.

    The time that a request takes is in its header X-Work-Ms.
    """

    def __init__(self, store, record, ident, service, zone, slots=3, queue=9):
        self.store, self.record = store, record
        self.ident, self.service, self.zone = ident, service, zone
        self.slots, self.queue = slots, queue
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.runs = {}  # request id -> [begin, end or None]
        self.arrivals = []  # (time, request id)
        self.writers = set()
        self.verbose = True

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.register()
        self.beat = asyncio.ensure_future(self.heartbeat())

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.ident, {
            "address": "127.0.0.1:%d" % self.port, "born": BORN,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "cold-left-ms": 0}})

    async def heartbeat(self):
        """Registers again if the entry has lapsed; otherwise no row changes."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))
            if not self.store.silent and (
                    ("servers", self.ident) not in self.store.rows):
                self.register()

    def drain(self):
        self.state = "draining"
        self.register()

    def leave(self):
        """Ends: takes its entry away and closes its connections."""
        self.beat.cancel()
        self.store.remove("servers", self.ident)
        self.listener.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        try:
            head = await asyncio.wait_for(read_head(reader), IDLE_S)
        except asyncio.TimeoutError:
            return False
        if head is None:
            return False
        headers = head[1]
        body = await read_body(reader, headers)
        ident = headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), ident))
        if headers.get("x-target-instance", self.ident) != self.ident:
            return await self.answer(writer, ident, 421, b"",
                                     "X-Instance-Id: %s\r\n" % self.ident)
        if self.waiting >= self.queue:
            return await self.answer(writer, ident, 503, b"",
                                     "X-Not-Executed: 1\r\n")
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[ident] = [time.monotonic(), None]
        if self.verbose:
            self.record("server %s runs %s (%s, %d bytes of body)"
                        % (self.ident, ident, head[0], len(body)))
        try:
            await asyncio.sleep(float(headers.get("x-work-ms", "10")) / 1000)
        finally:
            self.running -= 1
            self.free.release()
        self.runs[ident][1] = time.monotonic()
        if self.verbose:
            self.record("server %s has run %s" % (self.ident, ident))
        return await self.answer(writer, ident, 200, b"done\n",
                                 "X-Server-Stamp: s.%s\r\n" % self.ident)

    async def answer(self, writer, ident, status, body, more):
        load = "%d,%d,%d" % (self.running, self.waiting, self.slots)
        text = ("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Load: %s\r\n"
                "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n%s\r\n"
                % (status, ident, load, int(IDLE_S), len(body), more))
        writer.write(text.encode() + body)
        await writer.drain()
        return True


class Answer:
    def __init__(self, status=0, headers=None, body=b"", ended="complete"):
        self.status, self.headers = status, headers or {}
        self.body, self.ended = body, ended


class Connection:
    """One connection of a client, kept for several requests."""

    def __init__(self, record, name):
        self.record, self.name = record, name

    async def open(self, address):
        ip, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port), limit=1 << 20), 1.0)

    async def send(self, method, path, ident, deadline_ms, work_ms=10,
                   host="a.example", body=b"", object_key="", quiet=False):
        """Sends one request and waits for its answer until the deadline."""
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                "X-Deadline-Ms: %d\r\nX-Work-Ms: %d\r\n"
                % (method, path, host, ident, deadline_ms, work_ms))
        if object_key:
            head += "X-Affinity-Key: %s\r\n" % object_key
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        if not quiet:
            self.record("client %s sends %s (%s %s, %d bytes of body)"
                        % (self.name, ident, method, path, len(body)))
        try:
            answer = await asyncio.wait_for(
                self.exchange(head.encode() + b"\r\n", body),
                deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer = Answer(ended="no answer by the deadline")
        except (ConnectionError, asyncio.IncompleteReadError) as failure:
            answer = Answer(ended="closed (%s)" % type(failure).__name__)
        if not quiet or answer.status != 200:
            self.record("client %s got %s for %s: %s"
                        % (self.name, answer.status or "no answer", ident,
                           answer.ended))
        return answer

    async def exchange(self, head, body):
        self.writer.write(head + body)
        await self.writer.drain()
        first = await read_head(self.reader)
        if first is None:
            return Answer(ended="closed without an answer")
        status = int(first[0].split(" ")[1])
        return Answer(status, first[1], await read_body(self.reader, first[1]))

    def close(self):
        self.writer.close()


def route(name, kind, prefix, service, timeout_ms, target_ms=1000, priority=0):
    return {"name": name, "kind": kind, "target-latency-ms": target_ms,
            "priority": priority, "session-affinity": False,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout-ms": timeout_ms,
                       "max-attempts": 2, "home-regions": []}}


def config(rules, services, version=1):
    """A configuration with the limits of the pages' example."""
    clusters = [{"name": name, "health-path": "/healthz",
                 "max-connections": 660, "protocol": "h1", "tls": False,
                 "cold-start-s": 3.0, "cold-per-s": 3.6} for name in services]
    return {"version": version, "base-version": 0,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "listeners": [{"host": "a.example", "rules": rules}],
            "clusters": clusters}


def render(template, fields):
    """Fills in the placeholders and sections that the project's template has."""

    def value(name, scope):
        found = scope
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part, "")
        return str(found)

    def section(match):
        return "".join(match.group(2).replace("{{@}}", str(key))
                       .replace("{{.}}", str(entry))
                       for key, entry in fields[match.group(1)].items())

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda m: value(m.group(1), fields),
                  text)


class Machine:
    """An entry instance: a process of the deploy file on its own address."""

    MEMORY_MB = 182
    MAX_FDS = 2870
    BOUNDS = {"max-shift": 0.15, "cold-overshoot": 1.5, "cold-slack": 5,
              "retry-budget-ratio": 0.2, "retry-budget-extra": 112,
              "budget-window-s": 10, "drain-timeout-ms": 2000, "grace-s": 6,
              "ttl_max_s": 5}

    def __init__(self, store, record, folder, name, region, zone, zones):
        self.record, self.name = record, name
        self.ip = loopback_ip()
        ports = free_ports(self.ip, 6)
        self.front, self.ready, self.directory, control = [
            "%s:%d" % (self.ip, port) for port in ports[:4]]
        self.fields = {"node-name": name, "region": region, "zone": zone,
                       "zones": zones, "ip": self.ip,
                       "listen": {"front": self.front, "ready": self.ready,
                                  "directory": self.directory,
                                  "control": control},
                       "internal-ports": ports[4:],
                       "platform": {"address": store.address},
                       "bounds": dict(self.BOUNDS)}
        self.settings = os.path.join(folder, name + ".ini")
        self.log = os.path.join(folder, name + ".log")
        self.write_settings({})
        self.process = None

    def write_settings(self, bounds):
        """Fills in the template, with some bounds changed."""
        self.fields["bounds"].update(bounds)
        with open(TEMPLATE) as template, open(self.settings, "w") as out:
            out.write(render(template.read(), self.fields))

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--config", self.settings, cwd=ROOT, stdout=log,
                stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", "")},
                preexec_fn=self.limit)
        self.record("machine %s starts" % self.name)

    def limit(self):
        """The descriptors that the settings of the machine state."""
        import resource
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (self.MAX_FDS, self.MAX_FDS))

    async def is_ready(self):
        connection = Connection(lambda text: None, "platform")
        try:
            await connection.open(self.ready)
            answer = await connection.send("GET", "/laburnumdyke/readyz", "p",
                                           1000, quiet=True)
            connection.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                self.record("machine %s is ready" % self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("machine %s is not ready" % self.name)

    def signal(self, number):
        self.record("machine %s gets %s" % (self.name,
                                            signal.Signals(number).name))
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    pass


def run(folder, scenario):
    """Runs scenario(record, temporary folder, machines) and exits."""
    record = Record(folder)
    record("TROUBLE=%d" % TROUBLE)
    temporary = tempfile.mkdtemp(prefix="laburnumdyke-review-")
    machines = []

    async def whole():
        try:
            return await asyncio.wait_for(
                scenario(record, temporary, machines), 115)
        finally:
            for machine in machines:
                await machine.end()

    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/laburnumdyked is not built")
        # Not asyncio.run, which would wait for clients that are still at work.
        status = asyncio.new_event_loop().run_until_complete(whole())
    except (CannotRun, OSError, asyncio.TimeoutError) as failure:
        record("could not run: %r" % failure)
        status = COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record("exit %d" % status)
    record.file.close()
    sys.stdout.flush()
    os._exit(status)  # leaves the connections that are still open
