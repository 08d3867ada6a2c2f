"""A request that crashes its servers, and a planned restart of the daemons."""
import asyncio
import os
import random
import signal

import fleet as lab

LAYOUT = [("shelfview", "dalseo"), ("shelfview", "dalseo"),
          ("shelfview", "suseong"), ("shelfview", "suseong"),
          ("shelfview", "buk"), ("reservedesk", "buk"),
          ("issuedesk", "dalseo")]
CRASHING = "/shelf/lamp-7"
CONFIG = lab.make_config(
    ["shelfview", "reservedesk", "issuedesk"],
    [lab.make_route("r-1", "/shelf/", "idempotent", "shelfview"),
     lab.make_route("r-2", "/reserve/", "non_idempotent", "shelfview")])
PLAY_S = 72.0


async def scenario(fleet, record):
    for server in fleet.servers:
        server.crashing_path = CRASHING
        server.work_s = 0.25
    sound = {}  # Request id: status.
    entries = {}  # Request id: (daemon, whether it was in touch).
    end = record.now() + PLAY_S

    async def send_crashing_request():
        """It comes again twice a second, at one machine after the other."""
        number = 0
        while record.now() < end:
            daemon = fleet.daemons[number % len(fleet.daemons)]
            number += 1
            if daemon.is_in_touch(record.now()):
                request, _ = await fleet.request(daemon, "GET", CRASHING)
                entries[request] = daemon
            await asyncio.sleep(0.5)

    async def reserve():
        """A sound request that must not run twice."""
        daemon = random.choice(fleet.daemons)
        if daemon.is_in_touch(record.now()):
            path = "/reserve/%08x" % random.getrandbits(32)
            request, status = await fleet.request(daemon, "POST", path, b"1")
            sound[request] = status

    async def send_sound_requests():
        tasks = []
        while record.now() < end:
            tasks.append(asyncio.create_task(reserve()))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    async def restart_in_turn():
        """One round, one machine at a time, 5.5 s from start to next SIGTERM."""
        await asyncio.sleep(8)
        for daemon in fleet.daemons[:5] if lab.TROUBLE else []:
            await daemon.stop(signal.SIGTERM)
            await asyncio.sleep(0.3)
            await daemon.start()
            await asyncio.sleep(5.5)

    await asyncio.gather(send_crashing_request(), send_sound_requests(),
                         restart_in_turn())
    runs = sorted((run[0], run[1], server) for server in fleet.servers
                  for run in server.runs if run[2] == CRASHING)
    record.say("the request crashed servers %d times: %s s"
               % (len(runs), ", ".join("%.1f" % run[0] for run in runs)))
    if len(runs) < 3:
        return True
    ran = {run[1] for server in fleet.servers for run in server.runs}
    lost = [r for r, status in sound.items() if r in ran and status != 200]
    record.say("reservations of others that ran and got no success: %d of %d"
               % (len(lost), len(sound)))
    late = set()
    for at, request, server in runs:
        entry = entries.get(request)
        in_touch = (entry and entry.is_in_touch(at)
                    and server.daemon.is_in_touch(at))
        if at > runs[2][0] + lab.TOUCH_S and in_touch:
            late.add(request)
    record.say("retries by machines in touch that reached servers later than "
               "3 s after the third crash: %d (at most 3)" % len(late))
    return len(late) <= 3


lab.play(os.path.dirname(os.path.abspath(__file__)), LAYOUT, CONFIG, scenario)
