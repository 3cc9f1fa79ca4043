#!/usr/bin/env bash
# Configures and builds one preset: scripts/build.sh [release|dev|asan|tsan] [target...]
# JOBS limits the number of parallel compilers.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
shift || true
scripts/install.sh
# Paths relative to the checkout let all checkouts share one compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake --preset "$preset" >/dev/null
targets=()
[ $# -gt 0 ] && targets=(--target "$@")
cmake --build --preset "$preset" -j "${JOBS:-$(nproc)}" "${targets[@]}"
