# Computes the tables of docs/CAPACITY.md from measured figures:
#
#	awk -f docs/capacity.awk docs/capacity-figures.txt
#
# Size and bounds of the target deployment, as the users set them, and the
# settings that the tables assume.
BEGIN {
	FS = "\t"
	starts = 15000	# starts per second at the peak
	tasks = 10	# tasks per job: small jobs cost more per task
	targets = 520
	edits = 2200	# per day
	vm_events = 54	# failures and replacements of VMs, per day
	day = 86400	# s
	record_lifetime = 900	# s: key-lifetime and max-timeout
	ring = 16384	# events: trace-events
	cpu_bound = 29000	# us/s: 2.9% of a core
	memory_bound = 32 * 1024	# kB
	wire_bound = 3000	# B/s
}

/^[a-z]/ { figure[$1] = $2 }

function check(value, bound) {
	return value <= bound ? "holds" : "**does not hold**"
}

END {
	idle_us = (figure["idle_us_520"] - figure["idle_us_50"]) / 470
	idle_kb = (figure["idle_kb_520"] - figure["idle_kb_50"]) / 470
	printf "Slopes: %.1f us/s and %.2f kB for each target, on %.0f us/s", \
		idle_us, idle_kb, figure["idle_us_50"] - 50 * idle_us
	printf " and %.0f kB for the process.\n\n", \
		figure["idle_kb_50"] - 50 * idle_kb

	print "### Control of one entry VM at the target size, no tasks\n"
	print "| entry VMs | CPU us/s | of 29,000 | memory kB | of 32,768 " \
		"| bytes/s to entry VMs | of 3,000 |"
	print "|---|---|---|---|---|---|---|"
	split("9 20 40", sizes, " ")
	for (i = 1; i <= 3; i++) {
		n = sizes[i]
		cpu = figure["idle_us_520"] + figure["beat_us_" n]
		kb = figure["idle_kb_520"] + ring * figure["ring_b"] / 1024
		printf "| %d | %.0f | %s | %.0f | %s | %.0f | %s |\n", n, cpu, \
			check(cpu, cpu_bound), kb, \
			check(kb, memory_bound), figure["beat_bps_" n], \
			check(figure["beat_bps_" n], wire_bound)
	}

	print "\n### Added by slot credits at 15,000 starts/s\n"
	print "| entry VMs | starts/s a node | B a task | credits B/s " \
		"| with heartbeats | of 3,000 |"
	print "|---|---|---|---|---|---|"
	for (i = 1; i <= 3; i++) {
		n = sizes[i]
		bytes_per_task = (figure["load_bps_" n] - \
			figure["beat_bps_" n]) / figure["load_tps_" n]
		credit_bps = bytes_per_task * starts / n
		printf "| %d | %.0f | %.1f | %.0f | %.0f | %s |\n", n, \
			starts / n, bytes_per_task, credit_bps, \
			credit_bps + figure["beat_bps_" n], \
			check(credit_bps + figure["beat_bps_" n], wire_bound)
	}

	print "\n### Serving 15,000 starts/s\n"
	print "| entry VMs | CPU ms/s a node, jobs of 100 | jobs of 10 " \
		"| records kB a node, jobs of 10 |"
	print "|---|---|---|---|"
	for (i = 1; i <= 3; i++) {
		n = sizes[i]
		printf "| %d | %.0f | %.0f | %.0f |\n", n, \
			starts / n * figure["start_us"] / 1000, \
			starts / n * figure["job10_us"] / 1000, \
			starts / tasks / n * record_lifetime * figure["record_b"] / 1024
	}

	print "\n### The deployment as a whole\n"
	print "| what | at 9 | at 40 entry VMs |"
	print "|---|---|---|"
	printf "| table reads/s, of 2,000 shared | %.1f | %.1f |\n", \
		figure["reads_9"], figure["reads_40"]
	printf "| conditional reads of the VM list a second | 9 | 40 |\n"
	printf "| rows written for %d edits a day | %.2f/s | %.2f/s |\n", \
		edits, figure["edit_rows"], figure["edit_rows"]
	printf "| VM list, whole, for %d VM events a day: B/s a node ", \
		vm_events
	list_bps = 2 * vm_events * figure["list_b"] / day
	printf "| %.0f | %.0f |\n", list_bps, list_bps
	printf "| decisions: core for 15,000 starts/s in one kernel "
	printf "| %.1f%% | %.1f%% |\n", starts * figure["kernel_ns"] / 1e7, \
		starts * figure["kernel_ns"] / 1e7
}
