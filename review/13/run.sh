#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file
# and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../stand_in_3/run.sh" waiting "$folder"
