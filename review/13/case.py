"""A server leaves while the store is down, then all daemons are killed."""
import asyncio
import os

import fleet as lab

LAYOUT = [("shelfview", "dalseo"), ("shelfview", "suseong"),
          ("shelfview", "buk"), ("reservedesk", "dalseo"),
          ("issuedesk", "suseong"), ("issuedesk", "buk")]
CONFIG = lab.make_config(
    ["shelfview", "reservedesk", "issuedesk"],
    [lab.make_route("r-1", "/reserve/", "non_idempotent", "shelfview")])
DRAIN_S = 2.0
STORE_DOWN_S = 4.0
SERVES_ON_S = 14.0


async def scenario(fleet, record):
    leaving = fleet.servers[0]
    leaving.beats.cancel()
    await asyncio.sleep(0.1)
    delayed_report = leaving.report()  # Sent now, arrives 4 s later.
    record.write("server %s sends a report that is delayed" % leaving.id)
    if lab.TROUBLE:
        fleet.store.set_down(True)
        record.write("the store is down: it resets connections")
    await asyncio.sleep(1)
    status = await leaving.send_deregister()
    acknowledged = record.now()
    record.say("server %s deregisters: %s" % (leaving.id, status))
    if lab.TROUBLE:
        for daemon in fleet.daemons:
            daemon.process.kill()
        record.write("all daemons are killed")
        for daemon in fleet.daemons:
            await daemon.process.wait()
        await asyncio.sleep(0.5)
        for daemon in fleet.daemons:
            await daemon.start()
    await asyncio.sleep(max(0.0, acknowledged - 1 + STORE_DOWN_S
                            - record.now()))
    restored = record.now()
    if lab.TROUBLE:
        fleet.store.set_down(False)
        record.write("the store is back")
    await fleet.wait_ready()
    status_of_report = await leaving.send_report(delayed_report)
    record.say("the delayed report arrives: %s" % status_of_report)
    statuses = {}  # Of the reservations, by request id.

    async def reserve(daemon):
        request, status = await fleet.request(daemon, "POST", "/reserve/x",
                                              b"1")
        statuses[request] = status

    for server in fleet.servers:
        server.work_s = 0.25
    tasks = []
    while record.now() < acknowledged + SERVES_ON_S:
        for daemon in fleet.daemons:
            tasks.append(asyncio.create_task(reserve(daemon)))
            await asyncio.sleep(0.05)
    leaving.close()
    record.write("server %s exits" % leaving.id)
    await asyncio.gather(*tasks)
    if status != 200:
        record.say("the leaving was not acknowledged")
        return True
    # Machines are in touch 3 s after the last start and the store's return.
    begin = max([acknowledged + DRAIN_S, restored + lab.TOUCH_S]
                + [d.started + lab.TOUCH_S for d in fleet.daemons]) + 0.5
    late = [at for at, _, _ in leaving.runs if at > begin]
    record.say("requests that reached it while all were in touch, from %.1f s "
               "to %.1f s after the acknowledgement: %d"
               % (begin - acknowledged, SERVES_ON_S, len(late)))
    ran = {request for _, request, _ in leaving.runs}
    lost = [r for r, status in statuses.items() if r in ran and status != 200]
    record.say("reservations that ran there and got no success, as it exited: "
               "%d" % len(lost))
    return not late


lab.play(os.path.dirname(os.path.abspath(__file__)), LAYOUT, CONFIG, scenario)
