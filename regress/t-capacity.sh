#!/bin/sh
# The tables of docs/CAPACITY.md must be those that the figures give.
set -eu
awk -f docs/capacity.awk docs/capacity-figures.txt >build/out/capacity.want
sed -n '/capacity.awk: begin/,/capacity.awk: end/{/capacity.awk:/!p}' \
	docs/CAPACITY.md >build/out/capacity.have
diff build/out/capacity.want build/out/capacity.have
