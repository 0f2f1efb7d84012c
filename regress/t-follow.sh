#!/bin/sh
# The time line followed live over two entry VMs, with one that goes away.
. regress/lib.sh

start_all 2 2 --service-ms 5

# seen PATTERN: whether the followed time line has such a line by now.
seen () {
	grep -q "$1" "$dir/line" && echo yes
}

# named: whether the entry VM that went away has been named.
named () {
	cat "$dir/named" "$dir/line" | grep -q "$(http_of 0)" && echo yes
}

run () {
	"$bin/rosemary" events --follow --json -e "$(http_of 0)" \
		-e "$(http_of 1)" >"$dir/line" 2>"$dir/named" &
	follower=$!
	pids="$pids $follower"
	echo '[{"id":"x","payload":""}]' >"$dir/job.json"
	"$bin/rosemary" submit -s deadline-desk -j "$dir/job.json" \
		-e "$(http_of 1)" >"$dir/answer" 2>>"$dir/err"
	key=$(pick key <"$dir/answer")
	until_is yes seen "\"answered\",\"key\":\"$key\"" && echo 'followed'
	kill -KILL "$(pid_of 0)"
	until_is yes named && echo 'named'
	"$bin/rosemary" submit -s deadline-desk -j "$dir/job.json" \
		-e "$(http_of 1)" >"$dir/answer" 2>>"$dir/err"
	key=$(pick key <"$dir/answer")
	until_is yes seen "\"answered\",\"key\":\"$key\"" && echo 'goes on'
}

check run
