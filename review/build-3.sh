#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-gcc} -O2 -Wall -Wextra -o target/review/rig-3 review/rig-3.c \
	$(pkg-config --cflags --libs jansson)
