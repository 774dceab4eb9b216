"""Stand-ins of the platform's store, replicas and clients, and the start of real hosts, for the
scripts of the review. Standard library only; every address is a loopback address."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "yuccawingd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
START = time.monotonic()


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:9.3f} s  {text}\n")


class CannotRun(Exception):
    """The case could not be set up."""


# --- HTTP -----------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head; returns its first line and its headers with lower-case names, or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def head(status, headers):
    return (f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) + "\r\n").encode()


async def respond(writer, status, headers, body=b""):
    writer.write(head(status, [*headers, ("Content-Length", len(body))]) + body)
    await writer.drain()


class Server:
    """Accepts channels and passes each request to `handle`."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.server, self.writers, self.tasks = ip, None, set(), set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.ip, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                line, headers = got
                method, path, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self.handle(reader, writer, method, path, headers, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def close(self):
        self.server.close()
        for t in list(self.tasks):
            t.cancel()
        for w in list(self.writers):
            w.transport.abort()


# --- The platform's store -------------------------------------------------------------------


class Store(Server):
    """Linearizable reads of items, in pages. `page` is the largest number of items of a page."""

    def __init__(self, page=500):
        super().__init__()
        self.items, self.rev, self.page, self.reads = {}, 100, page, 0
        self.era, self.down = 1, False

    def put(self, key, value):
        self.rev += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = (data, self.rev)

    def remove(self, key):
        if self.items.pop(key, None):
            self.rev += 1

    def copy(self):
        return dict(self.items), self.rev

    def restore(self, copy):
        """Comes back from a copy: revisions go back, and a new era begins."""
        self.items, self.rev = dict(copy[0]), copy[1]
        self.era += 1

    async def handle(self, reader, writer, method, path, headers, body):
        if self.down:
            await respond(writer, 503, [])
            return True
        self.reads += 1
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        era = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        if url.path != "/kv-range":
            await respond(writer, 404, era)
            return True
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for k in keys[: self.page]:
            data, rev = self.items[k]
            size += len(data)
            if items and size > 1_000_000:
                break
            value = base64.b64encode(data).decode()
            items.append({"Key": k, "Value": value, "Rev": rev, "Created": rev, "Lease": 0})
        out = {"items": items, "HasMore": len(items) < len(keys), "CurrentRev": self.rev}
        await asyncio.sleep(0.004)
        await respond(writer, 200, era, json.dumps(out).encode())
        return True


# --- Replicas -------------------------------------------------------------------------------


class Replica(Server):
    """A replica: a model engine, or a plain service if `model` is None. It follows PROTOCOL.md: it
    checks `Yuccawing-Expect-Instance`, holds what it was ordered to hold, names in its reports the
    state of 100 ms ago, and crashes if it is ordered to load more than it can hold."""

    REPORT_LAG = 0.1

    def __init__(self, record, store, ident, service, model=None, version="v1", zone="a", slots=8,
                 weights_mb=67100.0, model_mb=65500.0, adapter_mb=40.0, adapter_s=0.25,
                 events=10, gap_s=0.1, work_s=0.015,
                 errors=0.0):
        super().__init__()
        self.record, self.store = record, store
        self.ident, self.service, self.zone, self.version = ident, service, zone, version
        self.model, self.adapter_slots = model, slots
        self.weights_mb, self.model_mb, self.adapter_mb = weights_mb, model_mb, adapter_mb
        self.adapter_s, self.events, self.gap_s, self.work_s = adapter_s, events, gap_s, work_s
        self.orders, self.runs, self.over = [], [], []
        self.errors = errors  # share of the requests that it answers with a 500 of its own
        self.state, self.listed, self.beats = "ready", True, 0
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.models = {self.model} if self.model else set()
        self.adapters, self.coming, self.unloading = {}, {}, set()
        self.seq, self.running, self.history = 0, {}, []

    async def start(self, port=0):
        await self.listen(port)
        self.register()
        self.beat = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def _models(self):
        return [{"Name": m, "Version": 1, "Adapters": [f"{a}@{v}" for a, v in self.adapters.items()]}
                for m in sorted(self.models)]

    def register(self):
        if not self.listed:
            return
        self.beats += 1
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone,
                 "Version": self.version, "Slots": 64 if self.model else 6, "State": self.state, "ColdLeftMs": 0,
                 "Seq": self.beats, "born": self.born}
        if self.model:
            entry["Models"] = self._models()
        self.store.put(f"servers/{self.ident}", entry)

    def unlist(self):
        """Leaves without reporting `draining`: its entry is removed and it goes on serving."""
        self.listed = False
        self.store.remove(f"servers/{self.ident}")

    async def end(self):
        self.beat.cancel()
        self.unlist()
        await self.close()

    async def crash(self):
        """Ends at once, and is back empty after 1.5 s."""
        port = self.port
        self.beat.cancel()
        await self.close()
        await asyncio.sleep(1.5)
        self._reset()
        self.models = set()
        await self.start(port)

    def _held_mb(self, more):
        return len(self.models) * self.model_mb + more * self.adapter_mb

    def _report(self):
        now = time.monotonic()
        self.history.append((now, {
            "Stage": "unified", "Models": self._models(), "Busy": False, "Seq": self.seq,
            "Queued": 0, "Running": len(self.running), "KvUsed": 0, "KvTotal": 232000, "Handles": 0,
            "Coming": [f"{self.model}/{a}@{v}" for a, v in self.coming.items()], "born": self.born}))
        return self.history[-1][1]

    def _changed(self):
        self._report()
        del self.history[:-200]

    def _old_report(self):
        self._report()
        limit = time.monotonic() - self.REPORT_LAG
        old = [r for t, r in self.history if t <= limit]
        return old[-1] if old else self.history[0][1]

    def _order(self, headers, body, peer):
        expected = headers.get("yuccawing-expect-instance", self.ident)
        o = json.loads(body)
        what = f"{o.get('Op')} {o.get('Model')}/{o.get('Adapter')}@{o.get('Version')}"
        status = self._execute(expected, o)
        self.orders.append((time.monotonic(), o.get("Holder"), o.get("Fence"), what, status))
        self.record(f"order at {self.ident} from {peer}: {what}, holder {o.get('Holder')}, fence "
                    f"{o.get('Fence')}, precondition {o.get('Precondition')}: {status}")
        return status

    def _execute(self, expected, o):
        if expected != self.ident:
            return 421
        if not isinstance(o.get("Holder"), str) or not isinstance(o.get("Fence"), int):
            return 400
        if "Precondition" in o and o["Precondition"] != self.seq:
            return 409
        adapter, version = o.get("Adapter"), o.get("Version", 1)
        if adapter is None:
            if o["Op"] == "load" and o["Model"] in self.models:
                return 200
            self.seq += 1
            self.models.add(o["Model"]) if o["Op"] == "load" else self.models.discard(o["Model"])
            self._changed()
            return 202
        if o["Op"] == "load":
            if self.adapters.get(adapter) == version:
                return 200
            if self.coming.get(adapter) == version:
                return 202
            self.seq += 1
            held = set(self.adapters) | set(self.coming) | self.unloading | {adapter}
            mb = self._held_mb(len(held))
            if len(held) > self.adapter_slots or mb > self.weights_mb:
                self.over.append((adapter, len(held), mb))
                lost = len(self.running)
                self.record(f"{self.ident} CRASHES: ordered to load {adapter}: {len(held)} adapters of "
                            f"{self.adapter_slots}, {mb:.0f} MB of {self.weights_mb:.0f}; "
                            f"{lost} runs are lost")
                asyncio.get_running_loop().create_task(self.crash())
                return 202
            self.coming[adapter] = version
            asyncio.get_running_loop().call_later(self.adapter_s, self._loaded, adapter, version, self.born)
            self._changed()
            return 202
        if adapter not in self.adapters:
            return 200
        self.seq += 1
        if any(a == adapter for a in self.running.values()):
            self.unloading.add(adapter)
            self._changed()
            return 202
        del self.adapters[adapter]
        self._changed()
        return 200

    def _loaded(self, adapter, version, born):
        if born == self.born and self.coming.pop(adapter, None) is not None:
            self.adapters[adapter] = version
            self._changed()

    async def handle(self, reader, writer, method, path, headers, body):
        peer = writer.get_extra_info("peername")[0]
        if (method, path) == ("GET", "/report") and self.model:
            self._changed()
            await respond(writer, 200, [("Content-Type", "application/json")],
                          json.dumps(self._old_report()).encode())
            return True
        if (method, path) == ("POST", "/order") and self.model:
            await respond(writer, self._order(headers, body, peer), [])
            return True
        if path == "/health":
            await respond(writer, 200, [("Yuccawing-Instance-Id", self.ident)])
            return True
        if path == "/kv-list":
            await respond(writer, 200, [], json.dumps({"epoch": 1, "Next": 1, "held": []}).encode())
            return True
        return await self._request(reader, writer, method, path, headers, body, peer)

    async def _request(self, reader, writer, method, path, headers, body, peer):
        ident = headers.get("yuccawing-request-id", "")
        echo = [("Yuccawing-Request-Id", ident)]
        if headers.get("yuccawing-expect-instance", self.ident) != self.ident:
            await respond(writer, 421, [*echo, ("Yuccawing-Instance-Id", self.ident)])
            return True
        model, _, adapter = headers.get("yuccawing-model", "").partition("/")
        if self.model and (model not in self.models or (adapter and (
                adapter not in self.adapters or adapter in self.unloading))):
            await respond(writer, 421, echo)
            return True
        key = object()
        self.running[key] = adapter
        self.runs.append((ident, headers, path, body))
        self.record(f"{self.ident} ({self.service} {self.version}) runs {ident} {method} {path} from {peer}"
                    + (f", last event {headers['last-event-id']}" if "last-event-id" in headers else ""))
        try:
            sealed = [*echo, ("Yuccawing-Response-Seal", f"seal-{self.ident}")]
            if not self.model:
                await asyncio.sleep(self.work_s)
                if random.random() < self.errors:
                    await respond(writer, 500, sealed, b"error")
                    return True
                await respond(writer, 200, sealed, f"answer of {self.service} to {ident}".encode())
                return True
            writer.write(head(200, [*sealed, ("Content-Type", "text/event-stream"),
                                    ("Transfer-Encoding", "chunked")]))
            for n in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                text = f"id: {n}\ndata: {self.version} {self.ident} {n}\n\n".encode()
                writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                await writer.drain()
                if reader.at_eof():
                    self.record(f"{self.ident}: the channel of {ident} was closed after event {n}")
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running.pop(key, None)
            if adapter in self.unloading and adapter not in self.running.values():
                self.unloading.discard(adapter)
                self.adapters.pop(adapter, None)


