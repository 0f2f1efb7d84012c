#!/bin/sh
# Runs t-restart.sh for a few seconds under ThreadSanitizer, without
# suppressions. Any report in a log is a failure.
set -u
BIN=build/tsan JOBS_PER_S=60 SECONDS_OF_LOAD=5 sh regress/t-restart.sh || exit 1
! grep -h -A20 'WARNING: ThreadSanitizer' build/out/restart/vm*.log
