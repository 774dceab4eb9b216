"""Stand-ins of the platform (store, replicas, callers) and a runner for hosts, for the cases 11 to 15.

Everything listens on loopback addresses. The stand-ins follow the users' pages; a case switches on
the disruption that its claim names.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "yuccawingd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2


class Broken(Exception):
    """The rule was broken."""


class CannotRun(Exception):
    """The case could not run."""


def free_ports(ip, count):
    """A block of `count` consecutive free TCP and UDP ports."""
    for _ in range(200):
        first = random.randrange(20000, 55000)
        held = []
        try:
            for p in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    held.append(s)
                    s.bind((ip, p))
            return first
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise CannotRun("no free ports")


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        self.file.write(f"{self.now():8.3f}  " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


class Head:
    """Head of an HTTP message. Header names are in lower case."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            out += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return out
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def response(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store, for reading."""

    def __init__(self, rec, ip):
        self.rec, self.ip = rec, ip
        self.items, self.rev, self.era = {}, 100, 0
        self.history = []
        self.away = False
        self.refused, self.silent = set(), set()

    async def start(self, hosts):
        """Listens on one port a host, so that it can turn single hosts away."""
        self.servers = [await asyncio.start_server(self.serve, self.ip, 0) for _ in range(hosts)]
        self.ports = [s.sockets[0].getsockname()[1] for s in self.servers]

    def address(self, host):
        return f"{self.ip}:{self.ports[host - 1]}"

    def put(self, key, value):
        self.rev += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["Created"] if key in self.items else self.rev
        self.items[key] = {
            "Key": key, "Value": base64.b64encode(raw).decode(), "Rev": self.rev,
            "Created": created, "Lease": 0,
        }
        self.history.append(self.items[key])
        return self.rev

    def remove(self, key):
        if self.items.pop(key, None):
            self.rev += 1
            self.history.append({"Key": key, "Rev": self.rev, "Removed": True})

    def refuse(self, host):
        """Turns one host away with 503, as impairment of the store for some machines."""
        self.refused.add(self.ports[host.n - 1])
        self.rec("the store turns away", host.name)

    def copy(self):
        return dict(self.items), self.rev, list(self.history)

    def restore(self, copy):
        """Comes back from a copy: what was written since is lost, and the era rises."""
        self.items, self.rev, self.history = dict(copy[0]), copy[1], list(copy[2])
        self.era += 1

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                if writer.get_extra_info("sockname")[1] in self.silent:
                    await asyncio.sleep(60)
                    return
                if self.away or writer.get_extra_info("sockname")[1] in self.refused:
                    writer.write(response(503))
                    await writer.drain()
                    continue
                await asyncio.sleep(0.004)
                writer.write(self.answer(head.first.split(" ")[1]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, target):
        from urllib.parse import parse_qs, urlsplit

        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        era = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        prefix = query.get("Prefix", "")
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            body = {"items": page, "HasMore": len(keys) > 500, "CurrentRev": self.rev}
        elif url.path == "/kv-watch":
            after = int(query.get("after", 0))
            events = [e for e in self.history if e["Rev"] > after and e["Key"].startswith(prefix)]
            body = {"events": events, "CurrentRev": self.rev}
        else:
            return response(404, era)
        return response(200, era, json.dumps(body).encode())


class Replica:
    """A replica of a plain service or of an engine, sound unless a case overrides a method."""

    def __init__(self, rec, store, rid, service, ip, zone="scot-central-a", model=None, slots=64,
                 adapters=(), load_s=0.25, work_s=0.015, events=13, event_s=0.02):
        self.rec, self.store, self.id, self.service = rec, store, rid, service
        self.ip, self.zone, self.model, self.slots = ip, zone, model, slots
        self.adapters = dict(adapters)
        self.coming, self.orders = {}, 0
        self.load_s, self.work_s, self.events, self.event_s = load_s, work_s, events, event_s
        self.born = int(time.time() * 1000)
        self.state, self.beats = "ready", True
        self.arrived, self.runs = [], []
        self.running = self.queued = 0
        self.software = "v1"
        self.newest = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()
        self.beating = asyncio.create_task(self.beat_on())

    def models(self):
        if self.model is None:
            return []
        names = [f"{a}@{v}" for a, v in sorted(self.adapters.items())]
        return [{"Name": self.model, "Version": 1, "Adapters": names}]

    def beat(self):
        if not self.store.away:
            self.store.put(f"servers/{self.id}", {
                "Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
                "Version": self.software, "Slots": self.slots, "State": self.state,
                "ColdLeftMs": 0, "Stage": "unified", "Models": self.models(), "Seq": self.orders,
                "born": self.born,
            })

    async def beat_on(self):
        while self.beats:
            await asyncio.sleep(HEARTBEAT_S)
            if self.beats:
                self.beat()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ", 2)
                if target == "/report":
                    writer.write(response(200, [("Content-Type", "application/json")],
                                          json.dumps(self.report()).encode()))
                elif target == "/order":
                    writer.write(response(self.order(head, json.loads(body))))
                elif target == "/kv-list":
                    held = {"epoch": 1, "Next": 1, "held": [], "born": self.born}
                    writer.write(response(200, (), json.dumps(held).encode()))
                elif target == "/health":
                    writer.write(response(200, [("Yuccawing-Instance-Id", self.id)]))
                else:
                    self.arrived.append((time.monotonic(), head, method, target))
                    if not await self.request(reader, writer, head, method, target, body):
                        return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def settle(self):
        now = time.monotonic()
        for a, (version, at) in list(self.coming.items()):
            if at <= now:
                del self.coming[a]
                self.adapters[a] = version

    def report(self):
        self.settle()
        coming = [f"{self.model}/{a}@{v}" for a, (v, _) in self.coming.items()]
        return {"Stage": "unified", "Models": self.models(), "Busy": False, "Seq": self.orders,
                "Queued": self.queued, "Running": self.running, "KvUsed": 0, "KvTotal": 232000,
                "Handles": 0, "Coming": coming, "born": self.born}

    def order(self, head, body):
        self.settle()
        if head.get("yuccawing-expect-instance") not in ("", self.id):
            return 421
        if "Holder" not in body or "Fence" not in body:
            return 400
        if body.get("Precondition", self.orders) != self.orders:
            return 409
        adapter = body.get("Adapter")
        if adapter is None:
            return 200
        version = body.get("Version") or self.newest.get(adapter, 1)
        self.rec("order", self.id, body["Op"], adapter, "version", version, "from", body["Holder"])
        if body["Op"] == "unload":
            self.orders += 1
            self.adapters.pop(adapter, None)
            return 200
        if self.adapters.get(adapter) == version:
            return 200
        if adapter in self.coming:
            return 202
        self.orders += 1
        self.coming[adapter] = (version, time.monotonic() + self.load_s)
        return 202

    def refusal(self, head):
        """Status with which a sound replica rejects a request, or None."""
        if head.get("yuccawing-expect-instance") not in ("", self.id):
            return 421
        model = head.get("yuccawing-model")
        if self.model is not None and "/" in model:
            self.settle()
            version = self.adapters.get(model.split("/")[1])
            expected = head.get("yuccawing-expect-version")
            if version is None or (expected and int(expected) != version):
                return 421
        return None

    def base_headers(self, head):
        return [("Yuccawing-Request-Id", head.get("yuccawing-request-id")),
                ("Yuccawing-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]

    async def request(self, reader, writer, head, method, target, body):
        status = self.refusal(head)
        if status is not None:
            writer.write(response(status, [
                ("Yuccawing-Request-Id", head.get("yuccawing-request-id")),
                ("Yuccawing-Not-Executed", "1"), ("Yuccawing-Instance-Id", self.id)]))
            return True
        self.running += 1
        self.runs.append((time.monotonic(), head.get("yuccawing-request-id")))
        self.rec("run", head.get("yuccawing-request-id"), "at", self.id)
        try:
            return await self.run(reader, writer, head, method, target, body)
        finally:
            self.running -= 1

    async def run(self, reader, writer, head, method, target, body):
        if self.model is not None:
            return await self.stream(writer, head)
        await asyncio.sleep(self.work_s)
        writer.write(response(200, self.base_headers(head), b"done " + head.get("yuccawing-request-id").encode()))
        return True

    async def stream(self, writer, head):
        await self.stream_head(writer, head)
        first = int(head.get("last-event-id") or 0) + 1
        for n in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            self.event(writer, f"id: {n}\ndata: {head.get('yuccawing-request-id')}#{n}\n\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def stream_head(self, writer, head):
        lines = self.base_headers(head) + [("Content-Type", "text/event-stream"),
                                           ("Transfer-Encoding", "chunked")]
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in lines) + "\r\n"
        writer.write(text.encode())
        await writer.drain()

    @staticmethod
    def event(writer, text):
        raw = text.encode()
        writer.write(f"{len(raw):x}\r\n".encode() + raw + b"\r\n")


class Answer:
    """What a caller got."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.complete, self.error = False, None
        self.began = self.ended = 0.0

    def text(self):
        if self.status is None:
            return f"no answer ({self.error})"
        end = "complete" if self.complete else f"cut ({self.error})"
        return f"{self.status} {len(self.body)} bytes {end}"


class Links:
    """Carries the datagrams between hosts, each of which has ports of its own, and drops those of a host
    that is cut off. A host sends to its own port at the address of the other one."""

    def __init__(self, lab):
        self.lab, self.cut, self.sockets = lab, set(), []

    def start(self):
        for a in self.lab.hosts:
            for b in self.lab.hosts:
                if a is not b:
                    self.connect(a, b)

    def connect(self, a, b):
        # Datagrams of `a` for `b` arrive at `front`, and go on from an address of `a`, where the direct
        # responses of `b` arrive.
        front, back = self.bind(b.ip, a.port), self.bind(a.ip, 0)
        loop = asyncio.get_running_loop()
        loop.add_reader(front, self.carry, front, back, (b.ip, b.port), a, b)
        loop.add_reader(back, self.carry, back, front, (a.ip, a.port), a, b)

    def bind(self, ip, port):
        s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        s.setblocking(False)
        s.bind((ip, port))
        self.sockets.append(s)
        return s

    def carry(self, source, through, to, a, b):
        try:
            data = source.recv(65536)
            if a not in self.cut and b not in self.cut:
                through.sendto(data, to)
        except OSError:
            pass


class Host:
    """One process of the deploy file's role, with settings of the deploy template."""

    def __init__(self, lab, n, ip, zone):
        self.lab, self.n, self.ip, self.zone = lab, n, ip, zone
        self.name = f"front-{zone}-{n}"
        self.port = lab.port + (8 * n if lab.linked else 0)
        self.process = None
        self.file = os.path.join(lab.dir, f"{self.name}.toml")
        self.log = os.path.join(lab.dir, f"{self.name}.log")

    def front(self):
        return (self.ip, self.port + 3)

    def write_settings(self):
        lab, p = self.lab, self.port
        bounds = "\n".join(f"{k} = {json.dumps(v)}" for k, v in lab.bounds.items())
        seeds = ",".join(f'"{h.ip}:{p + 5}"' for h in lab.hosts[:3])
        text = (f'name = "{self.name}"\nip = "{self.ip}"\nzone = "{self.zone}"\n'
                f"ports = [{p},{p + 2}]\nseeds = [{seeds}]\n"
                f'store = "{lab.store.address(self.n)}"\nheartbeat_ms = 1200\n\n[listen]\n'
                f'front = "{self.ip}:{p + 3}"\nready = "{self.ip}:{p + 4}"\n'
                f'directory = "{self.ip}:{p + 6}"\n\n[bounds]\n{bounds}\n')
        with open(self.file, "w") as f:
            f.write(text)

    def start(self):
        self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["YUCCAWING_CONFIG"] = self.file
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen([DAEMON, "--platform"], cwd=ROOT, env=env, stdout=out,
                                            stderr=subprocess.STDOUT)
        self.lab.rec("start", self.name)

    def kill(self, sig=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(sig)
            if sig == signal.SIGKILL:
                self.process.wait()
            self.lab.rec("signal", signal.Signals(sig).name, self.name)

    async def is_ready(self):
        try:
            a = await self.lab.call((self.ip, self.port + 4), "GET", "/ready", {"Host": self.ip},
                                    wait=0.5)
            return a.status == 200
        except OSError:
            return False


class Lab:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, hosts=4, linked=False, net=None):
        self.rec = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="review3-")
        # Addresses decide which host owns an engine, so a case may ask for the same ones in each run.
        self.net = net or random.randrange(10, 250)
        self.linked = linked
        self.port = free_ports(self.address(11), 8 * (hosts + 1) if linked else 8)
        self.store = Store(self.rec, self.address(2))
        self.bounds = {
            "grace_s": 8, "fail_closed": True, "revoke_ms": 5000, "config_ms": 2000,
            "drain_ms": 2000, "lease_ms": 3000, "ttl_s": 5, "retry_ratio": 0.2, "retry_slack": 56,
            "quota_overage": 0.25, "quota_slack": 110000, "quota_window_s": 8,
        }
        zones = ["scot-central-a", "scot-central-a", "scot-central-b", "scot-central-c"]
        self.hosts = [Host(self, i + 1, self.address(11 + i), zones[i % 4]) for i in range(hosts)]
        self.links = Links(self)
        self.version = 7

    def address(self, n):
        return f"127.{self.net}.7.{n}"

    def config(self, routes, services, tenants):
        return {
            "Version": self.version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": tenants,
        }

    def put_config(self, config):
        self.version += 3
        config = dict(config, Version=self.version)
        self.store.put("op/config", config)
        self.rec("config", self.version, "acknowledged")

    def cut_off(self, host):
        """Partitions a host from the other hosts and from the store, silently."""
        self.links.cut.add(host)
        self.store.silent.add(self.store.ports[host.n - 1])
        self.rec(host.name, "is cut off")

    def heal(self, host):
        self.links.cut.discard(host)
        self.store.silent.discard(self.store.ports[host.n - 1])
        self.rec(host.name, "is no longer cut off")

    async def start_hosts(self, wait=20.0):
        if self.linked:
            self.links.start()
        if not os.path.exists(DAEMON):
            raise CannotRun("target/release/yuccawingd is not built")
        for h in self.hosts:
            h.start()
        await self.until_ready(wait)

    async def until_ready(self, wait=20.0):
        end = time.monotonic() + wait
        for h in self.hosts:
            while not await h.is_ready():
                if time.monotonic() > end or h.process.poll() is not None:
                    raise CannotRun(f"{h.name} does not become ready")
                await asyncio.sleep(0.05)
        self.rec("all hosts ready")

    async def call(self, address, method, path, headers, body=b"", wait=10.0, on_data=None):
        """Sends one request on a new channel and reads the answer until `wait` is over."""
        a = Answer()
        a.began = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(wait):
                reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
                lines = "".join(f"{n}: {v}\r\n" for n, v in headers.items())
                if body or method == "POST":
                    lines += f"Content-Length: {len(body)}\r\n"
                writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
                await writer.drain()
                head = await read_head(reader)
                a.status, a.headers = int(head.first.split(" ")[1]), head.headers
                if head.get("transfer-encoding").lower() == "chunked":
                    while True:
                        line = await reader.readline()
                        if not line:
                            raise ConnectionError("closed in the body")
                        size = int(line, 16)
                        piece = await reader.readexactly(size)
                        await reader.readexactly(2)
                        if size == 0:
                            break
                        a.body += piece
                        if on_data:
                            on_data(piece)
                else:
                    a.body = await reader.readexactly(int(head.get("content-length", "0") or 0))
                a.complete = True
        except TimeoutError:
            a.error = "the caller gave up"
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
            a.error = type(e).__name__
        finally:
            a.ended = time.monotonic()
            if writer is not None:
                writer.transport.abort()
        return a

    async def ask(self, host, method, path, rid, key, deadline_ms, extra=None, body=b"", wait=None):
        headers = {"Host": "ficu95.example", "Yuccawing-Request-Id": rid,
                   "Yuccawing-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        headers.update(extra or {})
        self.rec("sent", rid, "to", host.name, method, path)
        a = await self.call(host.front(), method, path, headers, body, wait or deadline_ms / 1000)
        self.rec("answered", rid, a.text(), f"after {a.ended - a.began:.3f} s")
        return a

    def close(self):
        for h in self.hosts:
            h.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.dir, keep, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


def main(folder, hosts, case, linked=False, net=None):
    """Runs `case(lab)`: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    lab = Lab(folder, hosts, linked, net)

    async def run():
        async with asyncio.timeout(115):
            await lab.store.start(hosts)
            await case(lab)

    code = 0
    try:
        asyncio.run(run())
        lab.rec("RESULT the rule held", "" if TROUBLE else "(without the disruption)")
    except Broken as e:
        lab.rec("RESULT broken:", e)
        print("broken:", e)
        code = 1
    except Exception as e:
        # Python's own exit code for an exception, 1, would read as a broken rule.
        lab.rec("RESULT could not run:", repr(e))
        print("could not run:", repr(e))
        code = 2
    finally:
        lab.close()
    sys.exit(code)
