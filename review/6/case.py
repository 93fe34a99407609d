"""The machines of a new release are lost as they start, and come back some seconds later. Meanwhile
the share of the release is raised, without one answer of it."""
import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import standins  # noqa: E402

REQUESTS_PER_S = 100
WORK_S = 0.06
DURATION_S = 12
LOST_FOR_S = 7.0
BAD_AFTER_S, FAILING_SHARE = 3.0, 0.5  # `rollout_bad` with how "late".


async def good_work(upstream, method, target, fields, body):
    await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
    return standins.served(upstream, fields)


async def late_bad_work(upstream, method, target, fields, body):
    await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
    is_bad = upstream.machine.mesh.record.now() > upstream.started_at + BAD_AFTER_S
    failing = is_bad and random.random() < FAILING_SHARE
    return standins.served(upstream, fields, b"failed" if failing else b"done",
                           500 if failing else 200)


class Clients:
    """Unsafe requests of clients on the front machines, on kept connections."""

    def __init__(self, mesh, machines):
        self.mesh, self.machines = mesh, machines
        self.idle = {machine.name: [] for machine in machines}
        self.sent, self.answers, self.tasks, self.stopped = {}, {}, set(), False

    async def run(self):
        number = 0
        while not self.stopped:
            number += 1
            task = asyncio.create_task(self.send(random.choice(self.machines), f"q{number}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def send(self, machine, request_id):
        idle = self.idle[machine.name]
        try:
            reader, writer = idle.pop() if idle else await asyncio.open_connection(
                machine.host, standins.OUTBOUND)
            self.sent[request_id] = self.mesh.record.now()
            self.mesh.record.write(f"{request_id} sent to {machine.name}")
            writer.write(standins.request_text("POST", "desk.example", "/book/1", request_id, 2500,
                                               b"slot"))
            words, fields = await asyncio.wait_for(standins.read_head(reader), 5)
            await standins.read_body(reader, fields)
            self.answers[request_id] = int(words[1])
            if fields.get("connection", "") == "close":
                writer.close()
            else:
                idle.append((reader, writer))
        except standins.CALL_ERRORS as error:
            self.answers[request_id] = type(error).__name__
        self.mesh.record.write(f"{request_id} answered {self.answers[request_id]}")


async def case(record, trouble):
    mesh = standins.Mesh(record)
    await mesh.store.start()
    zones = ["a", "b", "c"]
    fronts = [mesh.add(f"front-{zone}", zone, "front") for zone in zones]
    teams = {version: [mesh.add(f"bookings-{version}-{zone}", zone, "bookings") for zone in zones]
             for version in ("v1", "v2")}
    try:
        for machine in fronts:
            await mesh.add_upstream(machine, f"i-{machine.name}", work=good_work)
        old = [await mesh.add_upstream(machine, f"i-{machine.name}", work=good_work)
               for machine in teams["v1"]]
        await mesh.configure(3, [["r1", "desk.example", "/book/", "unsafe", 1200, 400, 1, 2,
                                  "bookings"]], ["front", "bookings"])
        await mesh.start(fronts + teams["v1"])
        await asyncio.sleep(3)
        clients = Clients(mesh, fronts)
        traffic = asyncio.create_task(clients.run())
        await asyncio.sleep(3)
        new = []

        async def bring_up():
            for machine in teams["v2"]:
                await machine.start()
            for machine in teams["v2"]:
                upstream = await mesh.add_upstream(machine, f"i-{machine.name}", version="v2",
                                                   work=late_bad_work)
                upstream.started_at = record.now()
                new.append(upstream)

        async def follow_status():
            """The operator stops the old upstreams at once when it reads `completed`."""
            last = None
            while True:
                status = mesh.store.read("status", "rollout/bookings")
                if status != last:
                    record.say(f"{record.now() - ordered_at:5.1f} s after the order: {status}")
                    last = status
                if status and status["state"] == "completed":
                    for upstream in old:
                        upstream.stopped = True
                        upstream.beats.cancel()
                        upstream.server.close()
                        upstream.close_connections()
                    return
                await asyncio.sleep(0.05)

        await mesh.store.put("op", "rollout/bookings", {
            "service": "bookings", "target": "v2", "duration_s": DURATION_S})
        ordered_at = record.now()
        operator = asyncio.create_task(follow_status())
        if trouble:
            record.write("the machines of v2 lose power as they start")
            await asyncio.sleep(LOST_FOR_S)
        await bring_up()
        await asyncio.sleep(max(0, ordered_at + DURATION_S + 2 - record.now()))
        clients.stopped = True
        await traffic
        operator.cancel()
        return check(record, mesh, clients, new, ordered_at)
    finally:
        await mesh.stop()


def check(record, mesh, clients, new, ordered_at):
    """The rule EXPOSURE, as written."""
    deadline = ordered_at + DURATION_S
    in_time = lambda upstreams: sum(ordered_at <= a["at"] <= deadline
                                    for upstream in upstreams for a in upstream.arrivals)
    total = in_time([u for u in mesh.upstreams if u.service == "bookings"])
    allowed = (standins.BOUNDS["exposure_share"] * total + standins.BOUNDS["exposure_slack"])
    by_status = {}
    for request_id, sent_at in clients.sent.items():
        if sent_at > ordered_at:
            answer = clients.answers.get(request_id)
            by_status[answer] = by_status.get(answer, 0) + 1
    record.say(f"between the order and the deadline v2 got {in_time(new)} of {total} requests; "
               f"allowed are {allowed:.0f}; answers since the order: {by_status}")
    return in_time(new) > allowed


standins.run_case(case, FOLDER)
