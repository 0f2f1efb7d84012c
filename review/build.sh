#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs what the build
# of the deploy file needs, and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p build
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -o build/rig rig.c -ljansson
