# Functions of run-demo.sh. Sourced, not run.

bin=build/bin
work=""
declare -a running=()
declare -A admin_of caller_of daemon_pid target_pid server_count store_of
checks=0
failures=0
# Every process ends by itself after this time, whatever happens to the demo.
life_s=900

say() { printf '\n== %s\n' "$*"; }

show() {
  printf '$ %s\n' "$*"
  "$@"
}

build_project() {
  tools/install-packages.sh
  cmake --preset default >/dev/null
  cmake --build --preset default | tail -1
}

start_work_folder() {
  work=$(mktemp -d)
  trap 'stop_everything; rm -rf "$work"' EXIT
}

# Starts a program in the background and remembers its process id.
start() {
  "$@" &
  started=$!
  running+=("$started")
}

wait_for() { # DESCRIPTION COMMAND...
  local description=$1
  shift
  for _ in $(seq 600); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "gave up waiting for: $description" >&2
  exit 1
}

port_of() { # FILE [FIELD]
  python3 - "$@" <<'PYTHON'
import json, sys
text = open(sys.argv[1]).read().strip()
print(json.loads(text)[sys.argv[2]] if len(sys.argv) > 2 else text)
PYTHON
}

start_deployment() { # NAME
  local name=$1
  mkdir -p "$work/$name"
  start "$bin/standin-store" --listen 127.0.0.1:0 --exit-after-s "$life_s" \
    --port-file "$work/$name/store.port"
  wait_for "the store of $name" test -s "$work/$name/store.port"
  store_of[$name]=$(port_of "$work/$name/store.port")
  server_count[$name]=0
  local operator
  for operator in ana bo; do
    "$bin/sycamorectl" key make --signing "$work/$name/$operator.key" \
      >"$work/$name/$operator.public"
  done
}

operators_json() { # NAME
  local ana bo
  ana=$(grep -oE '[0-9a-f]{64}' "$work/$1/ana.public" | head -1)
  bo=$(grep -oE '[0-9a-f]{64}' "$work/$1/bo.public" | head -1)
  printf '[{"name": "ana", "public_key": "%s"}, {"name": "bo", "public_key": "%s"}]' \
    "$ana" "$bo"
}

start_server() { # DEPLOYMENT DATA_CENTRE SERVICE SLOTS
  local name=$1 data_centre=$2 service=$3 slots=$4
  local number=$((server_count[$name] + 1))
  server_count[$name]=$number
  local server="$service-$number" folder="$work/$name"
  cat >"$folder/$number.json" <<JSON
{
  "server": "$server",
  "data_centre": "$data_centre",
  "caller_listen": "127.0.0.1:0",
  "admin_listen": "127.0.0.1:0",
  "peer_listen": "127.0.0.1:0",
  "store": {"endpoints": ["${store_of[$name]}"]},
  "operators": $(operators_json "$name"),
  "require_second_operator": true,
  "timing": {"start_jitter_ms": 500, "head_read_interval_ms": 2000},
  "log": {"file": "$folder/$number.log"}
}
JSON
  start "$bin/sycamored" --settings "$folder/$number.json" \
    --port-file "$folder/$number.port"
  daemon_pid[$name/$number]=$started
  wait_for "daemon $server" test -s "$folder/$number.port"
  admin_of[$name/$number]=$(port_of "$folder/$number.port" admin)
  caller_of[$name/$number]=$(port_of "$folder/$number.port" caller)
  start "$bin/standin-target" --listen 127.0.0.1:0 --name "$server" \
    --service "$service" --slots "$slots" --service-ms 2 \
    --announce "${admin_of[$name/$number]}" --exit-after-s "$life_s" \
    --ledger "$folder/$number.ledger" --port-file "$folder/$number.target"
  target_pid[$name/$number]=$started
  echo "$server in $data_centre: callers at ${caller_of[$name/$number]}"
}

serving() { # DEPLOYMENT COUNT
  local number
  for number in $(seq "$2"); do
    curl -sf "http://${admin_of[$1/$number]}/healthz" || return 1
  done
}

wait_for_serving() { wait_for "the daemons of $1" serving "$1" "$2"; }

ctl() { # DEPLOYMENT OPERATOR ARGUMENTS...
  local name=$1 operator=$2
  shift 2
  local settings="$work/$name/$operator.json"
  if [ ! -e "$settings" ]; then
    cat >"$settings" <<JSON
{
  "operator": "$operator",
  "signing_key_file": "$work/$name/$operator.key",
  "store": {"endpoints": ["${store_of[$name]}"]},
  "daemon": "${admin_of[$name/${server_count[$name]}]}",
  "require_second_operator": true,
  "operators": $(operators_json "$name")
}
JSON
  fi
  "$bin/sycamorectl" --settings "$settings" "$@"
}

