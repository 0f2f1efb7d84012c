#!/bin/sh
# Callers' own keys: each is claimed once across all entry VMs, even if the
# answer to the claim is lost. No key is accepted during a platform outage.
. regress/lib.sh

start_all 2 2 --service-ms 5
vm0=$(http_of 0)
vm1=$(http_of 1)
rosemary () {
	code=0
	"$bin/rosemary" "$@" 2>>"$dir/err" || code=$?
	test $code = 0 || echo "exit $code"
}
submit () {
	rosemary submit -s deadline-desk --tasks 2 "$@" |
		grep -e state -e exit
}

run () {
	echo '# the same key at both entry VMs'
	submit --key own-1 -e "$vm0"
	submit --key own-1 -e "$vm1"
	count_starts
	echo '# another body'
	submit --key own-1 --payload other -e "$vm1"
	echo '# cancelled elsewhere'
	submit --key long --payload '{"ms":60000}' --no-wait -e "$vm0"
	rosemary cancel long -e "$vm1" >/dev/null
	rosemary wait long -e "$vm1" | grep -e state -e exit
	count_starts
	echo '# the answer to the claim is lost'
	control '{"lose_answers":1}'
	submit --key own-2 -e "$vm0"
	submit --key own-2 -e "$vm1"
	count_starts
	echo '# the platform is out, then back'
	control '{"outage":true}'
	submit --key own-3 --no-retry --timeout 1000 -e "$vm0" >"$dir/out3"
	grep -c -e not_run -e refused "$dir/out3"
	count_starts
	control '{"outage":false}'
	submit --key own-4 -e "$vm0"
	count_starts
}

check run
