"""A release that was rolled back serves again when the next roll-out of its service is ordered."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import standins  # noqa: E402

REQUESTS_PER_S = 200
WORK_S = 0.05
SLOW_SHARE, SLOW_FACTOR = 0.3, 8
ROUTE_TIMEOUT_MS = 300
DURATION_S = 12
DRAINS_AFTER_S = 8.0
NEXT_ORDER_AFTER_S = 0.65
SERVED_S = 2.0  # How long a draining upstream goes on, `drain_timeout_ms`.
KEPT = {}


async def good_work(upstream, method, target, fields, body):
    await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
    return standins.served(upstream, fields)


async def bad_work(upstream, method, target, fields, body):
    factor = SLOW_FACTOR if random.random() < SLOW_SHARE else 1
    KEPT[fields["request-id"]] = factor > 1
    await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S * factor)
    return standins.served(upstream, fields)


class Clients:
    """Clients of the three front machines: one request at a time on a kept connection each."""

    def __init__(self, mesh, machines):
        self.mesh, self.machines = mesh, machines
        self.idle = {machine.name: [] for machine in machines}
        self.sent, self.answers = {}, {}
        self.tasks = set()
        self.stopped = False

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
            self.mesh.record.write(f"{request_id} answered {words[1]}")
            if fields.get("connection", "") == "close":
                writer.close()
            else:
                idle.append((reader, writer))
        except standins.CALL_ERRORS as error:
            self.answers[request_id] = None
            self.mesh.record.write(f"{request_id} got no answer: {type(error).__name__}")


async def wait_for_state(mesh, target, states, limit_s):
    for _ in range(int(limit_s / 0.05)):
        status = mesh.store.read("status", "rollout/bookings")
        if status and status["target"] == target and status["state"] in states:
            return status["state"]
        await asyncio.sleep(0.05)
    return None


async def case(record, trouble):
    mesh = standins.Mesh(record)
    await mesh.store.start()
    zones = ["a", "b", "c"]
    fronts = [mesh.add(f"front-{zone}", zone, "front") for zone in zones]
    teams = {version: [mesh.add(f"bookings-{version}-{zone}", zone, "bookings") for zone in zones]
             for version in ("v1", "v2", "v3")}
    try:
        for machine in fronts:
            await mesh.add_upstream(machine, f"i-{machine.name}", work=good_work)
        for machine in teams["v1"]:
            await mesh.add_upstream(machine, f"i-{machine.name}", version="v1", work=good_work)
        await mesh.configure(3, [["r1", "desk.example", "/book/", "unsafe", ROUTE_TIMEOUT_MS,
                                  ROUTE_TIMEOUT_MS, 1, 2, "bookings"]], ["front", "bookings"])
        await mesh.start(fronts + teams["v1"])
        await asyncio.sleep(1.5)
        clients = Clients(mesh, fronts)
        traffic = asyncio.create_task(clients.run())
        await asyncio.sleep(3)

        async def bring_in(version, work):
            await mesh.start(teams[version])
            started = [await mesh.add_upstream(machine, f"i-{machine.name}", version=version,
                                               work=work) for machine in teams[version]]
            await asyncio.sleep(1)
            await mesh.store.put("op", "rollout/bookings", {
                "service": "bookings", "target": version, "duration_s": DURATION_S})
            return started, record.now()

        async def take_away(upstreams, after_s):
            await asyncio.sleep(after_s)
            record.write("the rolled back upstreams are told to drain")
            await asyncio.gather(*(upstream.drain() for upstream in upstreams))
            await asyncio.sleep(standins.BOUNDS["drain_timeout_ms"] / 1000 + 0.5)
            await asyncio.gather(*(upstream.leave() for upstream in upstreams))

        bad, ordered_at = await bring_in("v2", bad_work)
        state = await wait_for_state(mesh, "v2", ("completed", "rolled_back"), DURATION_S)
        rolled_back_at = record.now()
        record.say(f"v2: {state}, {rolled_back_at - ordered_at:.1f} s after its order")
        if state != "rolled_back":
            raise standins.CannotRun("v2 was not rolled back")
        leaving = asyncio.create_task(take_away(bad, DRAINS_AFTER_S))
        if trouble:
            await asyncio.sleep(NEXT_ORDER_AFTER_S)
        else:
            await leaving
        await bring_in("v3", good_work)
        state = await wait_for_state(mesh, "v3", ("completed", "rolled_back"), DURATION_S + 3)
        record.say(f"v3: {state}")
        await leaving
        await asyncio.sleep(1)
        clients.stopped = True
        await traffic
        return check(record, mesh, clients, bad, ordered_at, rolled_back_at)
    finally:
        await mesh.stop()


def check(record, mesh, clients, bad, ordered_at, rolled_back_at):
    """The rule EXPOSURE, as written."""
    deadline = ordered_at + DURATION_S
    served = [arrival for upstream in mesh.upstreams if upstream.service == "bookings"
              for arrival in upstream.arrivals]
    to_bad = [arrival for upstream in bad for arrival in upstream.arrivals]
    in_time = lambda arrivals: [a for a in arrivals if ordered_at <= a["at"] <= deadline]
    allowed = (standins.BOUNDS["exposure_share"] * len(in_time(served)) +
               standins.BOUNDS["exposure_slack"])
    bad_answers = sorted(a["end"] for a in to_bad if a["end"] and KEPT.get(a["id"]))
    after = [a for a in to_bad if a["at"] > rolled_back_at + 1]
    lost = [a for a in after if clients.answers.get(a["id"]) != 200]
    record.say(f"between the order and the deadline v2 got {len(in_time(to_bad))} of "
               f"{len(in_time(served))} requests; allowed are {allowed:.0f}")
    record.say(f"later than 1 s after its roll-back v2 got {len(after)} requests; "
               f"{len(lost)} of these, all unsafe, got no answer of it in time")
    broken = len(in_time(to_bad)) > allowed
    if len(bad_answers) >= 50:
        limit = bad_answers[49] + standins.BOUNDS["rollback_ms"] / 1000
        late = [a for a in to_bad if clients.sent[a["id"]] > limit]
        record.say(f"the 50th bad answer ended at {bad_answers[49]:.1f} s; {len(late)} requests "
                   f"that v2 got were sent more than 5 s later")
        broken = broken or bool(late)
    return broken


standins.run_case(case, FOLDER)
