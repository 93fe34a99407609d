"""The upstreams of a service turn slow for some seconds, and all nodes are killed meanwhile.

The upstreams go on with a request whose connection was closed. Without trouble neither happens.
Rule RECOVER: of the requests sent later than recovery_s after the machines are back, less than a
quarter is served, though a quarter or more was before the final fault.
"""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import mesh as m  # noqa: E402

HOST = "desk.example"
REQUESTS_PER_S = 30
WORK_S = 0.12
SLOW_FACTOR = 12
SLOW_S = 9.0
DOWN_S = 1.4
MEASURED_S = 10


def case(mesh):
    slow = threading.Event()

    def answer(run):
        time.sleep(WORK_S * (SLOW_FACTOR if slow.is_set() else 1))
        return 200, b"done"

    front = mesh.add("portal")
    desks = [mesh.add("desk", slots=4, queue=8, answer=answer) for _ in range(2)]
    mesh.put_config(1, [("lookup", HOST, "/lookup/", "safe", 800, 400, "desk")],
                    ["portal", "desk"])
    mesh.start()
    ended, sent, clients = threading.Event(), [], []

    def look_up():
        at = time.monotonic()
        request_id, status = m.client_request(mesh, front, "GET", "/lookup/1", HOST, 1500)
        sent.append((at, request_id, status))

    def keep_asking():
        while not ended.wait(1 / REQUESTS_PER_S):
            clients.append(threading.Thread(target=look_up))
            clients[-1].start()

    def served_share(begin, end):
        statuses = [status for at, _, status in sent if begin <= at < end]
        share = sum(status == 200 for status in statuses) / max(len(statuses), 1)
        mesh.record.write(f"of {len(statuses)} requests sent from {begin - mesh.record.start:.2f} "
                          f"to {end - mesh.record.start:.2f}, {share:.2%} were served")
        return share

    traffic = threading.Thread(target=keep_asking)
    traffic.start()
    begin = time.monotonic()
    time.sleep(4)
    fault_at = time.monotonic()
    if m.TROUBLE:
        mesh.record.write("the upstreams of desk turn slow")
        slow.set()
        time.sleep(2)
        for machine in mesh.machines:
            machine.kill()
        time.sleep(DOWN_S)
        for machine in mesh.machines:
            machine.start()
        back_at = time.monotonic()
        time.sleep(fault_at + SLOW_S - time.monotonic())
        slow.clear()
        mesh.record.write("the upstreams of desk are as fast as before")
    else:
        back_at = fault_at
    measured_from = back_at + m.BOUNDS["recovery_s"]
    time.sleep(measured_from + MEASURED_S - time.monotonic())
    ended.set()
    traffic.join()
    for client in clients:
        client.join()
    before = served_share(begin, fault_at)
    after = served_share(measured_from, measured_from + MEASURED_S)
    for desk in desks:
        last = max((run.received_at for run in mesh.runs if run.upstream is desk.upstream),
                   default=mesh.record.start)
        mesh.record.write(f"the last request reached {desk.upstream.id} at "
                          f"{last - mesh.record.start:.2f}")
    return before < 0.25 or after >= 0.25


m.main(case)
