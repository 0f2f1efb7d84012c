#!/bin/sh
# Lists, by site, the days in journal/ with a missed figure or a broken rule:
# revision, day, seed and what it was. Hunts print broken rules only.
# Usage: missed.sh [REVISION]; with one, only entries added since.
set -eu
cd "$(dirname "$0")/.."
old=$(mktemp)
trap 'rm -f "$old"' EXIT
test $# = 0 || git ls-tree --name-only "$1" journal/ >"$old"
find journal -maxdepth 1 -name '*.json' | sort | grep -vxFf "$old" |
	xargs -r cat | awk -f deploy/missed.awk
