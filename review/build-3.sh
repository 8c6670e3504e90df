#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 under target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 review/rig-3/*.java
