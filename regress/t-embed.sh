#!/bin/sh
# Runs the embedding example, which docs/EMBEDDING.md quotes.
. regress/lib.sh

check "$bin/example-embed"
