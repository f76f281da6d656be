#!/bin/bash
# Builds the stand-ins of the review cases into build/review, after the build of the deploy file. Needs the compiler and
# nlohmann-json only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "build/review/case$number" "$case"
done
