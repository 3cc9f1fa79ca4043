#!/usr/bin/env bash
# Installs, builds and runs every test under the address and undefined
# behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh asan
ctest --test-dir build/asan --output-on-failure -j 4
