#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -Xlint:-options -d target/review review/standins/*.java
