"""A grey server fails requests that it has run with a 503 that does not say
"not executed". The daemon hands it on, and with it a promise that is false."""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from mesh import SEAL, AppServer, Mesh, call, main, response_bytes, route

GREY_SHARE = 0.45  # x of srv_grey.
GREY_S = 6.5  # for_s of srv_grey.
DESKS = 8  # One grey server of eight stays under the share of 0.14.
RETRIES = 2
CREWS = 4  # At each daemon.
PROMISES = (408, 421, 429, 503)


class Desk(AppServer):
    grey = False

    def reply(self, run, echo):
        if not self.grey or random.random() >= GREY_SHARE:
            return super().reply(run, echo)
        # The reservation is made; the confirmation could not be written.
        body = b"the ledger is read-only"
        return response_bytes(503, echo + [(SEAL, "5ea1.%d" % len(body))], body)


def run_case(trouble):
    machines = [(("dalseo", "suseong", "buk")[i % 3], "reservedesk") for i in range(DESKS)] + [("buk", "shelfview")]
    mesh = Mesh(os.path.join(HERE, "record.txt"), machines,
                [route("lamps.example", "/reserve/", "non_idempotent", "reservedesk")], ["reservedesk", "shelfview"],
                Desk)
    record = mesh.record
    answers = {}
    tickets = {}
    stop = threading.Event()

    def crew(at, name):
        number = 0
        while not stop.is_set():
            number += 1
            ticket = "%s-%d" % (name, number)
            # As the pages say: a promise is the only ground for a new attempt.
            for _ in range(1 + RETRIES):
                request_id, answer = call(record, at.outbound, "POST", "lamps.example", "/reserve/" + ticket, 1500,
                                          ticket.encode())
                answers[request_id] = answer
                tickets.setdefault(ticket, []).append(request_id)
                if answer is None or answer.status not in PROMISES:
                    break
                time.sleep(float(answer.get("Retry-After") or 0.1))
            time.sleep(0.05)

    threads = []
    try:
        mesh.start(settle_s=4)
        mesh.servers[0].grey = trouble
        record("server", mesh.servers[0].instance, "is grey" if trouble else "is sound")
        threads = [threading.Thread(target=crew, args=(at, "%s-%d" % (at.name, number))) for at in mesh.daemons for number in range(CREWS)]
        for thread in threads:
            thread.start()
        time.sleep(GREY_S)
        mesh.servers[0].grey = False
        stop.set()
        for thread in threads:
            thread.join()
    finally:
        stop.set()
        mesh.stop()
    ran = {run.id for server in mesh.servers for run in server.runs}
    refused = [i for i in answers if answers[i] and answers[i].status in PROMISES and i in ran]
    for request_id in refused:
        record("answered", answers[request_id].status, "though it ran: id", request_id)
    twice = [t for t in tickets if sum(i in ran for i in tickets[t]) > 1]
    for ticket in twice:
        record("ticket", ticket, "was reserved", sum(i in ran for i in tickets[ticket]), "times")
    print("reservations answered with a promise that they had not run, though they had: %d of %d; "
          "tickets reserved more than once: %d" % (len(refused), len(answers), len(twice)))
    return len(refused) > 0


main(run_case)
