#!/usr/bin/env bash
# Removes one mechanism at a time in a copy of the tree and runs a command there that
# simulates the days to be compared. docs/LOAD.md has the resulting table.
#
#   scripts/ablation.sh list
#   scripts/ablation.sh DIR 'COMMAND' [NAME ...]
#
# COMMAND runs in DIR/NAME with the variable MECHANISM set to NAME; "none" is the unchanged code.
set -euo pipefail

# Mechanisms: name | file | sed command that disables it.
mechanisms() {
  cat <<'LIST'
none|README.md|
prediction|internal/batch/batch.go|s/return e.Slots > 0 \&\& e.StepTime/return false \&\& e.Slots > 0 \&\& e.StepTime/
passes-seen|internal/gateway/predict.go|s/if t.passSeen(now) {/if false \&\& t.passSeen(now) {/
returning-callers-last|internal/gateway/predict.go|s/return m.waited(c.CallerTimeout)/return 0 * m.waited(c.CallerTimeout)/
own-failure-domain-first|internal/gateway/choose.go|s/remoteDomainPasses = 0.5/remoteDomainPasses = 0.0/
rank-reserve|internal/gateway/room.go|s/rankReserve = 0.1/rankReserve = 0.0/
stall-watch|internal/gateway/stalls.go|s/if silent < max(tt.stallAfter(now, t), minSilence) {/if silent < time.Hour || silent < max(tt.stallAfter(now, t), minSilence) {/
stalls-of-other-nodes|internal/gateway/stalls.go|s/if t.group != group || (t.localInFlight/if true || t.group != group || (t.localInFlight/
lost-answers|internal/gateway/stalls.go|s/if s.movable() \&\& now.Sub(s.lastActivity) >/if false \&\& s.movable() \&\& now.Sub(s.lastActivity) >/
ejection|internal/gateway/outcomes.go|s/if t.failures < failuresToEject ||/if true || t.failures < failuresToEject ||/
doubted-heads|internal/gateway/choose.go|s/if candidate.target.unresponsiveCount > 0 \&\& candidate.target.localInFlight > 0 {/if false \&\& candidate.target.localInFlight > 0 {/
cut-off-domains|internal/gateway/choose.go|s/partitionedPenalty = 1.5/partitionedPenalty = 0.0/
slow-plain-tries|internal/gateway/attempt.go|s/if j.out != nil || j.c.Route.Kind/if true || j.out != nil || j.c.Route.Kind/
groups-given-up|internal/placement/placement.go|s/if len(d.out.Formations) == 0 {/if false \&\& len(d.out.Formations) == 0 {/
free-vms-kept|internal/placement/placement.go|s/if !ok || d.reserveFree(m) {/if !ok {/
copies-ahead|internal/placement/placement.go|s/^\td.stage(budget)$/\tif in.JoinUnstaged { d.stage(budget) }/
LIST
}

if [ "${1:-}" = list ]; then
  mechanisms | cut -d'|' -f1
  exit
fi
dir=$1 command=$2
shift 2
top=$(git rev-parse --show-toplevel)
mechanisms | while IFS='|' read -r name file change; do
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  copy=$dir/$name
  mkdir -p "$copy"
  (cd "$top" && git ls-files -co --exclude-standard -z ':!journal' | xargs -0 tar cf - ) | tar xf - -C "$copy"
  if [ -n "$change" ]; then
    sed -i "$change" "$copy/$file"
    if cmp -s "$copy/$file" "$top/$file"; then echo "$name: the sed command changed nothing in $file" >&2; exit 1; fi
  fi
  (cd "$copy" && go build ./... && MECHANISM=$name sh -c "$command" </dev/null)
done
