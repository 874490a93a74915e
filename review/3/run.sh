#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 does the same without the disruption.
exec node "$(dirname "$0")/case.mjs"
