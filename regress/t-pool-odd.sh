#!/bin/sh
# Entries of other writers among those of the targets: nested deeply, with
# numbers too large, with addresses that are none, or unreadable. Guards against
# processes that end when they read them, against a list that is not followed
# any more, and against a target that is lost when its own entry was malformed
# for a while.
. ./regress/pool.sh

jobs="--rate=30 --tasks=2 --ms=60"
zero_counts="unexpected unanswered no_retry_after"

# entry ID ADDRESS CPU BORN VERSION: writes an entry of another writer.
entry () {
	text "$1" "$(printf '{"service":"desk","address":"%s","zone":"z",
		"state":"ready","capacity":{"cpu":%s,"taskMemoryMb":65536},
		"labels":["a","r1-1"],"born":%s,"version":%s}' \
		"$2" "$3" "$4" "$5" | tr -d '\n\t' | sed 's/"/\\"/g')"
}

# text ID TEXT: writes a text that is no entry.
text () {
	control row "{\"table\":\"servers\",\"key\":\"$1\",\"text\":\"$2\"}"
}

# odd_entries NAME: writes ten entries that name no target. The last one would
# be at the port of a target if its own were cut to 16 bits.
odd_entries () {
	a=127.0.0.1:9
	entry "$1-nested" $a 16000 1700000000000 "$nested"
	entry "$1-cpu" $a 1e300 1700000000000 1
	entry "$1-large" $a 9223372036854775807 1700000000000 1
	entry "$1-born" $a 16000 1e300 1
	entry "$1-digits" $a 16000 99999999999999999999 1
	entry "$1-user" @127.0.0.1/x:80 16000 1700000000000 1
	entry "$1-no-port" 127.0.0.1 16000 1700000000000 1
	text "$1-none" "[]"
	text "$1-broken" "{"
	entry "$1-port" 127.0.0.1:$((port + 1 + 65536)) 16000 1700000000000 1
}

# cut_off TARGET: the target does not rewrite its entry.
cut_off () {
	control target "{\"target\":$1,\"cut_off\":1}"
}

# restore TARGET: has the stand-in write the entry of the target again.
restore () {
	control target "{\"target\":$1,\"cut_off\":0,\"zone\":\"z\"}"
}

# lines N EVENT TARGET: counts lines of the log of VM N.
lines () {
	grep "\"$2\"" "$dir/vm$1.log" | grep -c "\"target\":\"$3" || :
}

run () {
	nested=$(printf '%2000s' | tr ' ' '[')$(printf '%2000s' | tr ' ' ']')
	start_platform 6
	odd_entries first
	vms="0 1 2"
	for v in $vms
	do
		start_vm $v
	done
	for v in $vms
	do
		await_ready $v
	done
	load $jobs --seconds=3 --seed=31
	served "in the first read" 75 $zero_counts
	l=$(leader $vms)
	echo "lines: $(lines $l target_row_unreadable first)," \
		"listed: $(lines $l target_listed first)"

	load $jobs --seconds=4 --seed=32
	odd_entries feed
	sleep 0.5
	odd_entries feed
	sleep 0.5
	control store '{"compact":1}'
	served "in the feed, twice, and in another full read" 100 $zero_counts
	echo "lines: $(lines $l target_row_unreadable feed)," \
		"listed: $(lines $l target_listed feed)"

	load $jobs --seconds=7 --seed=33
	cut_off 0
	cut_off 1
	cut_off 2
	entry i-0 127.0.0.1:70000 1e300 1 1
	sleep 1
	restore 0
	entry i-1 127.0.0.1:$((port + 1 + 65536)) 16000 1700000000001 1
	text i-2 "{"
	sleep 4
	echo "unlisted:$(for t in 0 1 2 3
	do
		echo " $(lines $l target_unlisted i-$t)"
	done | tr -d '\n')"
	restore 1
	restore 2
	served "entries of targets are malformed for a while" 170 $zero_counts

	load $jobs --seconds=6 --seed=34
	cut_off 3
	text i-3 "{"
	sleep 0.5
	kill -KILL "$(pid_of "$l")"
	sleep 1.5
	restore 3
	served "leader killed while one is" 110 $zero_counts
	for v in $vms
	do
		test "$v" = "$l" || kill -0 "$(pid_of "$v")" ||
			echo "vm$v has ended"
	done
	grep -l "runtime error\|AddressSanitizer" "$dir"/vm*.log || :
}

check run