write_ticket() { # DEPLOYMENT ROUTE:PREFIX:SERVICE:IDEMPOTENT...
  local name=$1
  shift
  local settings=("$work/$name"/[0-9]*.json)
  python3 - "$work/$name/ticket.json" "$name" "${settings[@]}" -- "$@" <<'PYTHON'
import json, sys
out, name = sys.argv[1:3]
rest = sys.argv[3:]
files, routes = rest[:rest.index("--")], rest[rest.index("--") + 1:]
ticket = {"author": "ana", "title": "First state of " + name,
          "routes": {}, "services": {}, "targets": {}}
for file in files:
    settings = json.load(open(file))
    service = settings["server"].rsplit("-", 1)[0]
    ticket["services"][service] = {"timeout_ms": 2000}
    ticket["targets"][settings["server"]] = {
        "service": service, "data_centre": settings["data_centre"]}
for route in routes:
    key, prefix, service, idempotent = route.split(":")
    ticket["routes"][key] = {"path_prefix": prefix, "service": service,
                             "idempotent": idempotent == "true"}
json.dump(ticket, open(out, "w"), indent=2)
PYTHON
}

file_and_approve() { # DEPLOYMENT NUMBER
  show ctl "$1" ana ticket file "$work/$1/ticket.json"
  show ctl "$1" bo ticket approve "$2"
}

on_ticket() { # DEPLOYMENT NUMBER
  local number
  for number in $(seq "${server_count[$1]}"); do
    curl -sf "http://${admin_of[$1/$number]}/status" |
      grep -qE "\"ticket\":$2[,}]" || return 1
  done
}

wait_for_ticket() { wait_for "ticket $2 on every proxy of $1" on_ticket "$@"; }

reachable() { # DEPLOYMENT PATH
  local number
  for number in $(seq "${server_count[$1]}"); do
    curl -sf "http://${caller_of[$1/$number]}$2" || return 1
  done
}

wait_for_targets() { wait_for "targets behind $2" reachable "$@"; }

call() { # DEPLOYMENT ENTRY METHOD PATH [BODY] [KEY]
  local arguments=(-s -i -X "$3" "http://${caller_of[$1/$2]}$4")
  [ -n "${5:-}" ] && arguments+=(--data "$5")
  [ -n "${6:-}" ] && arguments+=(-H "Idempotency-Key: $6")
  curl "${arguments[@]}"
  echo
}

new_key() { # a UUIDv7
  python3 - <<'PYTHON'
import os, time
t = int(time.time() * 1000)
r = bytearray(t.to_bytes(6, "big") + os.urandom(10))
r[6] = (r[6] & 0x0F) | 0x70
r[8] = (r[8] & 0x3F) | 0x80
h = r.hex()
print("-".join([h[:8], h[8:12], h[12:16], h[16:20], h[20:]]))
PYTHON
}

# A key created just after its bucket was taken is refused, so each try takes a
# new one.
keyed_call_works() { # DEPLOYMENT ENTRY PATH
  call "$1" "$2" POST "$3" "a first part" "$(new_key)" | grep ' 200 ' >/dev/null
}

count_key() { # DEPLOYMENT KEY
  cat "$work/$1"/*.ledger | grep "$2" | grep -c '"started"' || true
}

expect() { # WHAT WANTED FOUND
  checks=$((checks + 1))
  if [ "$2" = "$3" ]; then
    echo "ok: $1: $3"
  else
    failures=$((failures + 1))
    echo "FAILED: $1: wanted $2, found $3"
  fi
}

expect_exit() { # CODE COMMAND...
  local wanted=$1 code=0
  shift
  printf '$ %s\n' "$*"
  "$@" || code=$?
  expect "exit code" "$wanted" "$code"
}

# Calls one after the other through each daemon in turn, in the background.
start_calls() { # DEPLOYMENT PATH
  local name=$1 path=$2 number
  rm -f "$work/calls" "$work/stop-calls"
  : >"$work/calls"
  (
    while [ ! -e "$work/stop-calls" ]; do
      for number in 3 4 5; do
        curl -s -o /dev/null -w '%{http_code}\n' \
          "http://${caller_of[$name/$number]}$path" >>"$work/calls" || true
      done
    done
  ) &
  calls_pid=$!
  running+=("$calls_pid")
  wait_for "the first calls" test -s "$work/calls"
}

finish_calls() {
  sleep 1
  touch "$work/stop-calls"
  wait "$calls_pid" || true
  echo "$(wc -l <"$work/calls") calls meanwhile"
  expect "calls not answered with 200" 0 "$(grep -vc '^200$' "$work/calls" || true)"
}

stop_process() { # WHAT PID
  kill -TERM "$2"
  local code=0
  wait "$2" || code=$?
  expect "exit code of $1" 0 "$code"
}

stop_target() { stop_process "target $2 of $1" "${target_pid[$1/$2]}"; }
stop_daemon() { stop_process "daemon $2 of $1" "${daemon_pid[$1/$2]}"; }

stop_everything() {
  local pid
  for pid in "${running[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${running[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  running=()
}

print_how_to_try() {
  say "Try it"
  echo "curl -i http://${caller_of[daegu/2]}/stock/echo"
  echo "$bin/sycamorectl --settings $work/daegu/ana.json fleet status"
  echo "$bin/sycamorectl --settings $work/daegu/ana.json ticket list"
  echo "curl http://${admin_of[daegu/2]}/metrics"
}

summary() {
  say "Summary: $checks checks, $failures failed"
  [ "$failures" -eq 0 ]
}
