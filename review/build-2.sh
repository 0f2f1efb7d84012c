#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs only
# the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
flags="-std=gnu11 -O2 -g -Wall -Wextra -I. -pthread $(pkg-config --cflags \
	apr-1 apr-util-1)"
gcc $flags -o $out/rig review/rig-2.c fake-server.c fake-reply.c fake-timer.c \
	-lmicrohttpd -ljansson -laprutil-1 -lapr-1 -pthread
gcc $flags -o $out/call rosemary-fake-call.c -lcurl -ljansson
