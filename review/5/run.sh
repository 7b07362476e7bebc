#!/bin/bash
# Usage: [TROUBLE=0] run.sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
exec "$(dirname "$0")/../stand/run-case" "$(dirname "$0")"
