#!/bin/bash
# Builds the stand-ins of the scripts; needs only a JDK 17.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -Xlint:-options -d target standin/review/*.java
