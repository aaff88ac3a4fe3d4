#!/usr/bin/env bash
# Checks that each check of the soak detects the fault that it is meant for: it must fail for a mutant
# of the node, built in a copy of the tree, within ten seeds. ONLY=text runs those whose name contains
# the text; JOBS is the number of parallel runs.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/soak" ./test/soak || exit 1
only=${ONLY:-}
jobs=${JOBS:-4}
number=0

run_mutant() { # NUMBER CHECK FILES PERL-EXPRESSION [SOAK-FLAGS]
  local tree="$work/tree-$1" out="$work/result-$1"
  mkdir "$tree"
  git ls-files -co --exclude-standard -z -- cmd internal api platform go.mod go.sum | xargs -0 cp --parents -t "$tree" 2>/dev/null
  local file
  for file in $3; do
    perl -0pi -e "$4" "$tree/$file"
    if cmp -s "$file" "$tree/$file"; then
      echo "NOT APPLIED  $2 ($file)" >"$out"
      return
    fi
  done
  if ! (cd "$tree" && go build -o marbleroad-node ./cmd/marbleroad-node) 2>"$work/build-$1"; then
    echo "NOT BUILT    $2: $(tail -1 "$work/build-$1")" >"$out"
    return
  fi
  local seed
  for seed in 1 2 3 4 5 6 7 8 9 10; do
    "$work/soak" --binary "$tree/marbleroad-node" ${5:-} --seed "$seed" --keep "$work/kept-$1" >"$work/log-$1" 2>&1
    if grep -qE "^  $2: " "$work/log-$1"; then
      echo "seen failing $2, by seed $seed: $(grep -E "^  $2: " "$work/log-$1" | head -1 | sed 's/^ *//' | cut -c1-120)" >"$out"
      return
    fi
  done
  echo "SURVIVED     $2" >"$out"
}

mutant() { # CHECK FILES PERL-EXPRESSION [SOAK-FLAGS]
  [[ "$1" == *"$only"* ]] || return 0
  number=$((number + 1))
  while (($(jobs -rp | wc -l) >= jobs)); do wait -n; done
  run_mutant "$number" "$@" &
}

