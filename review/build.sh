#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into target/review. Needs the JDK only.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
javac -Xlint:all -d "$root/target/review" "$root"/review/*.java
