#!/bin/sh
# Plays the case "late-leave" with the disruption, or without it if TROUBLE=0. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/lentilyard ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=0
else
	trouble=1
fi
exec target/review/standin late-leave "$trouble" review/2/record.txt
