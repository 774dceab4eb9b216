"""ONE: the owner of a replica is cut off from the other machines for 12 s and comes back."""

import asyncio
import os
import random
import time

import lab

HOSTS, REPLICAS = 3, 4
LEASE_S, THAW_S = 3.0, 0.3  # LeaseMs, ThawMs
CUT_S = 12.0


async def case(record, temp, cleanups):
    store = lab.Store()
    await store.listen()
    services = [{"Name": "deck-models", "HealthPath": "/health", "MaxConns": 370, "Engine": lab.engine()}]
    routes = [lab.route("notes", "streaming", "deck-models", 15000)]
    store.put("op/config", lab.config(1, routes, services))
    replicas = [lab.Replica(record, store, f"i-{n}", "deck-models", "m0", events=4) for n in range(REPLICAS)]
    for r in replicas:
        await r.start()
    fleet = lab.Fleet(record, store, HOSTS, temp, linked=True)
    cleanups.append(fleet.close)
    await fleet.links.start()
    cleanups.append(fleet.links.close)
    for i in range(HOSTS):
        fleet.start(i)
    await fleet.ready()
    await asyncio.sleep(6)
    tasks, count = [], 0

    async def ask(seconds, hosts):
        """Requests for adapters that few others ask for, every 150 ms."""
        nonlocal count
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            count += 1
            i = hosts[count % len(hosts)]
            ident = f"notes-{count}"
            headers = lab.generation(f"a{random.randrange(3000)}")
            tasks.append(asyncio.create_task(lab.send(fleet.front(i), "POST", "/notes/1", ident, headers,
                                                      b"x", 6000)))
            await asyncio.sleep(0.15)

    everyone = list(range(HOSTS))
    await ask(6, everyone)
    orders = [o for r in replicas for o in r.orders]
    if not orders:
        raise lab.CannotRun("no order was given")
    # The machine that gave the last order is cut off from the other machines. Clients use the others
    # meanwhile, as the directory tells them.
    giver = max(orders)[1]
    cut = int(giver.split("-")[1]) - 1
    rest = [i for i in everyone if i != cut]
    if lab.TROUBLE:
        fleet.links.cut.add(cut)
        record(f"{fleet.ips[cut]} ({giver}) is cut off from the other machines")
    await ask(CUT_S, rest)
    fleet.links.cut.clear()
    healed = time.monotonic()
    record("the cut has healed")
    await ask(10, everyone)
    answers = await asyncio.gather(*tasks)
    record(f"answers: {sum(a.status == 200 and a.whole for a in answers)} of {len(answers)} whole")
    lower, turns = lab.judge_orders(replicas, LEASE_S, [(healed, healed + THAW_S)])
    record(f"orders: {sum(len(r.orders) for r in replicas)}; with a lower fence after a higher one: "
           f"{len(lower)} {lower[:3]}; two holders within the lease: {len(turns)} {turns[:3]}")
    return bool(lower or turns)


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
