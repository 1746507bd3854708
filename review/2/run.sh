#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/dist/lib/org.fawndrum.platform-0.1.0-SNAPSHOT.jar" ] || { echo "build the project first"; exit 2; }
"$root/review/build.sh" || exit 2
exec java -cp "$root/target/review" CutReaderCase "$root" "$here/record.txt"
