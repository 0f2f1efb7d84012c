#!/bin/sh
# Tests the platform stand-in: rows, commits, list of VMs, objects, faults.
. regress/lib.sh

address=127.0.0.1:$port
write_vms 1 1 8 >"$dir/vms.json"
start_platform

commit () {
	call -s GET "$address" /v1/control/counts >/dev/null
	call POST "$address" /v1/table/commit "{\"rows\":[$1]}"
}
read_rows () {
	call POST "$address" /v1/table/read "{\"names\":[$1]}"
}

run () {
	echo '# insert if absent, then compare and set by version'
	read_rows '"a"'
	commit '{"name":"a","value":"1","version":0}'
	commit '{"name":"a","value":"2","version":0}'
	commit '{"name":"a","value":"2","version":1}'
	echo '# all rows or none'
	commit '{"name":"b","value":"1","version":0},
		{"name":"a","value":"3","version":1}'
	commit '{"name":"b","value":"1","version":0},
		{"name":"a","value":"3","version":2},
		{"name":"c/1","value":"x","version":0},
		{"name":"c/2","value":"y","version":0}'
	read_rows '"a","b"'
	call POST "$address" /v1/table/scan '{"prefix":"c/"}'
	echo '# delete; a version is never used again'
	commit '{"name":"b","value":null,"version":3}'
	commit '{"name":"b","value":"2","version":0}'
	read_rows '"b"'
	call -s POST "$address" /v1/table/commit '{"rows":[{"name":"a"}]}'
	echo '# objects'
	call -s GET "$address" /v1/objects/o
	call PUT "$address" /v1/objects/o 'some text'
	call GET "$address" /v1/objects/o
	echo '# list of VMs, and its delay'
	call -f vms.1.name GET "$address" /v1/vms
	call POST "$address" /v1/control '{"list_lag_ms":60000}' >/dev/null
	call POST "$address" /v1/control/vms '[{"name":"new"}]'
	call -f vms -n GET "$address" /v1/vms
	call POST "$address" /v1/control '{"list_lag_ms":0}' >/dev/null
	call -f vms GET "$address" /v1/vms
	echo '# outage'
	call POST "$address" /v1/control '{"outage":true}'
	call -s POST "$address" /v1/table/commit \
		'{"rows":[{"name":"d","value":"1","version":0}]}'
	call POST "$address" /v1/control '{"outage":false}' >/dev/null
	read_rows '"d"'
	echo '# a lost answer: the commit takes effect'
	call POST "$address" /v1/control '{"lose_answers":1}' >/dev/null
	"$bin/rosemary-fake-call" POST "$address" /v1/table/commit \
		'{"rows":[{"name":"d","value":"1","version":0}]}' \
		2>/dev/null || echo "no answer: exit $?"
	read_rows '"d"'
	echo '# delay'
	call POST "$address" /v1/control '{"delay_ms":300}' >/dev/null
	before=$(date +%s%N)
	read_rows '"d"' >/dev/null
	test $((($(date +%s%N) - before) / 1000000)) -ge 300 && echo delayed
	call POST "$address" /v1/control '{"delay_ms":0}' >/dev/null
	echo '# limit of 10 rows/s: the third row waits for the first two'
	call POST "$address" /v1/control '{"writes_per_s":10}' >/dev/null
	before=$(date +%s%N)
	commit '{"name":"e","value":"1","version":0},
		{"name":"f","value":"1","version":0}' >/dev/null
	commit '{"name":"g","value":"1","version":0}' >/dev/null
	test $((($(date +%s%N) - before) / 1000000)) -ge 190 && echo paced
	call POST "$address" /v1/control '{"writes_per_s":0}' >/dev/null
	echo '# counts'
	call GET "$address" /v1/control/counts
}

check run
