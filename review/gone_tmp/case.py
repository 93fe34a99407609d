"""A client that has pipelined many requests leaves; the node does not notice that it has left."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import standins  # noqa: E402

DEPTH = 40
WORK_S = 1.8
ROUTE_TIMEOUT_MS, DEADLINE_MS = 4000, 6000
LEAVES_AFTER_S = 1.0
LATE_S = 0.5
FEW = 5


async def work(upstream, method, target, fields, body):
    await asyncio.sleep(WORK_S)
    return standins.served(upstream, fields)


async def pipeline(mesh, machine, name, trouble):
    """Sends DEPTH safe requests on one connection. With trouble it leaves after LEAVES_AFTER_S;
    otherwise it reads all answers. Returns the ids and the time at which it left."""
    reader, writer = await asyncio.open_connection(machine.host, standins.OUTBOUND)
    ids = [f"{name}-{number}" for number in range(DEPTH)]
    for request_id in ids:
        mesh.record.write(f"{request_id} sent to {machine.name}")
        writer.write(standins.request_text("GET", "plan.example", "/plan/1", request_id,
                                           DEADLINE_MS))
    await writer.drain()
    if trouble:
        await asyncio.sleep(LEAVES_AFTER_S)
        writer.close()
        mesh.record.write(f"{name} has left")
        return ids, mesh.record.now()
    try:
        for request_id in ids:
            words, fields = await asyncio.wait_for(standins.read_head(reader), 10)
            await standins.read_body(reader, fields)
            mesh.record.write(f"{request_id} answered {words[1]}")
    except standins.CALL_ERRORS as error:
        mesh.record.write(f"{name}: {type(error).__name__}")
    writer.close()
    return ids, mesh.record.now()


async def case(record, trouble):
    mesh = standins.Mesh(record)
    await mesh.store.start()
    fronts = [mesh.add(f"front-{zone}", zone, "front") for zone in "abc"]
    backs = [mesh.add(f"schedules-{zone}", zone, "schedules") for zone in "abc"]
    try:
        for machine in fronts + backs:
            await mesh.add_upstream(machine, f"i-{machine.name}", work=work, slots=12)
        await mesh.configure(3, [["r1", "plan.example", "/plan/", "safe", ROUTE_TIMEOUT_MS, 2000, 2,
                                  2, "schedules"]], ["front", "schedules"])
        await mesh.start()
        await asyncio.sleep(5)
        left = await asyncio.gather(*(pipeline(mesh, machine, machine.name, trouble)
                                      for machine in fronts[:1]))
        await asyncio.sleep(WORK_S + 1)
        return check(record, mesh, left)
    finally:
        await mesh.stop()


def check(record, mesh, left):
    """The rule GONE, as written."""
    late_arrivals, lasting, at_work = 0, 0, 0
    for ids, gone_at in left:
        for request_id in ids:
            for arrival in mesh.arrivals(request_id):
                limit = gone_at + LATE_S
                late_arrivals += arrival["at"] > limit
                if arrival["ran"] and arrival["at"] <= gone_at and arrival["at"] + WORK_S > limit:
                    lasting += 1
                    at_work += arrival["end"] is None or arrival["end"] > limit
    record.say(f"{late_arrivals} requests reached an upstream over {LATE_S} s after their client "
               f"had left; of {lasting} runs that would have lasted so long, upstreams were still "
               f"at work on {at_work}")
    return late_arrivals > FEW or at_work > lasting / 4


standins.run_case(case, FOLDER)
