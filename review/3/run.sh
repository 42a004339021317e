#!/bin/sh
# Plays the case "cuts". Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/lentilyard ] || exit 2
exec target/review/standin cuts review/3/record.txt
