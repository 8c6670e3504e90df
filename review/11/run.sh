#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
. bin/find-jdk || exit 2
"$JAVA_HOME/bin/java" -cp target/review-3 PoisonPart review/11 8 18 500 6000 LOST
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
