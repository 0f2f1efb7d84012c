# Reads journal entries and prints, for each site, the days that missed a figure
# of their gate or broke a rule. An entry has one member a line, and one day a
# line, whose members "name", "rules" and "short" come in this order.

# Returns the text between the first begin and the next end after it.
function between(text, begin, end,    at)
{
	at = index(text, begin)
	if (!at)
		return ""
	text = substr(text, at + length(begin))
	at = index(text, end)
	return at ? substr(text, 1, at - 1) : text
}

function read_day(line,    day, seed, figures, rules)
{
	day = between(line, "\"name\":\"", "\"")
	seed = between(line, "\"seed\":", ",")
	if (day !~ /--seed/ && seed != "null")
		day = day " --seed " seed
	figures = between(line, "\"short\":[", "]")
	rules = between(line, "\"rules\":{", "}")
	if (!(site in days))
		sites[nsites++] = site
	days[site]++
	missed[site] += figures != ""
	broken[site] += rules != ""
	if (figures != "")
		lines[site] = lines[site] "  " head " " day ": missed " \
			figures "\n"
	if (rules != "")
		lines[site] = lines[site] "  " head " " day ": broke " \
			rules "\n"
}

/^"head":"/ { head = substr(between($0, "\"head\":\"", "\""), 1, 7) }
/^"site":"/ { site = between($0, "\"site\":\"", "\"") }
/^("days":\[)?\{"G":/ { read_day($0) }

END {
	for (i = 0; i < nsites; i++) {
		site = sites[i]
		printf "%s: %d days, %d with a missed figure, ", site,
			days[site], missed[site]
		printf "%d with a broken rule\n%s", broken[site], lines[site]
	}
}
