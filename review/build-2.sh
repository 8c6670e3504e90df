#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 6 to 10 under target/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -nowarn -cp target/mangoridge.jar -d target/review-2/rig review/rig/*.java
for source in review/[6-9]/*.java review/10/*.java; do
  [ -f "$source" ] || continue
  case=$(basename "$(dirname "$source")")
  "$JAVA_HOME/bin/javac" --release 21 -nowarn -cp target/review-2/rig:target/mangoridge.jar -d "target/review-2/$case" "$source"
done
