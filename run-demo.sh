#!/usr/bin/env bash
# Builds the project and shows it at work: two small deployments of three data
# centres each, tickets filed and approved, calls served while a target leaves.
# Ends by itself with a summary. With --keep it leaves everything running until
# Ctrl-C, for trying it by hand.
# Usage: ./run-demo.sh [--keep]
set -euo pipefail
cd "$(dirname "$0")"
source tools/demo-library.sh

keep=no
case "${1:-}" in
  "") ;;
  --keep) keep=yes ;;
  *) echo "usage: ./run-demo.sh [--keep]" >&2; exit 2 ;;
esac

build_project
start_work_folder

say "Daegu Municipal Signal Works: dalseo, suseong, buk"
start_deployment daegu
start_server daegu dalseo shelfview 6
start_server daegu suseong shelfview 6
start_server daegu buk shelfview 6
start_server daegu dalseo reservedesk 6
start_server daegu suseong reservedesk 6
start_server daegu buk issuedesk 6
wait_for_serving daegu 6

say "Ashworth Leatherworks: dalton-1, dalton-2, dalton-3"
start_deployment ashworth
start_server ashworth dalton-1 catalog 12
start_server ashworth dalton-2 catalog 12
start_server ashworth dalton-3 cutting-room 12
start_server ashworth dalton-1 order-desk 12
start_server ashworth dalton-2 order-desk 12
wait_for_serving ashworth 5

say "Ana files a ticket, Bo approves it, in each deployment"
write_ticket daegu \
  "stock:/stock:shelfview:true" "reserve:/reserve:reservedesk:false" \
  "issue:/issue:issuedesk:false"
file_and_approve daegu 1
write_ticket ashworth \
  "catalog:/catalog:catalog:true" "cut:/cut:cutting-room:false" \
  "order:/order:order-desk:false"
file_and_approve ashworth 1
wait_for_ticket daegu 1
wait_for_ticket ashworth 1
show ctl daegu ana fleet status
show ctl ashworth ana fleet status

say "Calls through any daemon"
wait_for_targets daegu /stock/echo
wait_for_targets ashworth /catalog/echo
show call daegu 1 GET /stock/echo
show call daegu 6 POST /reserve/echo "lens 40 mm" "$(new_key)"
show call ashworth 5 GET /catalog/echo

say "The same key twice: the reservation runs once"
wait_for "a holder of idempotency keys" keyed_call_works daegu 2 /reserve/echo
key=$(new_key)
call daegu 2 POST /reserve/echo "controller board" "$key" >/dev/null
call daegu 4 POST /reserve/echo "controller board" "$key" >/dev/null
expect "ledger entries with this key" 1 "$(count_key daegu "$key")"

say "A ticket with a dangling route is refused"
printf '%s\n' '{"author": "ana", "routes": {"x": {"path_prefix": "/x", "service": "nowhere"}}}' \
  >"$work/bad.json"
expect_exit 2 ctl daegu ana ticket file "$work/bad.json"

say "A target leaves during calls"
start_calls daegu /stock/echo
stop_target daegu 1
finish_calls

say "A daemon leaves during calls"
start_calls ashworth /catalog/echo
stop_daemon ashworth 2
finish_calls

show ctl daegu ana fleet status
show ctl daegu ana ticket status 1

if [ "$keep" = yes ]; then
  print_how_to_try
  echo "Everything runs until Ctrl-C."
  trap 'exit 0' INT TERM
  while :; do sleep 1; done
fi
stop_everything
summary
