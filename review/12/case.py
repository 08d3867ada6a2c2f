"""A request that crashes the one server of its service, which is back soon."""
import asyncio
import os

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
    end = record.now() + PLAY_S
    while record.now() < end:  # The client of one machine sends it again.
        await fleet.request(fleet.daemons[0], "POST", CRASHING, b"lamp 7")
        await asyncio.sleep(0.5)
    crashes = sorted(at for server in fleet.servers for at in server.crashes)
    record.say("the request crashed its server %d times: %s s"
               % (len(crashes), ", ".join("%.1f" % at for at in crashes)))
    late = [at for at in crashes[3:] if at > crashes[2] + lab.TOUCH_S]
    record.say("retries that reached the server later than 3 s after the third "
               "crash, all daemons in touch: %d (at most 3)" % len(late))
    return len(late) <= 3


lab.play(os.path.dirname(os.path.abspath(__file__)), LAYOUT, CONFIG, scenario)
