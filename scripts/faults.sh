#!/usr/bin/env bash
# Runs the fault matrix: scripts/faults.sh [--seed S] [--step X --fault Y]
# Without --step every fault at every step, each also twice, and all pairs of
# faults. --list names steps and faults, --group G runs one group, --pairs P
# a share of the pairs. The last line is "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release faults >&2
exec build/release/tools/faults/faults --jobs "${JOBS:-$(nproc)}" "$@"
