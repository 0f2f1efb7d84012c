#!/bin/sh
# The command line against two entry VMs: answers, exit codes, timeline.
. regress/lib.sh

start_all 2 2 --service-ms 5
vm0=$(http_of 0)
vm1=$(http_of 1)
# Runs a command and prints its exit code unless it is 0.
rosemary () {
	code=0
	"$bin/rosemary" "$@" 2>>"$dir/err" || code=$?
	test $code = 0 || echo "exit $code"
}
# Sets how both targets behave.
set_targets () {
	call POST "$(target_of 0)" /v1/control "$1" >/dev/null
	call POST "$(target_of 1)" /v1/control "$1" >/dev/null
}
# Checks that the timestamps of the timeline are in ascending order.
in_order () {
	sed 's/.*"hlc":\([0-9]*\).*/\1/' | sort -c && echo 'in order'
}

run () {
	echo '# usage'
	rosemary nonsense
	rosemary submit
	rosemary wait
	rosemary submit --service deadline-desk "$dir/none.json"
	echo '# a job from a file'
	echo '[{"id":"x","payload":{"task":"1"}},{"id":"y","payload":""}]' \
		>"$dir/job.json"
	rosemary submit -s deadline-desk -j "$dir/job.json" -e "$vm0" \
		>"$dir/answer"
	pick state <"$dir/answer"
	pick results.1.id <"$dir/answer"
	key=$(pick key <"$dir/answer")
	echo '# a timeout that the file states is not replaced by the default'
	for timeout in '"500"' 500.5 null 0
	do
		echo "{\"timeout_ms\":$timeout,\"tasks\":[
			{\"id\":\"x\",\"payload\":\"\"}]}" >"$dir/timeout.json"
		rosemary submit -s deadline-desk "$dir/timeout.json" -e "$vm0" |
			grep -e ^state -e message -e exit
	done
	echo '# the same key at another entry VM starts no task again'
	count_starts
	rosemary submit -s deadline-desk --issued-key "$key" -e "$vm1" \
		-j "$dir/job.json" | pick state
	count_starts
	echo '# the same key with another body is refused'
	rosemary submit -s deadline-desk --issued-key "$key" --tasks 3 |
		grep -e state -e exit
	echo '# an issued key, waited for at another entry VM'
	rosemary submit -s deadline-desk --tasks 4 -e "$vm0" >"$dir/answer"
	key=$(sed -n 's/^key: //p' "$dir/answer")
	grep -c '^  [1-4]' "$dir/answer"
	rosemary wait "$key" -e "$vm1" | grep -e state -e results
	echo '# a request'
	rosemary request -s deadline-desk '{"task":"r"}' | grep state
	echo '# a failing target; an unknown key'
	set_targets '{"fail_all":true}'
	rosemary request -s deadline-desk '{}' | grep -e state -e exit
	set_targets '{"fail_all":false}'
	rosemary wait no-such-key | grep -e state -e exit
	echo '# cancel'
	rosemary submit -s deadline-desk --tasks 1 --no-wait \
		--payload '{"ms":60000}' >"$dir/answer"
	grep state "$dir/answer"
	long=$(sed -n 's/^key: //p' "$dir/answer")
	rosemary cancel "$long" >/dev/null
	rosemary wait "$long" | grep -e state -e exit
	echo '# the timeline'
	rosemary events --job "$key" --json >"$dir/events"
	grep -c '"event":"started"' "$dir/events"
	rosemary events --json | in_order
	rosemary events --team nobody
	echo '# counters and status'
	rosemary metrics | grep -c '^# entry VM'
	rosemary show-status | grep 'vm:'
	echo '# a planned stop; afterwards the entry VM is reported'
	rosemary drain --wait -e "$vm1" | grep state
	rosemary events --job "$key" | sed "s/$vm1/vm1/; s/answer: .*/answer/" |
		grep -e '^#' -e exit
	rosemary show-status | grep -c 'gave no answer'
	rosemary submit -s deadline-desk --tasks 1 -e "$vm1" -e "$vm0" |
		grep state
	rosemary submit -s deadline-desk --tasks 1 -e "$vm1"
}

check run
