#!/bin/sh
# The embedding example of docs/EMBEDDING.md builds and runs.
. regress/lib.sh

check "$bin/example-embed"
