#!/usr/bin/env bash
# Runs a case after the deploy build and review/build.sh: review/run-case.sh FOLDER CLASS [ARGUMENT...]
cd "$(dirname "$0")/.." || exit 2
. bin/find-jdk || exit 2
folder=$1 class=$2
shift 2
[ -f target/mangoridge.jar ] && [ -f "target/review/$class.class" ] || { echo "build first" >&2; exit 2; }
exec timeout -k 2 116 "$JAVA_HOME/bin/java" -cp target/review "$class" "$PWD" "$folder" "$@"
