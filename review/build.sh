#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -d target/classes standin/review/*.java
