#!/usr/bin/env bash
# Starts two failure domains on loopback addresses, sends one model request and
# one plain request, and runs until Ctrl-C. With ONCE=1 it exits after the two
# responses: with 0 if both arrived, else with 1.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

token=demo-operator
token_hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
platform=127.0.1.1:19000
seeds="127.0.10.1:18070, 127.0.10.2:18070, 127.0.11.1:18070, 127.0.11.2:18070"

settings() { # ID DOMAIN IP OTHER-IP
  cat >"$run/$1.ini" <<INI
[node]
id = $1
failure_domain = $2

[platform]
url = http://$platform

[entry]
listen = $3:18080
admin = $3:18081
peer = $3:18082
control = $3:18070, $4:18070
balancer_delay = 100ms
shutdown_limit = 10s

[control]
listen = $3:18070
admin = $3:18071
seeds = $seeds
operator_token_sha256 = $token_hash

[trace]
target = file:$run/$1.trace
INI
}

node() { # ID DOMAIN IP OTHER-IP
  settings "$@"
  start "$1-control" "$bin/marbleroad-control" run "$run/$1.ini"
  start "$1-entry" "$bin/marbleroad-entry" run "$run/$1.ini"
}

until_ok() { # SECONDS COMMAND...: repeats the command until it succeeds
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= deadline)); then
      echo "demo: timed out waiting for: $*" >&2
      tail -n 5 "$run"/*.log >&2
      return 1
    fi
    sleep 0.2
  done
}

start standin "$bin/standin" -platform "$platform"
node obuda-1 obuda 127.0.10.1 127.0.10.2
node obuda-2 obuda 127.0.10.2 127.0.10.1
node csepel-1 csepel 127.0.11.1 127.0.11.2
node csepel-2 csepel 127.0.11.2 127.0.11.1

export MARBLEROAD_CONTROL=127.0.10.1:18070 MARBLEROAD_TOKEN=$token
until_ok 20 "$bin/marbleroadctl" status
for sheet in services teams groups; do
  "$bin/marbleroadctl" table apply "$sheet" "examples/demo/$sheet.csv"
done

call() { "$bin/caller" -key demo-forecasters "$@"; }
request='{"model":"nowcast","stream":true,"messages":[{"role":"user","content":"Will it hail at Csepel?"}]}'
# An entry may not know yet of a group that already serves, so this waits for
# responses at the addresses that the demo uses.
until_ok 40 call -body "$request" http://127.0.10.1:18080/v1/chat/completions
until_ok 20 call http://127.0.11.2:18080/services/tiles/manifest

responses=0
echo
echo "== A streamed model request at 127.0.10.1:18080"
call -body "$request" http://127.0.10.1:18080/v1/chat/completions | tee "$run/stream" || true
grep -q '^data: \[DONE\]' "$run/stream" && responses=$((responses + 1))
echo
echo "== A plain request at 127.0.11.2:18080"
call http://127.0.11.2:18080/services/tiles/manifest | tee "$run/plain" || true
grep -q 'GET /manifest' "$run/plain" && responses=$((responses + 1))
echo
echo
echo "== Status"
"$bin/marbleroadctl" status
echo
echo "Callers:   http://127.0.10.1:18080 http://127.0.10.2:18080 (obuda), http://127.0.11.1:18080 http://127.0.11.2:18080 (csepel)"
echo "Key:       demo-forecasters (or demo-agrimet)"
echo "Operators: MARBLEROAD_CONTROL=127.0.10.1:18070 MARBLEROAD_TOKEN=$token bin/marbleroadctl status"
echo "Metrics:   http://127.0.10.1:18081/metrics (entry), http://127.0.10.1:18071/metrics (control)"
echo "Logs:      $run/*.log, spans: $run/*.trace"
if [ -n "${ONCE:-}" ]; then
  [ "$responses" = 2 ]
  exit
fi
echo "Press Ctrl-C to stop."
wait "${pids[0]}"
