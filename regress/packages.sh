#!/bin/sh
# Installs what the build and the tests need, where it is missing.
set -eu
want=$(sed -n '/^PACKAGES/,/[^\\]$/p' Makefile | tr -d '\\' |
	sed 's/PACKAGES *=//')
missing=
for p in $want
do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
test -z "$missing" && exit 0
sudo=
test "$(id -u)" = 0 || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing \
	>/dev/null
