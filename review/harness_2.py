"""Stand-ins and helpers of the review's scripts: store, servers, clients, daemons.

Everything runs in one asyncio loop on loopback addresses, but for the daemons,
which are separate processes started with the command of the deploy file. The
stand-ins follow PROTOCOL.md. A case creates a `bench`, which owns a temporary
folder and ends every process that it started.
"""

import asyncio
import base64
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "laburnumdyked"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LONGEST_S = 110.0  # of a case

LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 67108864,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


class CannotRun(Exception):
    """The case could not be set up."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begin = time.monotonic()

    def now(self):
        return time.monotonic() - self._begin

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


async def read_head(reader):
    """Returns the first line and the headers (names in lower case)."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: rows-get, rows-feed and rows-tx."""

    def __init__(self):
        self.port = free_port()
        self.version = 1
        self.rows = {}  # (table, key) -> (value, version)
        self.changes = []  # (version, table, key, value or None)
        self.changed = asyncio.Condition()
        self.turned_away = set()  # ports of entrances that get 503
        self.away = False  # closes each connection unanswered
        self.era = None  # reported in Store-Era, if it is set
        self._servers = []

    async def start(self):
        await self.open_entrance(self.port)

    async def open_entrance(self, port):
        """A further address of the same store, for one machine."""

        async def serve(reader, writer):
            await self._serve(port, reader, writer)

        self._servers.append(await asyncio.start_server(serve, "127.0.0.1", port))

    async def put(self, table, key, value):
        await self._apply([(table, key, value)])

    async def drop(self, table, key):
        await self._apply([(table, key, None)])

    def copy(self):
        """A backup of this moment."""
        return self.version, dict(self.rows), list(self.changes)

    def restore(self, backup):
        """Comes back from a backup; versions are given out again."""
        self.version, self.rows, self.changes = backup
        self.era += 1

    async def _apply(self, writes):
        self.version += 1
        for table, key, value in writes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.changes.append((self.version, table, key, value))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, port, reader, writer):
        try:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            era = self.era
            if self.away:
                return
            if port in self.turned_away:
                status, answer = 503, {}
            else:
                status, answer = await self._answer(line, body)
            if self.away or self.era != era:
                return  # the call was cut off by the drill
            payload = json.dumps(answer).encode()
            stamp = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{stamp}"
                f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n".encode()
                + payload
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(one.partition("=")[::2] for one in query.split("&") if one)
        if method == "POST" and path == "/laburnumdyke/rows-tx":
            call = json.loads(body)
            writes = [
                (row["table"], row["key"], base64.b64decode(row["value"]))
                for row in call.get("put-rows", [])
            ]
            writes += [
                (row["table"], row["key"], None) for row in call.get("delete-rows", [])
            ]
            await self._apply(writes)
            return 200, self._stamp({})
        table = fields.get("table", "")
        if path == "/laburnumdyke/rows-get":
            rows = [
                self._row(table, key, value, version)
                for (of, key), (value, version) in sorted(self.rows.items())
                if of == table and key >= fields.get("from", "")
            ]
            return 200, self._stamp({"rows": rows, "truncated": False})
        if path == "/laburnumdyke/rows-feed":
            after = int(fields["after"])
            if after > self.version:
                return 410, {}
            rows = await self._feed(table, after, int(fields["wait-ms"]) / 1000)
            return 200, self._stamp({"rows": rows})
        return 404, {}

    async def _feed(self, table, after, wait):
        until = time.monotonic() + wait
        while True:
            rows = [
                self._row(table, key, value, version)
                for version, of, key, value in self.changes
                if of == table and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return rows
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _stamp(self, answer):
        answer["ver"] = self.version
        answer["now-ms"] = int(time.monotonic() * 1000)
        return answer


def config(version, routes, limits=None, tenants=None):
    """routes: (host, prefix, kind, service, timeout-ms, max-attempts)."""
    listeners = {}
    for number, (host, prefix, kind, service, timeout, attempts) in enumerate(routes):
        listeners.setdefault(host, []).append(
            {
                "name": f"r-{number}",
                "kind": kind,
                "target-latency-ms": 1200,
                "priority": 0,
                "session-affinity": True,
                "match": {"prefix": prefix},
                "action": {
                    "service": service,
                    "timeout-ms": timeout,
                    "max-attempts": attempts,
                    "home-regions": [],
                },
            }
        )
    clusters = [
        {
            "name": name,
            "health-path": "/healthz",
            "max-connections": 660,
            "protocol": "h1",
            "tls": False,
            "cold-start-s": 3.0,
            "cold-per-s": 3.6,
        }
        for name in sorted({route[3] for route in routes})
    ]
    whole = {
        "version": version,
        "limits": dict(LIMITS, **(limits or {})),
        "base-version": 0,
        "listeners": [
            {"host": host, "rules": rules} for host, rules in listeners.items()
        ],
        "clusters": clusters,
    }
    if tenants is not None:
        whole["tenants"] = tenants
    return json.dumps(whole).encode()


class Server:
    """A server of a service, registered in the store under its id."""

    HEARTBEAT = 1.5  # seconds

    def __init__(self, bench, name, service="bookings", zone="leinster-a", slots=3):
        self.bench = bench
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.port = free_port()
        self.state = "ready"
        self.work = 0.05  # seconds
        self.answer_bytes = 2
        self.runs = []  # (time, id)
        self.running = 0
        self.extra_headers = {}
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = None
        self._beats = None
        self._open = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=1000
        )
        await self.register()
        self._beats = asyncio.create_task(self._beat())

    async def register(self):
        self._sequence += 1
        entry = {
            "address": f"127.0.0.1:{self.port}",
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold-left-ms": 0,
            },
        }
        await self.bench.store.put("servers", self.name, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT)
            await self.register()

    async def end(self):
        """The process ends: its port is closed and its entry removed."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        await self.bench.store.drop("servers", self.name)

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def head(self, status, headers, length):
        fields = {
            "X-Request-Id": headers.get("x-request-id", ""),
            "X-Server-Load": f"{self.running},0,{self.slots}",
            "Content-Length": str(length),
        }
        fields.update(self.extra_headers)
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode()

    async def answer(self, line, headers, body, writer):
        if headers.get("x-target-instance", self.name) != self.name:
            writer.write(self.head("421 Misdirected Request", headers, 0))
            return
        request = headers.get("x-request-id", "")
        self.runs.append((self.bench.record.now(), request))
        self.bench.record.write(f"server {self.name} runs {request}: {line}")
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        payload = b"x" * self.answer_bytes
        self.extra_headers["X-Server-Stamp"] = f"stamp-{self.name}"
        writer.write(self.head("200 OK", headers, len(payload)) + payload)
        await writer.drain()


class Daemon:
    """One entry instance, with the settings that the template of the deploy file gives."""

    def __init__(self, bench, name, zone, store_port, extra=""):
        self.bench = bench
        self.name = name
        self.zone = zone
        self.store_port = store_port
        self.extra = extra
        self.ports = {
            key: free_port()
            for key in ("caller", "ready", "directory", "relay", "peer", "operator", "metrics")
        }
        self.process = None
        self.settings = bench.folder / f"{name}.ini"

    def write_settings(self):
        lines = [
            "[instance]",
            f"name = {self.name}",
            f"region = {self.zone.rsplit('-', 1)[0]}",
            f"failure_domain = {self.zone}",
            "workers = 1",
            "front = hosts",
            "[listen]",
        ]
        lines += [f"{key} = 127.0.0.1:{port}" for key, port in self.ports.items()]
        lines += ["[platform]", f"address = 127.0.0.1:{self.store_port}", "[domains]"]
        lines += [f"{zone} = {zone.rsplit('-', 1)[0]}" for zone in self.bench.zones]
        lines += [
            "[bounds]",
            "most_shift = 0.15",
            "cold_overshoot = 1.5",
            "cold_slack = 5",
            "repeat_ratio = 0.2",
            "repeat_extra = 112",
            "repeat_window = 10s",
            "drain_timeout = 2000ms",
            "grace = 6s",
            "longest_answer_life = 5s",
        ]
        self.settings.write_text("\n".join(lines) + "\n" + self.extra, encoding="utf-8")

    async def start(self, stdout=None, limits=None):
        self.write_settings()
        log = stdout
        if log is None:
            log = open(self.bench.folder / f"{self.name}.log", "ab")

        def set_limits():
            for kind, value in (limits or {}).items():
                resource.setrlimit(kind, (value, value))

        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM),
            "--config",
            str(self.settings),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=asyncio.subprocess.DEVNULL if stdout is not None else log,
            preexec_fn=set_limits,
        )
        self.bench.record.write(f"started {self.name}, process {self.process.pid}")

    async def await_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                status, _, _ = await call(
                    self.ports["ready"], "GET", "/laburnumdyke/readyz", {}, timeout=1
                )
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.bench.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def memory_kb(self):
        """Current and highest resident memory."""
        fields = dict(
            line.split(":", 1)
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        )
        return int(fields["VmRSS"].split()[0]), int(fields["VmHWM"].split()[0])


class Bench:
    def __init__(self, case_folder):
        self.case = pathlib.Path(case_folder)
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones = ["leinster-a", "leinster-b", "munster-a", "connacht-a"]
        self.store = Store()
        self.daemons = []
        self.servers = []

    async def add_server(self, *args, kind=Server, **fields):
        server = kind(self, *args, **fields)
        await server.start()
        self.servers.append(server)
        return server

    async def add_daemon(self, name, zone="leinster-a", store_port=None, extra="", **fields):
        daemon = Daemon(self, name, zone, store_port or self.store.port, extra)
        await daemon.start(**fields)
        self.daemons.append(daemon)
        return daemon

    async def close(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(port, method, target, headers, body=b"", timeout=10):
    """One request on a new connection. Returns status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            return await exchange_on(reader, writer, method, target, headers, body)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def exchange_on(reader, writer, method, target, headers, body=b""):
    fields = {"Host": "a.example"}
    fields.update(headers)
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
    await writer.drain()
    line, answer = await read_head(reader)
    payload = await read_body(reader, answer)
    return int(line.split(" ")[1]), answer, payload


def run_case(case_folder, play):
    """Runs play(bench), which returns whether the rule held, and exits."""

    async def whole():
        bench = Bench(case_folder)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            if not PROGRAM.exists():
                raise CannotRun(f"{PROGRAM.name} is not built")
            await bench.store.start()
            held = await asyncio.wait_for(play(bench), LONGEST_S)
            bench.record.write("held" if held else "BROKEN")
            return HELD if held else BROKEN
        except CannotRun as reason:
            bench.record.write(f"could not run: {reason}")
            print(f"could not run: {reason}")
            return COULD_NOT_RUN
        finally:
            await bench.close()

    try:
        status = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as failure:  # not the rule's fault
        print(f"could not run: {failure!r}")
        status = COULD_NOT_RUN
    sys.exit(status)
