#!/usr/bin/env bash
# Checks formatting and runs the linter: scripts/lint.sh [file...]
# Without arguments all sources of the repository are checked. --fix formats
# in place instead of checking.
set -euo pipefail
cd "$(dirname "$0")/.."
fix=
if [ "${1:-}" = --fix ]; then
  fix=1
  shift
fi
scripts/install.sh
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard -- '*.h' '*.cc' |
    grep -v -e '\.pb\.' -e '\.grpc\.' | while read -r f; do [ -e "$f" ] && echo "$f"; done)
fi
if [ -n "$fix" ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake --preset asan >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p build/asan --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ${#files[@]} files are clean"
