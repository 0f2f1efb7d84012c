#!/bin/sh
# Checks that the tables of docs/MEASUREMENTS-cluster.md agree with the measured figures.
set -eu
awk -f docs/capacity.awk docs/capacity-figures.txt >build/out/capacity.expected
sed -n '/capacity.awk: begin/,/capacity.awk: end/{/capacity.awk:/!p}' \
	docs/MEASUREMENTS-cluster.md >build/out/capacity.actual
diff build/out/capacity.expected build/out/capacity.actual
