#!/usr/bin/env bash
# With TROUBLE=0, the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" "$here" "${TROUBLE:-1}" EndlessBytes letters
