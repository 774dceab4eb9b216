"""A replica in trouble sends bytes without end in the body of its streams."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from lab3 import TROUBLE, Broken, CannotRun, Replica, main, read_head  # noqa: E402

TIMEOUT_MS = 6000  # of the route
BUDGET_MS = 15000  # time for which the callers wait
CALLERS = 12
KEY = "i9n73hh2b9wu3fexd9dn"


class InTrouble(Replica):
    """After three events of a stream it sends comments without end, until the caller closes."""

    comment = b": " + b"x" * 1020 + b"\n\n"

    async def stream(self, writer, head):
        if not TROUBLE:
            return await super().stream(writer, head)
        rid, begun = head.get("yuccawing-request-id"), time.monotonic()
        await self.stream_head(writer, head)
        for n in range(1, 4):
            await asyncio.sleep(self.event_s)
            self.event(writer, f"id: {n}\ndata: {rid}#{n}\n\n")
        piece = (f"{len(self.comment):x}\r\n".encode() + self.comment + b"\r\n") * 32
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.rec("channel of", rid, "closed at", self.id, f"after {time.monotonic() - begun:.3f} s")


async def caller(lab, host, rid):
    """Reads its stream at a steady pace. Returns how long it lasted, and how it ended."""
    begun = time.monotonic()
    how, got = "caller gave up", 0
    reader, writer = await asyncio.open_connection(*host.front(), limit=1 << 16)
    try:
        async with asyncio.timeout(BUDGET_MS / 1000):
            lab.rec("sent", rid, "to", host.name)
            writer.write((
                "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                f"Yuccawing-Request-Id: {rid}\r\nYuccawing-Deadline-Ms: {BUDGET_MS}\r\n"
                "Yuccawing-Model: m0/a1\r\nYuccawing-Token-Count: 826,73\r\n"
                f"Yuccawing-Prefix-Hash: 5c1e07a2:198,{abs(hash(rid)) % 2**32:x}:628\r\n"
                f"Authorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}").encode())
            head = await read_head(reader)
            status = int(head.first.split(" ")[1])
            tail = b""
            while True:
                data = await reader.read(1 << 16)
                got, tail = got + len(data), (tail + data)[-5:]
                if not data or tail == b"0\r\n\r\n":
                    how = "complete" if tail == b"0\r\n\r\n" else "cut"
                    break
                await asyncio.sleep(0.05)
            how = f"{status} {how}"
    except TimeoutError:
        pass
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        how = type(e).__name__
    finally:
        writer.transport.abort()
    lasted = time.monotonic() - begun
    lab.rec("answered", rid, how, got, "bytes", f"after {lasted:.3f} s")
    return lasted, how


async def case(lab):
    sound = [Replica(lab.rec, lab.store, f"i-{n}", "huvo11a", lab.address(30 + n), model="m0",
                     adapters={f"a{n + 1}": 1}) for n in (1, 2)]
    bad = InTrouble(lab.rec, lab.store, "i-0", "huvo11a", lab.address(30), model="m0", adapters={"a1": 1})
    for r in [bad] + sound:
        await r.start()
    lab.put_config(lab.config(
        [{"Name": "r-nr26tta", "Host": "ficu95.example", "Prefix": "/lohu930/", "Kind": "streaming",
          "TimeoutMs": TIMEOUT_MS, "SloMs": 1000, "Priority": 1, "Service": "huvo11a",
          "MaxAttempts": 1, "Public": False, "Sticky": True, "Resumable": False, "GapTargetMs": 400}],
        [{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 370, "Engine": {
            "Slots": 64, "KvTokens": 232000, "Models": [{"Name": "m0", "WeightsMb": 34300.0,
            "LoadS": 1.0, "Adapters": 3000, "AdapterMb": 40.0}], "WeightsMb": 35300.0,
            "AdapterSlots": 8, "LoadsPerS": 2.8}}],
        [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1, "Unit": "tokens", "PlainTokens": 200,
          "RatePerS": 128999, "Burst": 128999}]))
    await lab.start_hosts()
    await asyncio.sleep(4)  # in touch: ContactMs after the start
    calls = []
    for n in range(CALLERS):
        calls.append(asyncio.create_task(caller(lab, lab.hosts[n % len(lab.hosts)], f"9c41d07be2a3{n:04x}")))
        await asyncio.sleep(0.02)
    ends = await asyncio.gather(*calls)
    if not TROUBLE and any(how != "200 complete" for _, how in ends):
        raise CannotRun(f"without the disruption: {ends}")
    longer = [x for x, _ in ends if x > TIMEOUT_MS / 1000]
    late = [x for x in longer if x > TIMEOUT_MS / 1000 + 0.5]
    lab.rec(len(longer), "requests lasted longer than TimeoutMs,", len(late), "of them over 0.5 s longer")
    if len(late) >= 8 and len(late) * 4 > len(longer):
        raise Broken(f"CONFIG: {len(late)} of {len(longer)} requests had no final answer 0.5 s after TimeoutMs")


main(HERE, 4, case)
