#!/bin/bash
# Builds the stand-ins of cases 6 to 10 into build/review-2, after the build of the deploy file. Needs the compiler and
# nlohmann-json only. The sources are called main.cpp, as build.sh takes each case.cpp.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=$here/../build/review-2
mkdir -p "$out"
pids=()
for source in "$here"/{6,7,8,9,10}/main.cpp; do
  [[ -e $source ]] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I"$here/rig-2" "$source" -o "$out/case-$(basename "$(dirname "$source")")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
