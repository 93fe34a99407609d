"""A node freezes for 1.2 s while it waits for connections to the upstream beside it.

Every five seconds 24 clients book at once. The upstream takes 1 ms for a new connection and has a
short queue of them, so that the queue fills, and the system drops some opening packets and sends
them again a second later. In that second the node freezes. Without trouble the queue is long enough
and no node freezes. Rule TWICE: a request that isn't idempotent runs more than once.
"""
import http.client
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import mesh as m  # noqa: E402

HOST = "desk.example"
ROUNDS = 4
ROUND_S = 5
REQUESTS_PER_ROUND = 24
FREEZE_AFTER_S = 0.4
FREEZE_S = 1.2
WORK_S = 0.1
NEW_CONNECTIONS = 4 if m.TROUBLE else 128  # length of the upstream's queue of them


def case(mesh):
    def answer(run):
        time.sleep(WORK_S)
        return 200, b"done"

    front = mesh.add("portal")
    desks = [mesh.add("desk", slots=12, backlog=NEW_CONNECTIONS, handshake_s=0.001,
                      answer=answer)
             for _ in range(2)]
    # One frozen machine of ten is the share of the pages.
    for _ in range(7):
        mesh.add("portal")
    mesh.put_config(1, [("book", HOST, "/book/", "unsafe", 5000, 2000, "desk")],
                    ["portal", "desk"])
    mesh.start()
    clients, answers = [], {}

    def book(together):
        connection = http.client.HTTPConnection(front.ip, front.OUTBOUND_PORT, timeout=7)
        connection.connect()
        together.wait()
        request_id, status = m.client_request(mesh, front, "POST", "/book/1", HOST, 6000,
                                              body=b"visit", connection=connection)
        connection.close()
        answers[request_id] = status

    for number in range(ROUNDS):
        desk = desks[number % 2]
        together = threading.Barrier(REQUESTS_PER_ROUND + 1)
        burst = [threading.Thread(target=book, args=(together,)) for _ in range(REQUESTS_PER_ROUND)]
        for client in burst:
            client.start()
        clients += burst
        together.wait()
        time.sleep(FREEZE_AFTER_S)
        if m.TROUBLE:
            mesh.record.write(f"stop   node {desk.name} (SIGSTOP)")
            desk.process.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        if m.TROUBLE:
            desk.process.send_signal(signal.SIGCONT)
            mesh.record.write(f"go on  node {desk.name} (SIGCONT)")
        time.sleep(ROUND_S - FREEZE_S - FREEZE_AFTER_S)
    for client in clients:
        client.join()
    runs_by_id = mesh.runs_by_id()
    twice = {request_id: runs for request_id, runs in runs_by_id.items() if len(runs) > 1}
    for request_id, runs in twice.items():
        mesh.record.write(f"request {request_id} ran {len(runs)} times: "
                          + ", ".join(f"{run.upstream.id} at "
                                      f"{run.received_at - mesh.record.start:.3f}"
                                      for run in runs))
    refused = [request_id for request_id, status in answers.items()
               if status == 503 and runs_by_id[request_id]]
    mesh.record.write(f"{len(answers)} requests, {len(twice)} ran more than once, {len(refused)} "
                      "were answered 503 and have run")
    return not twice


m.main(case)
