#!/usr/bin/env bash
# Builds the stand-ins of cases 7 to 11 into target/review-3/. Needs the packages of the deploy file.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$top/target/review-3"
g++ -std=c++20 -O1 "$top/review/standin-3/world.cpp" -o "$top/target/review-3/world" -lboost_json -pthread
