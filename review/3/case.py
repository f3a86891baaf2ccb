"""After an outage of the store, machines send to servers that have left.

Six zones of three machines. The store answers nobody for five seconds, and
the entries of the servers lapse meanwhile. Each server registers again within
two seconds of the store's return. Later, in calm, the servers leave one after
the other without saying that they drain: the entry is removed, and the server
goes on serving for many seconds. No request may reach it later than
drain-timeout-ms after that.
TROUBLE=0: the store has no outage.
"""

import asyncio
import os
import random
import time

import standins
from standins import Connection, Machine, Server, Store

ZONES = {"east-a": "east", "mid-a": "mid", "west-a": "west",
         "east-b": "east", "mid-b": "mid", "west-b": "west"}
MACHINES_IN_ZONE = 3
SERVERS = 18
LATECOMERS = 3  # servers that join after the outage and stay
OUTAGE_S = 5
CONTACT_S = 3
DRAIN_S = 2.0  # drain-timeout-ms
SERVE_ON_S = 12  # for which a server serves after its entry is removed


async def send_all_the_time(machine, number, tally):
    turn = 0
    while True:
        turn += 1
        connection = Connection(lambda text: None, "client")
        ident = "%s-%d-%d" % (machine.name, number, turn)
        try:
            await connection.open(machine.front)
            answer = await connection.send(
                "GET", "/x/%d" % turn, ident, 3000, 50, quiet=True)
            tally.append((time.monotonic(), machine.name, answer.status))
            connection.close()
        except (OSError, asyncio.TimeoutError):
            tally.append((time.monotonic(), machine.name, 0))
        await asyncio.sleep(0.1)


async def register_again(server):
    """Within two seconds of the store's return, as the pages say."""
    await asyncio.sleep(random.uniform(0.1, 1.5))
    if ("servers", server.ident) not in server.store.rows:
        server.register()


async def scenario(record, folder, machines):
    store = Store()
    await store.start()
    store.put("op", "config", standins.config(
        [standins.route("r", "idempotent", "/x/", "s", 3000)], ["s"]))
    zones = list(ZONES)

    async def add_server(ident, number):
        server = Server(store, record, ident, "s",
                        zones[number % len(zones)], 8, 16)
        server.verbose = False
        await server.start()
        return server

    servers = [await add_server("i-%d" % i, i) for i in range(SERVERS)]
    for i in range(MACHINES_IN_ZONE):
        for zone in ZONES:
            machine = Machine(store, record, folder, "front-%s-%d" % (zone, i),
                              ZONES[zone], zone, ZONES)
            machines.append(machine)
            await machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(6)
    tally = []
    for machine in machines:
        for i in range(3):
            asyncio.ensure_future(send_all_the_time(machine, i, tally))
    await asyncio.sleep(3)
    if standins.TROUBLE:
        record("the store answers nobody")
        store.silent = True
        await asyncio.sleep(OUTAGE_S - 1)
        for server in servers:
            store.remove("servers", server.ident)
        record("the entries of all servers have lapsed")
        await asyncio.sleep(1)
        store.silent = False
        record("the store is back")
        for server in servers:
            asyncio.ensure_future(register_again(server))
    await asyncio.sleep(2)
    back = sum(1 for s in servers if ("servers", s.ident) in store.rows)
    record("%d of %d entries are back" % (back, len(servers)))
    if back < len(servers):
        raise standins.CannotRun("a server did not register again")
    for i in range(LATECOMERS):
        await add_server("i-late-%d" % i, i)
    await asyncio.sleep(CONTACT_S + 5)

    def report():
        now = time.monotonic()
        for machine in machines:
            last = [status for sent, name, status in tally
                    if name == machine.name and sent > now - 2]
            record("%s: of %d requests, 200: %d, 503: %d"
                   % (machine.name, len(last), last.count(200),
                      last.count(503)))

    report()
    left = {}
    for server in servers:
        server.beat.cancel()
        store.remove("servers", server.ident)
        left[server.ident] = time.monotonic()
        record("the store has acknowledged that %s is gone; it serves on"
               % server.ident)
        asyncio.get_running_loop().call_later(SERVE_ON_S, server.leave)
        await asyncio.sleep(0.5)
    await asyncio.sleep(SERVE_ON_S)
    report()
    late = 0
    for server in servers:
        for at, ident in server.arrivals:
            after = at - left[server.ident]
            if after > DRAIN_S:
                late += 1
                if late <= 200:
                    record("request %s reached %s %.0f ms after it was gone"
                           % (ident, server.ident, after * 1000))
    record("requests that reached a server later than drain-timeout-ms after"
           " its leaving was acknowledged: %d" % late)
    return standins.BROKEN if late > 0 else standins.HELD


standins.run(os.path.dirname(os.path.abspath(__file__)), scenario)
