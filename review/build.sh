#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers "$source" -o "target/review/case-$number" -pthread
done
