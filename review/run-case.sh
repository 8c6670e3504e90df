#!/usr/bin/env bash
# Runs a case after the deploy build and review/build.sh: review/run-case.sh FOLDER TROUBLE CLASS [ARGUMENT...]
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
(. bin/find-jdk) || exit 2
. bin/find-jdk
folder=$1 trouble=$2 class=$3
shift 3
if [ ! -f target/mangoridge.jar ] || [ ! -f "target/review/$class.class" ]; then
  echo "build first: bin/build-deploy and review/build.sh" >&2
  exit 2
fi
timeout -k 2 116 "$JAVA_HOME/bin/java" -cp target/review "$class" "$PWD" "$folder" "$trouble" "$@"
case $? in
  0) exit 0 ;;
  10) exit 1 ;; # A virtual machine that can't start exits with 1.
  *) exit 2 ;;
esac
