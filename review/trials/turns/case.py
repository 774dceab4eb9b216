"""ONE: clients come back after a quiet time, while a machine is cut off from the other machines."""

import asyncio
import os
import random
import time

import lab

HOSTS, REPLICAS = 3, 4
LEASE_S, THAW_S = 3.0, 0.3  # LeaseMs, ThawMs
CUT_S, QUIET_S = 12.0, 10.4


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

    async def ask(seconds, hosts, pause, same=False):
        """Requests at the hosts in turn, each for an adapter of its own, or `same`: for one adapter at all
        hosts, then for the next."""
        nonlocal count
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            count += 1
            i = hosts[count % len(hosts)]
            rare = count // len(hosts) * 7 % 3000 if same else random.randrange(3000)
            headers = lab.generation(f"a{rare}")
            tasks.append(asyncio.create_task(lab.send(fleet.front(i), "POST", "/notes/1", f"notes-{count}",
                                                      headers, b"x", 6000)))
            await asyncio.sleep(pause)

    everyone = list(range(HOSTS))
    await ask(6, everyone, 0.15)
    if not any(r.orders for r in replicas):
        raise lab.CannotRun("no order was given")
    giver = max(o for r in replicas for o in r.orders)[1]
    cut = int(giver.split("-")[1]) - 1
    begin = time.monotonic()
    if lab.TROUBLE:
        fleet.links.cut.add(cut)
        record(f"{fleet.ips[cut]} ({giver}) is cut off from the other machines")
    record("a quiet time begins")
    await asyncio.sleep(QUIET_S)
    record("the quiet time ends")
    await ask(CUT_S - QUIET_S, everyone, 0.02, same=True)
    end = time.monotonic()
    fleet.links.cut.clear()
    record("the cut has healed")
    answers = await asyncio.gather(*tasks)
    record(f"answers: {sum(a.status == 200 and a.whole for a in answers)} of {len(answers)} whole")
    # Only orders during the cut are judged.
    lower, turns = lab.judge_orders(replicas, LEASE_S, [(0, begin), (end, end + 60)])
    record(f"during the cut: two holders within the lease: {len(turns)} {turns[:4]}; "
           f"lower fences: {len(lower)} {lower[:2]}")
    return bool(turns)


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
