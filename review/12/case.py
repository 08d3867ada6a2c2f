"""A request that crashes the one server of its service, which is back soon."""
import asyncio
import os
import random

import fleet as lab

LAYOUT = [("shelfview", "dalseo"), ("shelfview", "suseong"),
          ("shelfview", "buk"), ("reservedesk", "dalseo"),
          ("issuedesk", "suseong"), ("issuedesk", "buk")]
CRASHING = "/reserve/lamp-7"
CONFIG = lab.make_config(
    ["shelfview", "reservedesk", "issuedesk"],
    [lab.make_route("r-1", "/reserve/", "non_idempotent", "reservedesk")])
PLAY_S = 60.0


async def scenario(fleet, record):
    if lab.TROUBLE:
        for server in fleet.servers:
            server.crashing_path = CRASHING
            server.back_after_s = 3.5
    for server in fleet.servers:
        server.work_s = 0.25
    end = record.now() + PLAY_S
    sound = {}  # Request id: status.

    async def reserve(daemon):
        """A sound request that must not run twice."""
        path = "/reserve/%08x" % random.getrandbits(32)
        request, status = await fleet.request(daemon, "POST", path, b"1")
        sound[request] = status

    async def send_sound_requests():
        tasks = []
        while record.now() < end:
            daemon = random.choice(fleet.daemons[1:])
            tasks.append(asyncio.create_task(reserve(daemon)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    others = asyncio.create_task(send_sound_requests())
    while record.now() < end:  # The client of one machine sends it again.
        await fleet.request(fleet.daemons[0], "POST", CRASHING, b"lamp 7")
        await asyncio.sleep(0.5)
    await others
    ran = {run[1] for server in fleet.servers for run in server.runs}
    lost = [r for r, status in sound.items() if r in ran and status != 200]
    record.say("reservations of others that ran and got no success: %d of %d"
               % (len(lost), len(sound)))
    crashes = sorted(at for server in fleet.servers for at in server.crashes)
    record.say("the request crashed its server %d times: %s s"
               % (len(crashes), ", ".join("%.1f" % at for at in crashes)))
    late = [at for at in crashes[3:] if at > crashes[2] + lab.TOUCH_S]
    record.say("retries that reached the server later than 3 s after the third "
               "crash, all daemons in touch: %d (at most 3)" % len(late))
    return len(late) <= 3


lab.play(os.path.dirname(os.path.abspath(__file__)), LAYOUT, CONFIG, scenario)
