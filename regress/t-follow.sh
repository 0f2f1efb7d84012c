#!/bin/sh
# The timeline of two entry VMs, followed while one of them is killed.
. regress/lib.sh

start_all 2 2 --service-ms 5

# has_line PATTERN: prints yes if the timeline has a matching line by now.
has_line () {
	grep -q "$1" "$dir/events" && echo yes
}

# is_reported: prints yes if the killed entry VM has been reported.
is_reported () {
	cat "$dir/errors" "$dir/events" | grep -q "$(http_of 0)" && echo yes
}

run () {
	"$bin/rosemary" events --follow --json -e "$(http_of 0)" \
		-e "$(http_of 1)" >"$dir/events" 2>"$dir/errors" &
	follower=$!
	pids="$pids $follower"
	echo '[{"id":"x","payload":""}]' >"$dir/job.json"
	"$bin/rosemary" submit -s deadline-desk -j "$dir/job.json" \
		-e "$(http_of 1)" >"$dir/answer" 2>>"$dir/err"
	key=$(pick key <"$dir/answer")
	until_is yes has_line "\"answered\",\"key\":\"$key\"" && echo 'followed'
	kill -KILL "$(pid_of 0)"
	until_is yes is_reported && echo 'reported'
	"$bin/rosemary" submit -s deadline-desk -j "$dir/job.json" \
		-e "$(http_of 1)" >"$dir/answer" 2>>"$dir/err"
	key=$(pick key <"$dir/answer")
	until_is yes has_line "\"answered\",\"key\":\"$key\"" && echo 'continued'
}

check run
