"""An upstream leaves with a deregistration that its node acknowledges; all nodes are killed at the
same moment and start again; a check-in that the upstream had sent before it left arrives late.

Without trouble the nodes aren't killed. Rule DRAIN: a request reaches an upstream later than
drain_timeout_ms after a machine acknowledged that the upstream is gone, taken from the client and
sent on by machines in touch.
"""
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import mesh as m  # noqa: E402

HOST = "desk.example"
LATE_S = 3.0  # of the check-in: "A check-in may arrive seconds late."
STILL_SERVES_S = 12.0  # after the acknowledgement: "at times many seconds"
RESTART_DELAY_S = 0.5
REQUESTS_PER_S = 20
WORK_S = 0.05
DRAIN_S = m.BOUNDS["drain_timeout_ms"] / 1000


def case(mesh):
    def answer(run):
        time.sleep(WORK_S)
        return 200, b"done"

    front = mesh.add("portal")
    desks = [mesh.add("desk", slots=12, answer=answer) for _ in range(3)]
    mesh.put_config(1, [("lookup", HOST, "/lookup/", "safe", 800, 400, "desk")],
                    ["portal", "desk"])
    mesh.start()
    leaver = desks[0].upstream
    ended, sent_at, clients = threading.Event(), {}, []

    def look_up():
        at = time.monotonic()
        request_id, _ = m.client_request(mesh, front, "GET", "/lookup/1", HOST, 1500)
        sent_at[request_id] = at

    def keep_asking():
        while not ended.wait(1 / REQUESTS_PER_S):
            clients.append(threading.Thread(target=look_up))
            clients[-1].start()

    traffic = threading.Thread(target=keep_asking)
    traffic.start()
    time.sleep(2)
    late = leaver.check_in_body()
    leaver.state = "gone"  # no further check-ins

    def deliver_late():
        status = leaver.post_control(f"/-/instances/{leaver.id}/heartbeat", late)
        mesh.record.write(f"late check-in of {leaver.id} arrives: {status} to {json.dumps(late)}")

    late_delivery = threading.Timer(LATE_S, deliver_late)
    late_delivery.start()
    mesh.record.write(f"check-in {late['sequence']} of {leaver.id} is sent and delayed")
    status = leaver.deregister()
    acknowledged_at = time.monotonic()
    mesh.record.write(f"deregistration of {leaver.id}: answer {status}")
    if status != 200:
        raise m.CannotRun("the deregistration was not acknowledged")
    time.sleep(0.3)
    if m.TROUBLE:
        for machine in mesh.machines:
            machine.kill()
        time.sleep(RESTART_DELAY_S)
        for machine in mesh.machines:
            machine.start()
    in_touch_at = time.monotonic() + (m.CONTACT_S if m.TROUBLE else 0)
    time.sleep(acknowledged_at + STILL_SERVES_S - time.monotonic())
    ended.set()
    traffic.join()
    for client in clients:
        client.join()
    late_runs = [run for run in mesh.runs if run.upstream is leaver
                 and run.received_at > acknowledged_at + DRAIN_S
                 and sent_at[run.request_id] > in_touch_at]
    for run in late_runs:
        mesh.record.write(f"request {run.request_id}, sent "
                          f"{sent_at[run.request_id] - mesh.record.start:.3f}, reached {leaver.id} "
                          f"{run.received_at - acknowledged_at:.3f} s after the acknowledgement")
    mesh.record.write(f"{len(late_runs)} requests reached {leaver.id} later than {DRAIN_S} s after "
                      "the acknowledgement, through machines in touch")
    return not late_runs


m.main(case)
