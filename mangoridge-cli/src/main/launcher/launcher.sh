#!/bin/sh
# The head of the executable file; the archive of classes follows it.
java=${JAVA_HOME:+$JAVA_HOME/bin/}java
major=$("$java" -version 2>&1 | sed -n 's/.* version "\([0-9]*\).*/\1/p')
if [ "${major:-0}" -lt 21 ]; then
  echo "mangoridge: needs Java 21 or newer; set JAVA_HOME" >&2
  exit 1
fi
flags=--enable-native-access=ALL-UNNAMED
if [ "$major" -ge 23 ]; then
  flags="$flags --sun-misc-unsafe-memory-access=allow"
fi
exec "$java" $flags $MANGORIDGE_JAVA_OPTS -jar "$0" "$@"
exit 1
