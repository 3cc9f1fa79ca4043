#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/build/.
# Needs only the compiler and nlohmann-json3-dev, which deploy/system.toml
# declares.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Werror -pthread \
  -Wno-missing-field-initializers -o build/stand_in stand_in/*.cc
