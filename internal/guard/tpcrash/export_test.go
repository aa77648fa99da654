package tpcrash

// Silences returns the number of silences that are kept.
func Silences(g *Guard) int {
	count := 0
	for _, p := range g.processes {
		count += len(p.silences)
	}
	if count != g.silenceCount {
		return -1
	}
	return count
}

// Ended returns the number of ended processes that are kept.
func Ended(g *Guard) int { return len(g.ended) }

// Entries returns the number of keys that are kept.
func Entries(g *Guard) int { return len(g.entries) }
