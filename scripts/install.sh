#!/usr/bin/env bash
# Installs the Debian packages that the build needs; does nothing when they
# are all there.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=$(xargs -a scripts/packages.txt dpkg-query -W -f='${Package} ${db:Status-Status}\n' 2>&1 |
  grep -v ' installed$' || true)
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
xargs -a scripts/packages.txt apt-get install -y -qq --no-install-recommends >/dev/null
