#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, with the packages of
# deploy/system.toml alone. They are placed in target/review/.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
common=(review/standins/stage.cpp
  standins/storestandin.cpp standins/upstreamstandin.cpp standins/base64.cpp
  src/http/*.cpp src/eventloop/*.cpp
  src/base/{hash,logline,boundedsink,address}.cpp)
flags=(-std=c++20 -O1 -Isrc -I.)
read -ra libraries <<<"$(pkg-config --cflags --libs ACE spdlog libxxhash)"
objects=()
pids=()
for source in "${common[@]}"; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" $(pkg-config --cflags ACE spdlog libxxhash) \
    -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for program in withdrawnkey upgradedworkers setbackclock; do
  g++ "${flags[@]}" "review/standins/$program.cpp" "${objects[@]}" \
    -o "$out/review-$program" "${libraries[@]}" -lhttp_parser -lpthread
done
