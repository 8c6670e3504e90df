#!/usr/bin/env bash
# Runs each case once, in turn, after the deploy build and review/build.sh: review/run-all.sh [CASE...]
# Exits with 1 if a rule was broken, 2 if a case could not run, and 0 if all rules held. A case takes up to two minutes.
cd "$(dirname "$0")" || exit 2
if [ "$#" -eq 0 ]; then
  set -- [0-9]*/
fi
broken=0 failed=0
for case in "$@"; do
  case=${case%/}
  echo "case $case: rule $(sed -n 's/^rule: //p' "$case/claim.txt")"
  "$case/run.sh"
  case $? in
    0) echo "case $case: held" ;;
    1) echo "case $case: broken" && broken=1 ;;
    *) echo "case $case: could not run" && failed=1 ;;
  esac
done
[ "$broken" -eq 1 ] && exit 1
[ "$failed" -eq 1 ] && exit 2
exit 0
