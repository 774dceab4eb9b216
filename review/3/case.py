"""ORDER: streams are taken up after the software version that began them has left."""

import asyncio
import os
import random
import time

import lab

# A stream takes 6 s. The operator lets a request wait for 4 s; clients wait for 12 s.
TIMEOUT_MS, BUDGET_MS, EVENTS, GAP_S = 4000, 12000, 30, 0.2
HOSTS, STREAMS = 5, 120


async def case(record, temp, cleanups):
    store = lab.Store()
    await store.listen()
    services = [{"Name": "deck-models", "HealthPath": "/health", "MaxConns": 370, "Engine": lab.engine()}]
    routes = [lab.route("audit", "streaming", "deck-models", TIMEOUT_MS, attempts=2, resume=True)]
    store.put("op/config", lab.config(1, routes, services))

    def replica(version, n):
        return lab.Replica(record, store, f"i-{version}-{n}", "deck-models", "m0", version,
                           events=EVENTS, gap_s=GAP_S)

    old = [replica("v1", n) for n in range(4)]
    for r in old:
        await r.start()
    fleet = lab.Fleet(record, store, HOSTS, temp)
    cleanups.append(fleet.close)
    for i in range(HOSTS):
        fleet.start(i)
    await fleet.ready()
    # Machines order nothing before the lease has passed, and judge versions after some seconds.
    await asyncio.sleep(8)
    joined, resumed = [], []

    async def client(n):
        """One request: it goes on at `Last-Event-Id` after a broken channel, at a random host."""
        end, first, events, tries, wait = time.monotonic() + BUDGET_MS / 1000, None, [], 0, 0
        while time.monotonic() < end and tries < 5 and len(events) < EVENTS:
            await asyncio.sleep(wait)
            tries += 1
            ident = f"audit-{n}-{tries}"
            left = max(int((end - time.monotonic()) * 1000), 1)
            headers = lab.generation("a1", block=1000 + n)
            if events:
                headers += [("Last-Event-Id", events[-1][0]), ("Resumes", first)]
            i = random.randrange(HOSTS)
            a = await lab.send(fleet.front(i), "POST", f"/audit/{n}", ident, headers, b"x" * 100, left)
            got = a.events() if a.status == 200 else []
            record(f"{ident} at {fleet.ips[i]}: {a}, events {got[0][0] if got else '-'} to "
                   f"{got[-1][0] if got else '-'}, {sorted({d.split()[0] for _, d in got})}")
            first = first or (ident if got else None)
            if events and got:
                resumed.append(ident)
            events += got
            # At once after a broken channel, then with a growing pause that is at least what the host
            # asks for, up to a third of the time left.
            pause = 0.1 if tries == 1 else 0.25 * 2 ** (tries - 1)
            wait = min(max(float(a.headers.get("retry-after", 0)), pause), left / 3000)
        versions = sorted({d.split()[0] for _, d in events})
        record(f"audit-{n}: {len(events)} events of versions {versions} over {tries} tries")
        if len(versions) > 1:
            joined.append(n)

    warm = await lab.send(fleet.front(0), "POST", "/audit/w", "warm", lab.generation("a1"), b"x", 4000)
    record(f"first load: {warm}")
    # The replica that holds the adapter is the last one that is replaced.
    old.sort(key=lambda r: "a1" in r.adapters)
    clients = []

    async def begin_streams():
        for n in range(STREAMS):
            clients.append(asyncio.create_task(client(n)))
            await asyncio.sleep(0.6 / STREAMS)

    async def serve_on(r):
        """A replica that has left the store serves for DrainMs and 1 s more."""
        await asyncio.sleep(3.0)
        await r.end()
        record(f"{r.ident} has ended")

    # Two releases of half of the replicas each, one replica after the other: the new one starts first, then
    # the old one leaves. The old ones never report `draining`: their entries are removed, and they serve on
    # for a while.
    ends = []
    for k, r in enumerate(old):
        if k == len(old) - 1:
            await begin_streams()
        if lab.TROUBLE:
            new = replica("v2", k)
            await new.start()
            record(f"{new.ident} of v2 is listed")
            await asyncio.sleep(0.3)
            r.unlist()
            record(f"{r.ident} has left the store")
            ends.append(asyncio.create_task(serve_on(r)))
        await asyncio.sleep(0.7)
    await asyncio.gather(*ends)
    await asyncio.gather(*clients)
    record(f"streams: {STREAMS}; taken up with events: {len(resumed)}; "
           f"with events of two versions: {len(joined)} {joined}")
    return len(joined) > 2


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
