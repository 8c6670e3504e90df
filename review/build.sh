#!/usr/bin/env bash
# Compiles the stand-ins of the cases into target/review; needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/*.java
