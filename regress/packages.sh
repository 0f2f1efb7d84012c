#!/bin/sh
# Installs the packages that the build and the tests need, if missing.
set -eu
packages=$(sed -n '/^PACKAGES/,/[^\\]$/p' Makefile | tr -d '\\' |
	sed 's/PACKAGES *=//')
missing=
for p in $packages
do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
test -z "$missing" && exit 0
sudo=
test "$(id -u)" = 0 || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing \
	>/dev/null