# --- Configuration --------------------------------------------------------------------------


def route(name, kind, service, timeout_ms=6000, slo_ms=1000, attempts=2, public=False, resume=False):
    return {"Name": name, "Host": HOST, "Prefix": f"/{name}/", "Kind": kind, "TimeoutMs": timeout_ms,
            "SloMs": slo_ms, "Priority": 1, "Service": service, "MaxAttempts": attempts,
            "Public": public, "Sticky": False, "Resumable": resume, "GapTargetMs": 400}


# The figures are those of kowhai-collate.
def engine(adapter_mb=40.0, adapters=3000):
    return {"Slots": 64, "KvTokens": 232000, "WeightsMb": 67100.0, "AdapterSlots": 8, "LoadsPerS": 4.2,
            "Models": [{"Name": "m0", "WeightsMb": 65500.0, "LoadS": 2.6, "Adapters": adapters,
                        "AdapterMb": adapter_mb}]}


def config(version, routes, services, tenants=None):
    out = {"Version": version, "Routes": routes, "Services": services,
           "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                      "IdleTimeoutMs": 15000}}
    if tenants is not None:
        out["Tenants"] = tenants
    return out


# --- Hosts ----------------------------------------------------------------------------------


def render(text, fields):
    """Fills the template of the deploy file: values, JSON values and sections, as DEPLOY.md says."""

    def look(scope, name):
        if name == ".":
            return scope[-1]
        for s in reversed(scope):
            v = s
            for part in name.split("."):
                v = v.get(part) if isinstance(v, dict) else None
                if v is None:
                    break
            if v is not None:
                return v
        return None

    def fill(text, scope, last):
        def section(m):
            v = look(scope, m[1])
            if v is None or v is False:
                return ""
            if isinstance(v, list):
                return "".join(fill(m[2], [*scope, x], i + 1 == len(v)) for i, x in enumerate(v))
            return fill(m[2], scope, True)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

        def value(m):
            if m[1] == ",":
                return "" if last else ","
            name, _, form = m[1].partition("|")
            v = look(scope, name)
            return json.dumps(v) if form == "json" else ("" if v is None else str(v))

        return re.sub(r"\{\{([^}#/]+)\}\}", value, text)

    return fill(text, [fields], True)


BOUNDS = {"GraceS": 8, "FailClosed": "true", "RevokeMs": 5000, "ConfigApplyMs": 2000, "DrainMs": 2000,
          "LeaseMs": 3000, "ttl_max_s": 5, "RetryBudgetRatio": 0.2, "BudgetSlack": 58,
          "QuotaOverage": 0.25, "QuotaSlack": 110000, "QuotaWindowS": 8}


class Links(asyncio.DatagramProtocol):
    """The links between hosts: a proxy that passes their datagrams on, or drops them at a cut.

    Host i sends to port ports[i] of each other host, where the proxy listens, and listens on that port
    of its own address only. So each host has internal ports of its own."""

    def __init__(self, ips, ports):
        self.ips, self.ports, self.sockets, self.cut = ips, ports, {}, set()

    async def start(self):
        loop = asyncio.get_running_loop()
        for i in range(len(self.ips)):
            for j in range(len(self.ips)):
                if i != j:
                    link = _Link(self, i, j)
                    t, _ = await loop.create_datagram_endpoint(
                        lambda link=link: link, local_addr=(self.ips[j], self.ports[i]))
                    self.sockets[i, j] = t

    def close(self):
        for t in self.sockets.values():
            t.close()


class _Link(asyncio.DatagramProtocol):
    def __init__(self, links, i, j):
        self.links, self.i, self.j = links, i, j

    def datagram_received(self, data, _):
        if {self.i, self.j} & self.links.cut:
            return
        links = self.links
        # From the address of the sender, so that the receiver can answer.
        links.sockets[self.j, self.i].sendto(data, (links.ips[self.j], links.ports[self.j]))

    def error_received(self, _):
        pass


class Fleet:
    """Real hosts, each on a loopback address of its own. `linked`: with a proxy between them."""

    def __init__(self, record, store, count, folder, linked=False):
        self.record, self.store, self.folder = record, store, folder
        net = random.randint(60, 250), random.randint(1, 250)
        self.ips = [f"127.{net[0]}.{net[1]}.{i + 1}" for i in range(count)]
        self.processes = [None] * count
        self.ports = self._free_ports()
        self.starts = 0
        # Where a proxy stands between the hosts, each has internal ports of its own.
        inner = [self.ports + 24 + 2 * i if linked else self.ports for i in range(count)]
        self.links = Links(self.ips, inner)

    def _free_ports(self):
        for _ in range(50):
            base = random.randint(20000, 30000)
            try:
                for ip in self.ips:
                    for p in range(base, base + 40):
                        with socket.socket() as s:
                            s.bind((ip, p))
                    for p in range(base, base + 40):
                        with socket.socket(type=socket.SOCK_DGRAM) as s:
                            s.bind((ip, p))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def front(self, i):
        return self.ips[i], self.ports + 16

    def settings(self, i):
        ip, p = self.ips[i], self.ports
        return {"Node": f"front-{i + 1}", "Ip": ip, "Zone": "a", "InternalPorts": [self.links.ports[i], self.links.ports[i] + 1],
                "Seeds": [f"{x}:{p + 19}" for x in self.ips[:3]],
                "Platform": {"Address": self.store.address}, "Bounds": BOUNDS,
                "Listen": {"Front": f"{ip}:{p + 16}", "Ready": f"{ip}:{p + 17}",
                           "Directory": f"{ip}:{p + 18}"}}

    def start(self, i):
        with open(os.path.join(ROOT, "deploy", "settings.toml.in")) as f:
            text = render(f.read(), self.settings(i))
        path = os.path.join(self.folder, f"host{i + 1}.toml")
        with open(path, "w") as f:
            f.write(text)
        self.starts += 1
        out = open(os.path.join(self.folder, f"host{i + 1}-{self.starts}.log"), "w")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.processes[i] = subprocess.Popen([PROGRAM, "--platform"], cwd=ROOT, stdin=subprocess.DEVNULL,
                                             env={**env, "YUCCAWING_CONFIG": path}, stdout=out, stderr=out)
        self.record(f"start of {self.ips[i]} (front-{i + 1}), process {self.processes[i].pid}")

    def signal(self, i, sig):
        self.record(f"{signal.Signals(sig).name} to {self.ips[i]} (front-{i + 1})")
        self.processes[i].send_signal(sig)
        if sig == signal.SIGKILL:
            self.processes[i].wait()

    async def ready(self, timeout=20):
        """Waits until all machines that run are ready."""
        end = time.monotonic() + timeout
        for ip in [ip for ip, p in zip(self.ips, self.processes) if p]:
            while True:
                try:
                    r = await asyncio.wait_for(get(ip, self.ports + 17, "/ready"), 1)
                    if r == 200:
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"{ip} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        for p in self.processes:
            if p and p.poll() is None:
                p.kill()
                p.wait()


async def get(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
        got = await read_head(reader)
        return int(got[0].split(" ")[1]) if got else None
    finally:
        writer.close()


# --- Clients --------------------------------------------------------------------------------


class Answer:
    """What a client saw of one attempt."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole = None, {}, b"", False
        self.closed = False  # whether the host has closed the channel

    def events(self):
        """Whole events as (id, data)."""
        out = []
        for e in self.body.split(b"\n\n")[:-1]:
            f = dict(l.split(b": ", 1) for l in e.split(b"\n") if b": " in l)
            out.append((int(f[b"id"]), f[b"data"].decode()))
        return out

    def __str__(self):
        end = "whole" if self.whole else "broken off"
        return f"{self.status}, {len(self.body)} bytes, {end}"


async def send(front, method, path, ident, headers=(), body=b"", deadline_ms=6000, timeout=None):
    """Sends one attempt on a new channel and reads its answer to the end."""
    a = Answer()
    try:
        async with asyncio.timeout(timeout or deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(*front, limit=1 << 20)
            try:
                lines = [("Host", HOST), ("Yuccawing-Request-Id", ident),
                         ("Yuccawing-Deadline-Ms", deadline_ms), *headers]
                if method == "POST":
                    lines.append(("Content-Length", len(body)))
                text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in lines) + "\r\n"
                writer.write(text.encode() + body)
                await _read_answer(reader, a)
            finally:
                writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    return a


class Channel:
    """A channel of a client, kept for several requests."""

    def __init__(self, front):
        self.front, self.writer, self.answers, self.error = front, None, 0, None

    async def send(self, method, path, ident, headers=(), body=b"", deadline_ms=6000):
        a = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(*self.front, limit=1 << 20)
                lines = [("Host", HOST), ("Yuccawing-Request-Id", ident),
                         ("Yuccawing-Deadline-Ms", deadline_ms), *headers, ("Content-Length", len(body))]
                text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in lines) + "\r\n"
                self.writer.write(text.encode() + body)
                await self.writer.drain()
                await _read_answer(self.reader, a)
                self.answers += a.whole
                a.closed = not a.whole
        except asyncio.TimeoutError:
            self.error = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as e:
            a.closed, self.error = self.writer is not None, repr(e)
        return a

    def close(self):
        if self.writer:
            self.writer.close()


async def _read_answer(reader, a):
    got = await read_head(reader)
    if got is None:
        return
    a.status, a.headers = int(got[0].split(" ")[1]), got[1]
    if "content-length" in a.headers:
        a.body = await reader.readexactly(int(a.headers["content-length"]))
        a.whole = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"x", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            a.whole = True
            return
        a.body += data[:-2]


def generation(adapter, tokens=(100, 40), block=None):
    block = block or random.randint(1, 1 << 40)
    return [("Yuccawing-Model", f"m0/{adapter}"), ("Yuccawing-Token-Count", f"{tokens[0]},{tokens[1]}"),
            ("Yuccawing-Prefix-Hash", f"5c:{tokens[0] // 2},{block:x}:{tokens[0] - tokens[0] // 2}")]


def run(folder, case, limit_s=110):
    """Runs `case(record, temporary folder, cleanups)`, which returns whether the rule was broken."""
    record = Record(folder)
    temp = tempfile.mkdtemp(prefix="review-")
    cleanups, code = [], 2
    record(f"TROUBLE={int(TROUBLE)}")

    async def whole():
        try:
            return await asyncio.wait_for(case(record, temp, cleanups), limit_s)
        finally:
            for c in reversed(cleanups):
                c()

    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/yuccawingd is not built")
        code = 1 if asyncio.run(whole()) else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as e:
        record(f"could not run: {e!r}")
    finally:
        if os.environ.get("KEEP"):
            print(temp)
        else:
            shutil.rmtree(temp, ignore_errors=True)
    record(f"result: {code} ({['the rule held', 'the rule was broken', 'could not run'][code]})")
    print(f"exit {code}; see record.txt")
    sys.exit(code)


def judge_orders(replicas, lease_s, excused=()):
    """What breaks ONE in the orders that reached `replicas`: a lower fence after a higher one, or two
    holders within the lease. Orders in a span of `excused` don't count."""
    lower, turns = [], []
    for r in replicas:
        orders = [o for o in r.orders if not any(a <= o[0] <= b for a, b in excused)]
        highest, last = None, {}
        for at, holder, fence, what, status in orders:
            if highest and fence < highest[1]:
                lower.append(f"{r.ident}: {holder} with fence {fence} after {highest[0]} with {highest[1]}")
            if highest is None or fence > highest[1]:
                highest = holder, fence
            for other, t in last.items():
                if other != holder and at - t < lease_s:
                    turns.append(f"{r.ident}: {holder} {at - t:.3f} s after {other}")
            last[holder] = at
    return lower, turns
