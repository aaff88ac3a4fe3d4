#!/usr/bin/env bash
# Runs the tests that docs/PROOF.md names and prints one line per guarantee.
# SEED=n ROUNDS=m repeats them with the seeds n to n+m-1 and more checks.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${SEED:-}
rounds=${ROUNDS:-1}
failed=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
int=./test/integration

promise() { # NAME TESTS PACKAGES...
  local name=$1 tests=$2
  shift 2
  local started=$SECONDS
  if go test -count=1 -parallel 4 -v -run "^($tests)\$" "$@" >"$log" 2>&1; then
    printf 'held    %-58s %3d tests, %4d s\n' "$name" "$(grep -c '^ *--- PASS' "$log")" $((SECONDS - started))
    grep -hoE 'seed [0-9]+: [0-9]+ requests, faults.*' "$log" | sed 's/^/        /'
    return
  fi
  failed=$((failed + 1))
  printf 'FAILED  %s\n' "$name"
  grep -E '_test\.go:[0-9]+: |^--- FAIL|panic:' "$log" | grep -v '\.log:' | head -20
  cp "$log" "${PROOF_LOG:-/dev/null}"
}

for ((round = 0; round < rounds; round++)); do
  if [ -n "$seed" ]; then
    export MARBLEROAD_SEED=$((seed + round)) MARBLEROAD_CHECKS=${CHECKS:-2000} MARBLEROAD_STEPS=${STEPS:-12}
    echo "== seed $MARBLEROAD_SEED"
  fi
  promise "A group serves only when all its VMs are present" \
    'TestEligibleAgainstOracle|TestKilledVM.*|TestFrozenVM.*|TestFabricDomainOutage.*|TestVMCutFromOneEntryOnly|TestLagging.*|TestStaleOrder.*' ./internal/groups $int
  promise "No VM belongs to two groups at once" \
    'TestPlanKeepsInvariants|TestEqualViews.*|TestFormsWaits.*|TestPausedPlanner|TestPlanWrite.*|TestVMAndPlatform.*|TestFrozenVM.*' ./internal/groups $int
  promise "The whole answer to one's own request" \
    'TestStreamKeepsSequence|FuzzStream|TestInterleaved.*|TestBrokenStream.*|TestUpstreamDies.*|TestSpilledStream.*|TestCallerRetries.*' ./internal/relay $int
  promise "What is refused as not run did not run" \
    'TestVerdicts|TestNoReplay.*|TestTransportReplaysIdempotentRequests|TestNotRun.*|TestSpill.*' ./internal/relay $int
  promise "A non-idempotent request runs at most once" \
    'TestAtMostOnce|TestGroupCommit|TestNoReplay.*|TestRetryElsewhere.*|TestEntryKilled.*|TestLedger.*|TestConcurrentAttempts|TestBrokenKeyed.*|TestCallerCannot.*|TestPlatformDown.*' ./internal/ledger ./internal/relay $int
  promise "A leaving upstream gets no new work" 'TestLeaving.*' $int
  promise "A graceful shutdown cuts off no request" 'TestGraceful.*|TestShutdown.*|TestRolling.*' $int
  promise "An accepted change is in force everywhere and never reverts" \
    'TestNeverReverts|TestOperatorsRace|TestSheetsRace|TestLostRace.*|TestAcceptedWrite.*|TestReaderKilled|TestDomainCut.*|TestFreshNode.*|TestDeletedTeam.*' ./internal/item $int
  promise "A store outage leaves serving untouched" 'TestStoreOutage.*' $int
  promise "Bad input and callers without credentials get nothing" \
    'TestBadInput.*|TestWithoutCredentials.*|TestMutualTLS|TestFaults.*|TestErrorsOfASheet.*|TestSlowBody.*|Fuzz.*' ./internal/settings ./internal/table ./internal/groups ./internal/entry ./internal/ctl $int
  promise "On the users' platform: groups, requests, changes, stops" \
    'TestRandomFaults|TestTwoDirectors|TestHeadPartitioned.*|TestDeadHead|TestLostMember|TestSuccessor|TestMemberIn.*|TestUnanswered.*|TestStreamContinues.*|TestTruncatedStream.*|TestUnavailableOnlyIfNotRun|TestNonIdempotent.*|TestLeavingVM.*|TestConfiguration.*|TestKeysNeed.*|TestVersionNever.*|TestNoWindow.*|TestAnswers.*|TestResponseVerdicts|TestGatewayErrors|TestResponsesOfManyVMs.*' \
    ./internal/director ./internal/gateway ./internal/catalog ./internal/retry ./platform
  promise "With the settings of section [overload]" \
    'TestRefusedCallers.*|TestLongestPass.*|TestUnreadPrompts.*|TestStoppingNode.*|TestUtilization.*|TestReturning.*|TestReturn.*|TestRestartedNode(TakesCallersAsNew|sCountOnce)|TestDivide.*|TestTimeoutsThatDiffer.*|TestSilentPeers.*|TestPauses?[A-Z].*|TestHeadsWithUnread.*|TestNearlyFull.*|TestResentRequests.*|TestLongPrompts.*|TestHubAddsUp.*|TestConsecutive.*|TestSurge.*|TestRefused.*|TestPack.*|TestChangeMustPay.*|TestFormationPays.*|TestRemainingVMs.*|TestDirectors?(DoNotPackTooMuch|StopsBetweenDissolutions)|TestOneTeam.*|TestReserve.*|TestNodeAlone.*|TestShares.*|TestReportForgets.*|TestNodesWithout.*|TestRefusal.*|TestMeasuredDemand.*' \
    ./internal/returns ./internal/batch ./internal/spread ./internal/fairshare ./internal/demand ./internal/placement ./internal/director ./internal/cluster ./internal/gateway
  promise "On the users' platform, with real processes" 'TestNode.*|TestStreamOutlives.*|TestDirectorKilled' $int
  promise "All of them under random faults, two at once" 'TestRandomFaults' $int
done
[ "$failed" = 0 ]
