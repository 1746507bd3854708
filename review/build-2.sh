#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 4 and following into target/review-2, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all,-try -d target/review-2 review/src-2/*.java
