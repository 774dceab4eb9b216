"""LOST: another writer leaves an odd entry among those of the replicas."""

import asyncio
import os
import time

import lab

HOSTS, CLIENTS = 3, 30


async def case(record, temp, cleanups):
    store = lab.Store()
    await store.listen()
    services = [{"Name": "orders-app", "HealthPath": "/health", "MaxConns": 110}]
    routes = [lab.route("order-lookup", "safe", "orders-app", 1000, slo_ms=150, attempts=2),
              lab.route("order-commit", "unsafe", "orders-app", 1000, slo_ms=150, attempts=1)]
    store.put("op/config", lab.config(1, routes, services))
    replicas = [lab.Replica(record, store, f"i-{n}", "orders-app", work_s=0.03, errors=0.14) for n in range(4)]
    for r in replicas:
        await r.start()
    fleet = lab.Fleet(record, store, HOSTS, temp)
    cleanups.append(fleet.close)
    for i in range(HOSTS):
        fleet.start(i)
    await fleet.ready()
    await asyncio.sleep(3)
    end = time.monotonic() + 24
    sent, counts = [], {"whole": 0}

    async def client(n):
        """Sends one request after the other on a kept channel, to the host of its number."""
        front, number = fleet.front(n % HOSTS), 0
        while time.monotonic() < end:
            c = lab.Channel(front)
            while time.monotonic() < end:
                number += 1
                name = ("order-lookup", "order-commit")[number % 2]
                ident = f"{name}-{n}-{number}"
                kept = c.answers > 0
                a = await c.send("GET" if name == "order-lookup" else "POST", f"/{name}/1", ident,
                                 body=b"" if name == "order-lookup" else b"x" * 300, deadline_ms=1000)
                sent.append((ident, kept, a))
                counts["whole"] += a.whole
                if not a.whole:
                    record(f"{ident} on a {'kept' if kept else 'new'} channel to {front[0]}: {a}, {c.error}")
                    break
                await asyncio.sleep(0.1)
            c.close()
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(4)
    if lab.TROUBLE:
        # A copy of the entry of a replica, under its id with a line feed, as a tool leaves it that takes
        # the id from a line of text.
        store.put("servers/i-0\n", store.items["servers/i-0"][0])
        record("another writer has written an entry: servers/i-0 with a line feed at its end")
    await asyncio.gather(*clients)
    runs = {ident for r in replicas for ident, *_ in r.runs}
    # Passed on to a sound replica, and the channel closed by the host without an answer.
    lost = [i for i, kept, a in sent if kept and a.status is None and a.closed and i in runs]
    unanswered = [i for i, _, a in sent if a.status is None and a.closed]
    exits = [p.poll() for p in fleet.processes]
    record(f"attempts: {len(sent)}, answered whole: {counts['whole']}; on a kept channel, run by a replica and "
           f"closed without an answer: {len(lost)} {lost[:4]}; closed without an answer in all: "
           f"{len(unanswered)}; exits of hosts: {exits}")
    panics = 0
    for name in sorted(os.listdir(temp)):
        if name.endswith(".log"):
            with open(os.path.join(temp, name)) as f:
                lines = [line.strip() for line in f if "panicked" in line]
            panics += len(lines)
            for line in lines[:1]:
                record(f"{name}: {len(lines)} times: {line}")
    return len(lost) > 3


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
