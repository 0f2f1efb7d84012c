#!/bin/sh
# Guards against days of a hunt whose missed figures nobody is told of.
. regress/lib.sh

# entry SITE DAY...: writes a journal entry with the days.
entry () {
	echo '{"v":1,"id":"1","at":["",""],'
	echo '"head":"0123456789abcdef","dirty":false,'
	echo "\"site\":\"$1\",\"panel\":null,"
	shift
	printf '"days":['
	first=
	for day in "$@"
	do
		test -z "$first" || printf ',\n'
		first=no
		printf '{"G":0.5,"name":%s}' "$day"
	done
	printf '],\n"days_left_out":0}\n'
}

run () {
	mkdir "$dir/deploy" "$dir/journal"
	cp deploy/missed.sh deploy/missed.awk "$dir/deploy"
	"$dir/deploy/missed.sh"
	entry one '"quiet","seed":7,"rules":{},"short":[]' \
		'"drawn --seed 8","seed":8,"rules":{},"short":["0.2 of a"]' \
		>"$dir/journal/1.json"
	entry two '"scale","seed":9,"rules":{"LIMIT":2},"short":["0.3 of b"]' \
		'"hunt-1","seed":null,"rules":{"TWICE":1},"short":[]' \
		>"$dir/journal/2.json"
	entry one '"quiet","seed":10,"rules":{},"short":["c","d"]' \
		>"$dir/journal/3.json"
	"$dir/deploy/missed.sh"
}

check run
