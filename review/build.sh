#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -pthread -o bin/standin standin/main.cpp standin/json.cpp
