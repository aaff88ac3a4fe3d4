#!/usr/bin/env bash
# Builds the programs of the review's scripts, with the project's stand-ins that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review/ ./review/...
