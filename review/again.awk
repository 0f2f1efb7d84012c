# Reads a record. Prints starts of tasks after a run of them has ended as done,
# if that end is taken note of at any time, and how many there are. An end is
# taken note of when lastSeen reaches it, unless the lease of its worker has
# lapsed between the two.
/: its lease lapses/ { sub(/:$/, "", $3); lapse[$3] = $1 }
/ ends done$/ { sub(/:$/, "", $3); n[$4]++; run[$4, n[$4]] = $6
	done[$4, $6] = $1 }
/ starts .* run / { starts++; at[starts] = $1; task[starts] = $5 }
/ done, is taken note of/ { sub(/:$/, "", $3)
	if (lapse[$3] + 0 <= done[$6, $8]) noted[$6, $8] = $1 }
END {
	for (i = 1; i <= starts; i++)
		for (k = 1; k <= n[task[i]]; k++) {
			r = run[task[i], k]
			if (substr(task[i], 1, length(prefix)) == prefix &&
			    done[task[i], r] < at[i] && (task[i], r) in noted) {
				if (++again <= 3)
					print task[i] " is started at " at[i] ", its run " r " has ended as done at " done[task[i], r] ", taken note of at " noted[task[i], r]
				break
			}
		}
	print "again " again + 0
}
