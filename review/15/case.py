"""A new version of an adapter is declared while requests for the old one wait at a slow engine."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from lab3 import TROUBLE, Broken, CannotRun, Replica, main  # noqa: E402

VERSION_S = 5.0  # version_ms
PREFILL_S = 0.237  # of 9,190 tokens at 38.7 tokens a millisecond
SLOW_X, SLOW_S = 7.5, 6.5  # srv_grey, how slow
BUDGET_MS = 15000
KEY = "i9n73hh2b9wu3fexd9dn"


class Engine(Replica):
    """Reads the prompts of its requests one after the other, slower while `slow_until` is ahead."""

    slow_until = 0.0

    async def start(self):
        self.reading = asyncio.Lock()
        self.begins = []
        await super().start()

    async def request(self, reader, writer, head, method, target, body):
        status = self.refusal(head)
        if status is not None:
            return await super().request(reader, writer, head, method, target, body)
        rid = head.get("yuccawing-request-id")
        self.rec("arrived", rid, "at", self.id, "expects version", head.get("yuccawing-expect-version") or "any")
        self.queued += 1
        gone = asyncio.create_task(reader.read(1))
        try:
            async with self.reading:
                left = PREFILL_S
                while left > 0 and not gone.done():
                    await asyncio.sleep(0.01)
                    left -= 0.01 / (SLOW_X if time.monotonic() < self.slow_until else 1)
        finally:
            self.queued -= 1
        if gone.done():
            self.rec("dropped", rid, "at", self.id)
            return False
        gone.cancel()
        # The weights may have been replaced while it waited.
        status = self.refusal(head)
        if status is not None:
            return await super().request(reader, writer, head, method, target, body)
        version = self.adapters[head.get("yuccawing-model").split("/")[1]]
        self.begins.append((time.monotonic(), rid, version))
        self.rec("begins", rid, "at", self.id, "on version", version)
        self.running += 1
        try:
            await self.stream(writer, head)
        finally:
            self.running -= 1
        return False


async def case(lab):
    engines = [Engine(lab.rec, lab.store, f"i-{n}", "huvo11a", lab.address(30 + n), model="m0",
                      adapters={f"a{n + 1}": 1}) for n in range(8)]
    for e in engines:
        await e.start()
    lab.put_config(lab.config(
        [{"Name": "r-nr26tta", "Host": "ficu95.example", "Prefix": "/lohu930/", "Kind": "streaming",
          "TimeoutMs": BUDGET_MS, "SloMs": 800, "Priority": 0, "Service": "huvo11a",
          "MaxAttempts": 1, "Public": False, "Sticky": True, "Resumable": True, "GapTargetMs": 400}],
        [{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 370, "Engine": {
            "Slots": 64, "KvTokens": 232000, "Models": [{"Name": "m0", "WeightsMb": 34300.0,
            "LoadS": 1.0, "Adapters": 3000, "AdapterMb": 40.0}], "WeightsMb": 35300.0,
            "AdapterSlots": 8, "LoadsPerS": 2.8}}],
        [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1, "Unit": "tokens", "PlainTokens": 200,
          "RatePerS": 128999, "Burst": 128999}]))
    lab.store.put("op/version/m0.a1", {"Model": "m0", "Adapter": "a1", "Version": 1})
    await lab.start_hosts()
    await asyncio.sleep(4)  # in touch: ContactMs after the start

    async def ask(n):
        rid = f"9c41d07be2a3{n:04x}"
        return await lab.ask(
            lab.hosts[n % 4], "POST", "/lohu930/2f", rid, KEY, BUDGET_MS,
            {"Yuccawing-Model": "m0/a1", "Yuccawing-Token-Count": "9190,20",
             "Yuccawing-Prefix-Hash": f"{n + 1000:x}:6300,{n:x}:2890"}, b"{}")

    if TROUBLE:
        engines[0].slow_until = time.monotonic() + SLOW_S
        lab.rec("i-0 works", SLOW_X, "times as long for", SLOW_S, "s")
    calls = [asyncio.create_task(ask(n)) for n in range(8)]
    await asyncio.sleep(0.3)
    lab.store.put("op/version/m0.a1", {"Model": "m0", "Adapter": "a1", "Version": 2})
    for e in engines:
        e.newest["a1"] = 2
    ack = time.monotonic()
    lab.rec("version 2 of a1 acknowledged")
    answers = await asyncio.gather(*calls)
    if not TROUBLE and not all(a.complete and a.status == 200 for a in answers):
        raise CannotRun("without the disruption: " + ", ".join(a.text() for a in answers))
    begins = [(at - ack, rid, e.id) for e in engines for at, rid, version in e.begins if version < 2]
    late = [b for b in begins if b[0] > VERSION_S]
    for after, rid, eid in begins:
        lab.rec(rid, "began on version 1 at", eid, f"{after:.2f} s after the ack of version 2")
    if late:
        raise Broken(f"VERSION: {len(late)} requests began on version 1 up to {max(late)[0]:.1f} s after the ack of version 2")


main(HERE, 4, case)
