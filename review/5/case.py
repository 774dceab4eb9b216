"""LIMIT: adapters that fill the memory of a replica before its adapter slots are taken."""

import asyncio
import os

import lab

# A replica of this site has 67,100 MB for a model of 65,500 MB and its adapters, and 8 adapter slots.
# With 40 MB an adapter all slots can be taken; with 300 MB the memory holds five adapters.
ADAPTER_MB = 300.0 if lab.TROUBLE else 40.0
HOSTS, REPLICAS, ADAPTERS = 3, 2, 24


async def case(record, temp, cleanups):
    store = lab.Store()
    await store.listen()
    services = [{"Name": "deck-models", "HealthPath": "/health", "MaxConns": 370,
                 "Engine": lab.engine(ADAPTER_MB)}]
    store.put("op/config", lab.config(1, [lab.route("collate-notes", "streaming", "deck-models", 15000)], services))
    replicas = [lab.Replica(record, store, f"i-{n}", "deck-models", "m0", adapter_mb=ADAPTER_MB,
                            events=30) for n in range(REPLICAS)]
    for r in replicas:
        await r.start()
    fleet = lab.Fleet(record, store, HOSTS, temp)
    cleanups.append(fleet.close)
    for i in range(HOSTS):
        fleet.start(i)
    await fleet.ready()
    # Machines order nothing before the lease has passed.
    await asyncio.sleep(5)
    record(f"adapters of {ADAPTER_MB:.0f} MB")

    async def note(n):
        ident = f"note-{n}"
        front = fleet.front(n % HOSTS)
        a = await lab.send(front, "POST", "/collate-notes/1", ident, lab.generation(f"a{n}"), b"x" * 200, 15000)
        record(f"{ident} at {front[0]} for adapter a{n}: {a}")
        return a

    # One note every 0.6 s, each for an adapter of its own, and each takes 3 s.
    tasks = []
    for n in range(ADAPTERS):
        tasks.append(asyncio.create_task(note(n)))
        await asyncio.sleep(0.6)
        if any(r.over for r in replicas):
            break
    answers = await asyncio.gather(*tasks)
    over = [(r.ident, *o) for r in replicas for o in r.over]
    record(f"answers: {sum(a.status == 200 and a.whole for a in answers)} of {len(answers)} whole; "
           f"{sum(a.status == 200 and not a.whole for a in answers)} broken off")
    record(f"orders beyond what a replica holds: {over}")
    return bool(over)


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
