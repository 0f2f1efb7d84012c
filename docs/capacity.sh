#!/bin/sh
# Regenerates the tables of docs/MEASUREMENTS-cluster.md from the measured figures.
set -eu
cd "$(dirname "$0")"
awk -f capacity.awk capacity-figures.txt >capacity.tmp
sed -e '/capacity.awk: begin/r capacity.tmp' \
	-e '/capacity.awk: begin/,/capacity.awk: end/{/capacity.awk:/!d}' \
	MEASUREMENTS-cluster.md >capacity.new
mv capacity.new MEASUREMENTS-cluster.md
rm capacity.tmp
