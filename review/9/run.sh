#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out. What was seen stands in record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if ! [ -f platform/target/toucanmast-platform-0.1.0-SNAPSHOT.jar ]; then
  echo "run deploy/build first" >&2
  exit 2
fi
if ! [ -f review/standin-2/target/KeyCase.class ]; then
  echo "run review/build-2.sh first" >&2
  exit 2
fi
timeout -k 3 112 java -Xmx1g -cp review/standin-2/target KeyCase "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
