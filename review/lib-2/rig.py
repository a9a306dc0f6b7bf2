"""Stand-ins of the platform, replicas and clients for the scripts of the second review.

They follow PROTOCOL.md and DEPLOY.md and need only Python's standard library. Each of them listens on
a loopback address; the gateways are started as processes with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
HOST = "desk.example"
KEY = "key-of-red"
TENANT = "red"

HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_command():
    """The command of the role in the deploy file."""
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return next(iter(deploy["roles"].values()))["run"].split(" ")


def free_ports(count, consecutive=False):
    """Free loopback ports below those that the system gives to clients, so that they stay free."""
    while True:
        base = random.randrange(10_000, 32_000)
        numbers = range(base, base + count)
        if not consecutive:
            numbers = random.sample(range(10_000, 32_000), count)
        sockets = []
        try:
            for number in numbers:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    each = socket.socket(socket.AF_INET, kind)
                    sockets.append(each)
                    each.bind(("127.0.0.1", number))
            return list(numbers)
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        from urllib.parse import parse_qs, urlsplit

        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query, True).items()}


async def read_head(reader):
    """First line and headers of a message, in lower case; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return b""


def response(status, body=b"", headers=()):
    reasons = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server; `handle(request, writer)` writes the response."""

    def __init__(self, port, handle):
        self.port, self.handle = port, handle
        self.server = None
        self.was_started = False
        self.writers = set()

    async def start(self):
        self.was_started = True
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 20, backlog=512
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                if await self.handle(request, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self, reset=False):
        """Closes the port and all connections, as if the process had ended; with `reset`, abruptly."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if not reset:
                writer.close()
                continue
            sock = writer.get_extra_info("socket")
            if sock is not None:
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class Store:
    """The platform's store, of form table, and the usage endpoint."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.rows = {}
        self.log = []
        self.changed = asyncio.Event()
        self.usage = []
        self.era = 1
        self.compacted = 0
        self.port, self.cloud_port = free_ports(2)
        self.server = Server(self.port, self.handle)
        self.cloud = Server(self.cloud_port, self.handle_cloud)

    async def start(self):
        await self.server.start()
        await self.cloud.start()

    def write(self, table, key, document):
        """A row of the operator or of a replica; None removes it."""
        if self.server.server is None and self.server.was_started:
            return
        data = None if document is None else json.dumps(document).encode()
        self.apply([(table, key, data)])

    def apply(self, writes):
        self.version += 1
        for table, key, data in writes:
            if data is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (data, self.version)
            self.log.append((self.version, table, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """A copy, from which the store may come back."""
        return self.version, dict(self.rows)

    async def come_back(self, copy, away_s):
        """Is away for a moment and comes back from a copy, in the next era."""
        self.record("the store is away")
        self.server.stop(reset=True)
        await asyncio.sleep(away_s)
        (self.version, rows), self.log = copy, []
        self.rows, self.compacted = dict(rows), self.version
        self.era += 1
        await self.server.start()
        self.record(f"the store is back from a copy, era {self.era}")

    def row(self, table, key, data, version):
        row = {"Table": table, "part": "", "Key": key, "SchemaVersion": version}
        if data is None:
            row["Deleted"] = True
        else:
            row["Data"] = base64.b64encode(data).decode()
        return row

    def answer(self, writer, status, document):
        document = {**document, "SchemaVersion": self.version}
        document["NowMs"] = int(time.monotonic() * 1000)
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        writer.write(response(status, body, headers))

    async def handle(self, request, writer):
        query = request.query
        if request.path == "/rows-get":
            table, start = query["Table"], query.get("From", "")
            limit = int(query.get("Limit", 500))
            found = sorted(k for t, k in self.rows if t == table and k >= start)
            rows = [self.row(table, k, *self.rows[(table, k)]) for k in found[:limit]]
            self.answer(writer, 200, {"Rows": rows, "HasMore": len(found) > limit})
        elif request.path == "/rows-feed":
            table, since = query["Table"], int(query["SinceRevision"])
            until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
            if not self.compacted <= since <= self.version:
                return self.answer(writer, 410, {})
            while True:
                changed = self.changed
                rows = [
                    self.row(t, k, data, version)
                    for version, t, k, data in self.log
                    if t == table and version > since
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            self.answer(writer, 200, {"Rows": rows})
        elif request.path == "/rows-tx":
            self.transact(json.loads(request.body), writer)
        else:
            writer.write(response(404))

    def transact(self, tx, writer):
        expected = [(row["Table"], row["Key"], row["SchemaVersion"]) for row in tx.get("Expect", [])]
        current = {key: self.rows.get(key, (None, 0)) for *key, _ in expected for key in [tuple(key)]}
        if any(current[(table, key)][1] != version for table, key, version in expected):
            rows = [
                self.row(table, key, data, version)
                for (table, key), (data, version) in current.items()
                if data is not None
            ]
            return self.answer(writer, 412, {"Rows": rows})
        writes = [
            (row["Table"], row["Key"], base64.b64decode(row["Data"])) for row in tx.get("Write", [])
        ]
        removed = [(row["Table"], row["Key"], None) for row in tx.get("Remove", [])]
        self.apply(writes + [each for each in removed if each[:2] in self.rows])
        return self.answer(writer, 200, {})

    async def handle_cloud(self, request, writer):
        document = json.loads(request.body or b"{}")
        fence = int(request.headers.get("fencing-token", "0"))
        self.usage.append((request.headers.get("duty-holder"), fence, document))
        writer.write(response(200))


class Replica:
    """A replica, registered in the store; `run(replica, request, writer)` answers a request."""

    def __init__(self, store, record, name, service, run, zone="zone-a", slots=64):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.run, self.zone, self.slots = run, zone, slots
        self.port = free_ports(1)[0]
        self.server = Server(self.port, self.handle)
        self.beats = None
        self.sequence = 0
        self.state = "ready"

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_up = True
        await self.server.start()
        self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    def beat(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        self.store.write("servers", self.name, entry)

    async def keep_beating(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def crash(self, reset=True):
        """Ends as a process does that crashes: its port refuses, its connections end."""
        self.is_up = False
        self.beats.cancel()
        self.server.stop(reset)

    def headers(self, request):
        return [
            ("Request-Id", request.headers.get("request-id", "")),
            ("Replica-Signature", f"{self.name}.{request.headers.get('request-id', '')}"),
        ]

    async def handle(self, request, writer):
        if request.headers.get("expect-replica", self.name) != self.name:
            writer.write(response(421, b"", [("Replica-Id", self.name)]))
            return None
        return await self.run(self, request, writer)


def route(name, prefix, service, kind="idempotent", timeout_ms=15000, attempts=2, **more):
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": timeout_ms,
        "GoalMs": 300,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": attempts,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        "TbtTargetMs": 250,
        **more,
    }


def configuration(routes, services, version=1, limits=None):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": s, "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": False}
            for s in services
        ],
        "Limits": limits
        or {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


class Gateway:
    """A process of the system with the settings of a small deployment."""

    def __init__(self, store, record, folder, number=1, memory_mb=110, grace_s=8):
        self.record = record
        self.name = f"edge-zone-a-{number}"
        ports = free_ports(16, consecutive=True)
        self.port, self.ready_port = free_ports(2)
        self.path = pathlib.Path(folder) / f"{self.name}.conf"
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        self.metrics_port = ports[1]
        lines = [
            f"NodeName={self.name}", "Role=entry", "MachineClass=edge", "Serves=edge",
            "Ip=127.0.0.1", "Zone=zone-a", "Region=region", "Zones.zone-a=region",
            f"Listen.Frontend=127.0.0.1:{self.port}", f"Listen.Ready=127.0.0.1:{self.ready_port}",
            f"InternalPorts={ports[0]},{ports[-1]}", "Bootstrap=true", "InTolerance=false",
            "Limits.CpuShare=0.19", "Limits.CpuCores=1", f"Limits.MemoryMb={memory_mb}",
            "Limits.MaxFds=4200", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform",
            "Entry=vip", "HeartbeatMs=1200",
            "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,leader,platform",
            "FaultTolerance.Machines=1", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
            "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000",
            "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000",
            f"Bounds.GraceS={grace_s}", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000",
            "Bounds.DowngradeSlackMs=250", "Bounds.MaxSkewMs=5000", "Bounds.StrictRevocation=true",
            "Bounds.RevokeMs=5000", "Bounds.RetryBudgetRatio=0.2", "Bounds.RetryWindowS=10",
            "Bounds.BudgetSlack=52", "Bounds.FencingEnabled=true", "Bounds.LeaseMs=3000",
            "Bounds.ThawMs=300", "Bounds.ReportWindowS=5", "Bounds.UsageOff=0.05",
            "Bounds.UsageLateS=10", "Bounds.RecoverS=12", "Bounds.MaxDeliveryMs=120",
            "Bounds.ReuseWindowS=9.1", f"Platform.Address=127.0.0.1:{store.port}",
            "Platform.form=table", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000",
            "Platform.TxMs=3.0", "Platform.CommitsPerS=300", "Platform.RowBytes=65536",
            "Platform.CrossPartition=true", "Platform.HistoryS=20", "Platform.BlobBytes=8388608",
            "Platform.BlobMs=25.0", "Platform.BlobPerS=80.0",
            f"Cloud.Address=127.0.0.1:{store.cloud_port}", "Cloud.RatePerS=50.0",
            "Cloud.Duties=metering", "Cloud.DutyPerS=50.0",
        ]
        self.path.write_text("\n".join(lines) + "\n")
        self.process = None

    async def start(self):
        command = run_command()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["AZUREGAP_BOOT"] = str(self.path)
        self.log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, env=env, stdout=self.log,
            stderr=self.log, stdin=asyncio.subprocess.DEVNULL,
        )
        self.record(f"{self.name} started, process {self.process.pid}")

    async def is_ready(self):
        try:
            status, *_ = await fetch(self.ready_port, "GET", "/readyz", {}, timeout=1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError):
            return False
        return status == 200

    async def wait_ready(self, seconds=20):
        for _ in range(int(seconds * 20)):
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory now and at its peak."""
        found = {}
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="utf-8"):
                if line.startswith(("VmRSS", "VmHWM")):
                    found[line[:5]] = int(line.split()[1]) / 1024
        except OSError:
            pass
        return found.get("VmRSS", 0.0), found.get("VmHWM", 0.0)

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def client_headers(request_id, deadline_ms, **more):
    return {
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


async def fetch(port, method, path, headers, body=b"", timeout=10.0):
    """One request on a connection of its own: status, headers and body."""

    async def call():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            writer.write(request_bytes(method, path, headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed without an answer")
            answer = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), head[1], answer
        finally:
            writer.close()

    return await asyncio.wait_for(call(), timeout)


def main(case, folder, limit_s=110):
    """Runs a case: `case(record, folder, trouble)` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def limited():
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, temporary, trouble), limit_s)

    try:
        held = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001: whatever it is, the case could not run
        record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)
