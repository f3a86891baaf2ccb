"""A machine that gets SIGTERM takes requests that it then breaks off.

Two machines, one service of bookings. Clients keep connections to the first
machine; some keep their answer of the directory for three times ttl-s, which
is six seconds here. The machine gets SIGTERM. Each client sends one booking on
its kept connection, a quarter of a second after the one before. The last ones
are read and passed on to a server, and their connections end without an answer
when the machine ends.
TROUBLE=0: the machine gets no SIGTERM.
"""

import asyncio
import os
import signal
import time

import standins
from standins import Connection, Machine, Server, Store

ZONES = {"east-a": "east", "west-a": "west"}
WORK_MS = 840
# Seconds after the SIGTERM at which each client sends its booking.
SENDS = [0.25 * i for i in range(1, 23)]


async def scenario(record, folder, machines):
    store = Store()
    await store.start()
    store.put("op", "config", standins.config(
        [standins.route("book", "non_idempotent", "/book/", "bookings",
                        4000)], ["bookings"]))
    servers = []
    for zone in ZONES:
        server = Server(store, record, "i-%s" % zone, "bookings", zone, 8, 16)
        await server.start()
        servers.append(server)
    for zone, region in ZONES.items():
        machine = Machine(store, record, folder, "front-%s" % zone, region,
                          zone, ZONES)
        machines.append(machine)
        await machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(4)
    leaving = machines[0]

    # The directory's answer, with the time for which clients may keep it.
    asked = Connection(record, "directory client")
    await asked.open(leaving.directory)
    looked_up = await asked.send(
        "GET", "/laburnumdyke/resolve?name=a.example&region=east&zone=east-a",
        "lookup", 1000)
    record("the directory answered %s" % looked_up.body.decode())

    async def new_client(name):
        connection = Connection(record, name)
        await connection.open(leaving.front)
        answer = await connection.send("POST", "/book/1", name + "-first",
                                       4000, 50, body=b"b")
        if answer.status != 200:
            raise standins.CannotRun("the first booking failed")
        return connection

    clients = [await new_client("client-%d" % i) for i in range(len(SENDS))]
    if standins.TROUBLE:
        leaving.signal(signal.SIGTERM)
    told = time.monotonic()

    async def book(connection, after_s):
        await asyncio.sleep(told + after_s - time.monotonic())
        ident = connection.name + "-booking"
        answer = await connection.send("POST", "/book/1", ident, 4000, WORK_MS,
                                       body=b"b")
        return ident, answer

    booked = await asyncio.gather(*[
        book(connection, after_s)
        for connection, after_s in zip(clients, SENDS)])
    await asyncio.sleep(1)
    runs = {}
    for server in servers:
        runs.update(server.runs)
    lost = 0
    for ident, answer in booked:
        ran = "ran" if ident in runs else "did not run"
        record("%s: %s, answer %d, %s" % (ident, ran, answer.status,
                                          answer.ended))
        if ident in runs and answer.status == 0:
            lost += 1
    record("bookings passed on to a server whose connection ended without an"
           " answer: %d of %d" % (lost, len(booked)))
    return standins.BROKEN if lost > 0 else standins.HELD


standins.run(os.path.dirname(os.path.abspath(__file__)), scenario)
