#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/standin2 ./review/standin2
