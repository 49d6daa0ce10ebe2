#!/usr/bin/env bash
# Builds the programs of the scripts into review/build/. They need a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in */case.cpp; do
	name="case$(dirname "$source")"
	g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$name" "$source"
done
