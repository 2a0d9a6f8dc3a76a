#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. 1: the rule was broken; 0: it held; 2: it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
python3 -m review.3.case
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
