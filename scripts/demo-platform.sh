#!/usr/bin/env bash
# Demo of the users' platform: two marbleroad-node processes in two failure
# domains with stand-ins for the platform, on loopback addresses. Sends one
# streamed model request and one plain request, and runs until Ctrl-C. With
# ONCE=1 it exits after the two responses: with 0 if both arrived, else with 1.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

store=127.0.1.2:19100

node() { # ID DOMAIN IP
  cat >"$run/$1.ini" <<INI
[node]
id = $1
failure_domain = $2

[platform]
url = http://$store

[gateway]
listen = $3:18227
ready = $3:18220
admin = $3:18355
balancer_delay = 100ms

[cluster]
listen = $3:18340
INI
  start "$1" "$bin/marbleroad-node" run "$run/$1.ini"
}

start standin "$bin/platformstandin" -store "$store"
node obuda-1 obuda 127.0.12.1
node csepel-1 csepel 127.0.13.1

call() { # NUMBER ARGUMENTS...
  local id=$1
  shift
  "$bin/caller" -host demo.example -header "Attempt-Id: demo-$id" -header 'Deadline-Ms: 8000' "$@"
}
stream=(-header 'Api-Key: demo-forecasters' -header 'Model: nowcast' -body '{}' http://127.0.12.1:18227/bulletins/hail)
plain=(http://127.0.13.1:18227/tiles/manifest)

responses=0
echo "== A streamed model request at 127.0.12.1:18227 (retried until a group is open)"
for attempt in $(seq 40); do
  if call "stream-$attempt" "${stream[@]}" >"$run/stream" 2>/dev/null; then
    responses=1
    break
  fi
  sleep 0.5
done
cat "$run/stream"
echo
echo "== A plain request at 127.0.13.1:18227"
for attempt in $(seq 40); do
  if call "plain-$attempt" "${plain[@]}" >"$run/plain" 2>/dev/null; then
    responses=$((responses + 1))
    break
  fi
  sleep 0.5
done
cat "$run/plain"
echo
echo
echo "== Conditions that upstreams report (column condition)"
"$bin/marbleroadctl" node upstreams --node 127.0.13.1:18355 | grep -E 'CONDITION|tiles'
echo
echo "== Decisions about the stream"
"$bin/marbleroadctl" explain --around 0s --log "$run/obuda-1.log" "$(grep -o '"request":"demo-stream-[0-9]*"' "$run/obuda-1.log" | tail -1 | cut -d'"' -f4)"
echo
echo "Callers:  http://127.0.12.1:18227 and http://127.0.13.1:18227, host demo.example"
echo "Metrics:  http://127.0.12.1:18355/metrics"
echo "Logs:     $run/*.log"
if [ -n "${ONCE:-}" ]; then
  [ "$responses" = 2 ]
  exit
fi
echo "Press Ctrl-C to stop."
wait "${pids[0]}"
