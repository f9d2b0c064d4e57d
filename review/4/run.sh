#!/usr/bin/env bash
# Plays the case against the daemons of the deploy file. Exit status: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/daemon/cornelcrankd.jar ] && [ -d target/review ] || exit 2
CASE_FOLDER=$PWD/review/4
CASE_TEMP=$(mktemp -d) || exit 2
export CASE_FOLDER CASE_TEMP
java -Xmx256m -cp target/review SpoiledStream > "$CASE_TEMP/console.txt" 2>&1
status=$?
rm -rf "$CASE_TEMP"
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
