#!/usr/bin/env python3
"""Names the log line that decided each failed or refused request.

Usage: explain-failures.py [--ids FILE] [--id ID] LOG...
  LOG    log lines of any number of daemons, in any order; text before the
         JSON object of a line is skipped
  --id   prints the time line of one request instead
  --ids  ids of failed requests, one a line, to state how many are explained
"""
import argparse
import collections
import json
import sys

# The entry daemon's last word on a request, then what the target's daemon said.
DECIDING = [
    "request-refused", "request-unknown", "request-timed-out",
    "request-failed", "request-no-route", "request-abandoned",
    "attempt-failed", "attempt-refused", "attempt-cancelled",
]


def read_lines(paths):
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as log:
            for text in log:
                start = text.find('{"time"')
                if start < 0:
                    continue
                try:
                    yield json.loads(text[start:])
                except json.JSONDecodeError:
                    continue


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--id")
    parser.add_argument("--ids")
    parser.add_argument("logs", nargs="+")
    options = parser.parse_args()
    by_id = collections.defaultdict(list)
    for line in read_lines(options.logs):
        if "id" in line:
            by_id[line["id"]].append(line)
    if options.id:
        for line in sorted(by_id.get(options.id, []), key=lambda x: x["time"]):
            print(json.dumps(line))
        return 0 if options.id in by_id else 1
    deciding = {}
    for request, lines in by_id.items():
        for event in DECIDING:
            found = [line for line in lines if line["event"] == event]
            if found:
                deciding[request] = found[-1]
                break
    causes = collections.Counter(
        (line["event"], line.get("reason", "")) for line in deciding.values())
    for (event, reason), count in causes.most_common():
        print(f"{count}\t{event}\t{reason}")
    if options.ids:
        with open(options.ids, encoding="utf-8") as wanted:
            ids = [line.strip() for line in wanted if line.strip()]
        known = sum(1 for request in ids if request in deciding)
        print(f"explained {known} of {len(ids)}")
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except BrokenPipeError:
        sys.exit(0)
