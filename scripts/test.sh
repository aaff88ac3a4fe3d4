#!/usr/bin/env bash
# Runs all tests except those in KNOWN-RED.txt, and prints which ones it skips. The tests of crowds check how much memory a
# process takes while it gets more connections than it can serve: they run last, one at a time, apart from all others.
set -euo pipefail
cd "$(dirname "$0")/.."
crowds='^TestCrowdOf'
if grep -qE '^soak' KNOWN-RED.txt; then
  echo "known to fail by hand, not part of this run:"
  grep -E '^soak' KNOWN-RED.txt
fi
red=$(sed -nE 's/^(Test[A-Za-z0-9_]+):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
if [[ -n "$red" ]]; then
  echo "skipped, known to fail:"
  grep -E '^Test' KNOWN-RED.txt
fi
go test -count=1 -parallel 4 -skip "$crowds${red:+|^(${red})\$}" ./...
exec go test -count=1 -p 1 -parallel 1 -timeout 20m -run "$crowds" ${red:+-skip "^(${red})\$"} ./test/integration
