#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/review-2, with the compiler
# alone. The program under test is built by the build command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in store worker caller; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" \
    "review/standins-2/$name.cpp" review/standins-2/net.cpp
done
