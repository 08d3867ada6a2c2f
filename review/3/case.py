"""A daemon forgets the leaving that it acknowledged: it is killed, starts
again, and a heartbeat of before, delayed on its way, brings the server back."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from mesh import DRAIN_MS, TOUCH_MS, AppServer, Mesh, call, main, route

SERVES_ON_S = 10.0  # The server exits so long after the ack of its leaving.
LATE_S = 2.5  # The delay of the heartbeat.
CALLERS = 6  # At each of two daemons.


class Desk(AppServer):
    def work(self, run):
        return 0.4


def run_case(trouble):
    machines = [("dalseo", "reservedesk"), ("suseong", "reservedesk"), ("buk", "shelfview"), ("dalseo", "shelfview")]
    mesh = Mesh(os.path.join(HERE, "record.txt"), machines,
                [route("lamps.example", "/reserve/", "non_idempotent", "reservedesk")],
                ["reservedesk", "shelfview"], Desk)
    record = mesh.record
    server, daemon = mesh.servers[0], mesh.daemons[0]
    answers = {}
    stop = threading.Event()

    def caller(at):
        while not stop.is_set():
            request_id, answer = call(record, at.outbound, "POST", "lamps.example", "/reserve/lens", 1500, b"lens")
            answers[request_id] = answer
            time.sleep(0.05)

    threads = []
    try:
        mesh.start(settle_s=4)
        # A heartbeat leaves the server; with TROUBLE=0 it is not delayed.
        server.beating = False
        heartbeat = server.heartbeat()
        sent_at = time.monotonic()
        record("heartbeat", heartbeat["status"]["sequence"], "of", server.instance, "sent, state ready")
        if not trouble:
            record("heartbeat arrives, acked:", server.send_heartbeat(heartbeat))
        time.sleep(0.1)
        if not server.deregister():
            raise RuntimeError("the leaving was not acked")
        acked = time.monotonic()
        record("leaving of", server.instance, "acked by", daemon.name)
        if trouble:
            time.sleep(0.2)
            daemon.kill()
            time.sleep(0.5)
            daemon.start()
        started = time.monotonic()
        threads = [threading.Thread(target=caller, args=(at,)) for at in mesh.daemons[2:] for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        if trouble:
            time.sleep(max(0.0, sent_at + LATE_S - time.monotonic()))
            record("heartbeat", heartbeat["status"]["sequence"], "arrives late, acked:",
                   server.send_heartbeat(heartbeat))
        time.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
        record("server", server.instance, "exits, %.1f s after the ack" % (time.monotonic() - acked))
        server.stop()
        time.sleep(2.5)
        stop.set()
        for thread in threads:
            thread.join()
    finally:
        stop.set()
        mesh.stop()
    late = [run for run in server.runs
            if run.at > acked + DRAIN_MS / 1000 and run.at > started + TOUCH_MS / 1000]
    lost = [run for run in late
            if answers.get(run.id) is None or answers[run.id].status // 100 != 2]
    for run in lost:
        answer = answers.get(run.id)
        record("lost: id", run.id, "ran %.3f s after the ack, answered" % (run.at - acked),
               answer.status if answer else "nothing")
    print("requests at the server that had left, %.0f ms and more after the ack, all machines in touch: %d; "
          "of these without a success: %d" % (DRAIN_MS, len(late), len(lost)))
    return len(late) > 0


main(run_case)