mutant "own whole answer" internal/gateway/answer.go 's/if isStreamEnd\(err\) \{/if err != nil {/'
mutant "not run is true" 'internal/relay/sender.go internal/gateway/failures.go' 's/http\.StatusBadGateway/http.StatusServiceUnavailable/g'
mutant "at most once" internal/gateway/attempt.go 's/case failure\.Verdict != verdict\.NotRun \&\& !j\.c\.Route\.Repeatable\(\):/case false:/'
mutant "attempts" internal/gateway/attempt.go 's/case j\.mayHaveRun-j\.terminated >= j\.c\.Route\.Attempts \|\| j\.sends-j\.terminated >= j\.c\.Route\.Attempts\+extraRefusedSends \|\| j\.terminated > maxTerminations:/case false:/; s/if !j\.repeatUse\.Allowed/if false/'
mutant "asked for" internal/gateway/handle.go 's/if ambiguous := checkFraming\(w, r\); failure == nil/if ambiguous := checkFraming(w, r); false/'
mutant "no half-formed group" internal/director/groups.go 's/allReady = allReady && \(m\.State == fleet\.Ready \|\| m\.State == fleet\.Open\)//'
mutant "one group at a time" internal/director/dissolve.go 's/gs\.dissolving, gs\.graceful, gs\.dissolvingSince, gs\.unopened = true, graceful, now, false/gs.dissolving, gs.graceful, gs.dissolvingSince, gs.released, gs.confirmed = true, graceful, now, true, true/'
mutant "leaving upstreams" internal/gateway/board.go 's/ \|\| vm\.Draining//'
mutant "changes hold in time" internal/catalog/keeper.go 's/next\.version <= old\.version\)/next.version <= old.version+1)/'
mutant "changes hold at nodes without the store" 'internal/feed/catchup.go internal/feed/catalog.go' 's/state\.GetPlatform\(\)\.GetVersion\(\) <= u\.cache\.Version\(\)/true/; s/errors\.Is\(err, platform\.ErrUnavailable\) \&\& ctx\.Err\(\) == nil/false/' '--nodes 6 --engines 12'
mutant "changes never revert" internal/catalog/keeper.go 's/c\.current\.Store\(next\)/c.current.Store(next)\n\ttime.AfterFunc(1500*time.Millisecond, func() { c.current.Store(old) })/'
mutant "revoked keys end" internal/gateway/handle.go 's/team, ok := current\.Team\(c\.Key\)\n\tif !ok/team, ok := current.Team("key-7")\n\tif !ok/'
mutant "budget for repeats" internal/retry/budget.go 's/if decision\.Earned\+decision\.Fixed < 1-roundingTolerance/if false/'
mutant "work for callers that left" 'internal/gateway/handle.go internal/gateway/stream.go' 's/s\.parts\.Tracer\.Extract\(r\.Context\(\), r\.Header\)/context.WithoutCancel(s.parts.Tracer.Extract(r.Context(), r.Header))/; s/return errors\.Mark\(err, errCallerDisconnected\)/_ = err/g'
mutant "refusals come at once" internal/gateway/attempt.go 's/return j\.rejectionError\(reason, evaluation\)/time.Sleep(1500 * time.Millisecond)\n\t\treturn j.rejectionError(reason, evaluation)/'
mutant "answers by the deadline" internal/gateway/handle.go 's/context\.WithTimeout\(ctx, clock\.Until\(c\.Deadline\)\)/context.WithTimeout(ctx, clock.Until(c.Deadline)+20*time.Second)/'
mutant "a stop cuts nothing" internal/gateway/server.go 's/s\.callers\.Drain\(limit, s\.config\.Linger\)/s.callers.Close()/'
mutant "a stop cuts nothing" internal/daemon/daemon.go 's/if s == syscall\.SIGINT/if true/'
mutant "nothing passed on is cut" internal/director/dissolve.go 's/\tlate := [^\n]*\n//; s/if serving && gs\.graceful && gs\.closeAccepted && !late \{/if false {/' "--planned --engines 12"
mutant "a held-up node blames nobody" internal/gateway/heldup.go 's/if firstCheck \|\| elapsed <= maxCheckDelay/if firstCheck || elapsed >= 0/' "--planned --engines 12 --callers 40"
mutant "crashing requests end" internal/gateway/suspects.go 's/case request\.Quarantined > 0:/case false:/; s/sent\.cancel\(errQuarantined\)/_ = sent/'
mutant "crashing parts end" internal/gateway/suspects.go 's/case j\.c\.judgement\.Standing == quarantine\.Quarantined:/case false:/; s/sent\.cancel\(errQuarantined\)/_ = sent/'
mutant "requests beside a crashing part" internal/quarantine/judge.go 's/if other != r \&\& now/if false \&\& now/; s/if r\.Trait != \(Trait\{\}\) \&\& r\.known\(\) \{/if false {/; s/at\.IsZero\(\) \|\| !r\.clear\(at\)/true/'
mutant "limits of upstreams" internal/backpressure/limit.go 's/if !l\.active \{\n\t\treturn Throttle\{\}/if true {\n\t\treturn Throttle{}/'
mutant "rests of upstreams" internal/backpressure/rest.go 's/if now\.Before\(b\.until\) \{/if false {/'
mutant "upstreams that say they leave" 'internal/gateway/condition.go internal/fleet/directory.go' 's/ \|\| tt\.conditions\.Leaving\(incarnationOf\(t\.vm\)\)//; s/\td\.leaving\.mark\(vms, stored\)\n//'
mutant "cut-off nodes serve" internal/gateway/forwarding.go 's/return j\.c\.forwarded == nil \&\& len\(j\.forwarding\.tried\)/return false \&\& len(j.forwarding.tried)/'
mutant "evacuated failure domains" internal/gateway/board.go 's/ \|\| s\.Evacuated\[vm\.FailureDomain\]//'
mutant "upstreams that warm up" internal/backpressure/warmup.go 's/if !w\.active\(now\) \{\n\t\treturn Throttle\{\}/if true {\n\t\treturn Throttle{}/'
wait
for i in $(seq "$number"); do cat "$work/result-$i"; done
! grep -qhE '^(SURVIVED|NOT)' "$work"/result-*
