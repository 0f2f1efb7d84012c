# Reads the logs of entry VMs, JSON lines with anything before them, and prints
# by queue how many of the largest jobs were completed, and how many could be:
#
#	awk -f docs/sizes.awk LOG...
#
# The size of a job is tasks x CPU x work. Work is what its runs have shown by
# their progress or ends (shown_ms of job_ended), which is the least that it can
# be. If nothing was shown, it is the geometric mean of the caller's estimate,
# corrected by the mean error of the queue's estimates, and the mean of the
# queue, as both have errors. A job is too long if its longest task, started at
# once on a target of speed 1, ends after the caller's deadline.
#
# Lines are left out under load: run the VMs with --log-estimate, which leaves
# out the completed jobs of short queues. A queue is divided by size if nearly
# all of its jobs have one; the tenths are those of the jobs with a size.
BEGIN {
	SIZED_MIN = 0.85
}

# Lines that whatever collects the logs has cut.
!/}$/ || /"time_ms".*"time_ms"/ {
	cut++
	next
}

# Value of a field of the line; "" if it has none.
function field(name,	at) {
	if (!match($0, "\"" name "\":(\"[^\"]*\"|-?[0-9]+)"))
		return ""
	at = substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
	gsub(/^"|"$/, "", at)
	return at
}

function bucket(ms) {
	return ms < 0 ? 0 : int(ms)
}

function max(a, b) {
	return a > b ? a : b
}

/"event":"job_ended"/ {
	id = field("id")
	queue[id] = field("queue")
	tasks[id] = field("tasks")
	cpu[id] = field("cpu")
	estimate[id] = max(field("estimate_ms") + 0, 1)
	shown[id] = max(shown[id] + 0, field("shown_ms") + 0)
	moves[id] += field("moves")
	lost[id] += field("lost_runs")
	decisions[id]++
	age[id] = field("age_ms") + 0
	waited[id] = field("waited_ms") + 0
	earlier[id] = field("earlier_ms") + 0
	span[id] = age[id] + field("left_ms")
	decided[id] = field("outcome")
	why[id] = field("why")
	if (decided[id] == "completed" && shown[id] > 0) {
		nk[queue[id]]++
		log_k[queue[id]] += log(shown[id] / estimate[id])
		log_work[queue[id]] += log(shown[id])
		if (field("retries") + 0 == 0)
			beyond[bucket(age[id] - waited[id] - shown[id])]++
	}
}

/"event":"answered"/ {
	id = field("id")
	queue[id] = field("queue")
	outcome[id] = field("outcome")
	if (outcome[id] != "completed")
		why[id] = field("why")
}

# The run that shows that a job cannot end in time.
/"event":"hopeless"/ {
	id = field("task")
	sub(/\..*/, "", id)
	replied = field("replied_ms_ago") + 0
	sent = field("sent_ms_ago") + 0
	if (replied > sent + 500)
		silent[id] = "; started on a target silent for over 0.5 s"
	else if (replied > 200)
		silent[id] = "; its target fell silent"
}

/lines were left out/ {
	match($0, /[0-9]+ lines were left out/)
	left_out += substr($0, RSTART) + 0
}

# Why a job that is not too long was not completed.
function cause(id,	text) {
	if (outcome[id] == "" && decided[id] == "completed")
		text = "completed, and no answer in the logs"
	else if (outcome[id] == "")
		text = "no answer in the logs"
	else if (decided[id] == "completed")
		text = "completed, answered: " why[id]
	else
		text = why[id]
	if (!shown[id])
		text = text "; nothing shown"
	text = text silent[id]
	if (moves[id])
		text = text "; moved"
	if (lost[id])
		text = text "; run lost with a target"
	if (decisions[id] > 1)
		text = text "; change of leader"
	if (earlier[id] > 0)
		text = text "; waited in earlier tries"
	if (waited[id] - earlier[id] > 100)
		text = text "; waited over 100 ms for its first start"
	return text
}

# Prints the jobs order[from..to] of the queue.
function print_part(name, from, to,	i, id, n, done, never, guessed, late, text,
		    causes) {
	n = done = never = guessed = late = 0
	for (i = from; i <= to; i++) {
		id = order[i]
		n++
		if (outcome[id] == "completed") {
			done++
			late += work[id] + overhead > span[id] && sized[id]
		} else if (sized[id] && work[id] + overhead > span[id]) {
			never++
			if (!shown[id]) {
				guessed++
				causes["too long by estimate: " why[id]]++
			}
		} else {
			causes[cause(id)]++
		}
	}
	if (!n)
		return
	printf "| %s | %d | %d | %.3f | %d | %d | %.3f | %d |\n", name, n, \
		done, done / n, never, guessed, 1 - never / n, n - done - never
	if (late)
		printf "|  | | %d completed though too long | | | | | |\n", late
	for (text in causes)
		lines[++nlines] = sprintf("%s: %d %s", name, causes[text], text)
}

# Sorts order[low..high], the largest first.
function sort(low, high,	i, j, pivot, swap) {
	if (low >= high)
		return
	pivot = size[order[int((low + high) / 2)]]
	i = low
	j = high
	while (i <= j) {
		while (size[order[i]] > pivot)
			i++
		while (size[order[j]] < pivot)
			j--
		if (i <= j) {
			swap = order[i]
			order[i++] = order[j]
			order[j--] = swap
		}
	}
	sort(low, j)
	sort(i, high)
}

function print_queue(q,	id, n, nsized, nunsized, unsized, k, mean, i) {
	n = nsized = nunsized = nlines = 0
	k = nk[q] ? exp(log_k[q] / nk[q]) : 1
	mean = nk[q] ? log_work[q] / nk[q] : 0
	for (id in queue) {
		if (queue[id] != q)
			continue
		n++
		sized[id] = tasks[id] != ""
		if (!sized[id]) {
			unsized[++nunsized] = id
			continue
		}
		order[++nsized] = id
		work[id] = shown[id]
		if (!shown[id])
			work[id] = exp((log(estimate[id] * k) + mean) / 2)
		size[id] = tasks[id] * cpu[id] * work[id]
	}
	printf "\nqueue %s: %d of %d jobs with a size; run time is %.2f of the" \
		" estimate\n\n", q, nsized, n, k
	print "| jobs | n | completed | share | too long | of them by" \
		" estimate | share that could be | lost otherwise |"
	print "|---|---|---|---|---|---|---|---|"
	if (nsized >= SIZED_MIN * n) {
		sort(1, nsized)
		print_part("largest tenth", 1, int(nsized / 10))
		print_part("fifth below", int(nsized / 10) + 1,
			int(3 * nsized / 10))
	}
	for (i = 1; i <= nunsized; i++)
		order[nsized + i] = unsized[i]
	print_part("all", 1, n)
	print ""
	for (i = 1; i <= nlines; i++)
		print lines[i] | "sort -t: -k1,1 -k2,2nr"
	close("sort -t: -k1,1 -k2,2nr")
}

# Median of values from 0 to 10,000 that are counted.
function median(counts,	i, n, half) {
	for (i in counts)
		half += counts[i] / 2
	for (i = 0; i < 10000 && n < half; i++)
		n += counts[i]
	return i ? i - 1 : 0
}

END {
	overhead = median(beyond)
	printf "%d lines were left out, %d cut; beyond its run and its wait, a job" \
		" takes %.0f ms\n", left_out, cut, overhead
	for (id in queue)
		queues[queue[id]] = 1
	for (q in queues)
		print_queue(q)
}
