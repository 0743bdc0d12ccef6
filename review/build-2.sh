#!/bin/bash
# Builds the stand-ins of the cases 7 and higher. It needs a JDK and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/standin-2/target
mkdir -p review/standin-2/target
javac -Xlint:all -d review/standin-2/target review/standin-2/src/*.java
