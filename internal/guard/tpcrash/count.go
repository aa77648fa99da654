package tpcrash

import (
	"slices"
	"time"
)

// maxSilentEnds is the number of silent ends of one target that count for a
// key: one faulty target alone quarantines nothing, because a key that has
// crashed a target is tried at another one.
const maxSilentEnds = 2

// maxEarlierEnds bounds the ends of the only target of a pool that excuse a key
// although they came before its first crash. Each of them allows one more crash.
const maxEarlierEnds = 3

// soleEnd is the unplanned end of a process that was the only one of its pool.
type soleEnd struct {
	process    string // as CrashID returns it
	pool       string
	endedAt    time.Time // as it appears in crash IDs
	recordedAt time.Time
}

// endGroup is a set of processes whose silent ends count together: those of one
// target, or all that were the only one of a pool.
type endGroup struct {
	sole bool
	name string // of the target or the pool
}

// countCrashes returns the number of unrelated crashes of a key. Each reset
// counts, but only one silent crash of each outage, unless it is separate, and of
// each endGroup no more than endLimits allows.
func (g *Guard) countCrashes(e *entry) int {
	count := 0
	var silent, counted []parsedID
	for _, id := range e.crashes {
		if parsed := parseCrashID(id); parsed.silent {
			silent = append(silent, parsed)
		} else {
			count++
		}
	}
	slices.SortStableFunc(silent, func(a, b parsedID) int { return a.ended.Compare(b.ended) })
	limits := g.endLimits(e, silent)
	for i := range silent {
		id := &silent[i]
		group := g.endGroup(id)
		related := !id.separate && slices.ContainsFunc(counted, func(other parsedID) bool { return id.sameOutage(&other) })
		if related || limits[group] == 0 {
			continue
		}
		limits[group]--
		counted = append(counted, *id)
	}
	return count + len(counted)
}

// endLimits returns how many of the silent crashes of a key count, by group. The
// only target of a pool cannot be avoided, so all its ends count, except as
// many as it has had without the key: such a target ends by itself. Silent is
// sorted by time.
func (g *Guard) endLimits(e *entry, silent []parsedID) map[endGroup]int {
	limits := make(map[endGroup]int)
	first, last := make(map[endGroup]time.Time), make(map[endGroup]time.Time)
	for i := range silent {
		group := g.endGroup(&silent[i])
		if _, known := first[group]; !known {
			first[group] = silent[i].ended
		}
		last[group] = silent[i].ended
		limits[group]++
	}
	for group, ends := range limits {
		if !group.sole {
			limits[group] = min(ends, maxSilentEnds)
			continue
		}
		earlier, since := 0, 0
		for _, end := range g.soleEnds {
			switch {
			case end.pool != group.name || indexProcess(e.crashes, end.process) >= 0 || !end.endedAt.Before(last[group]):
			case end.endedAt.Before(first[group]):
				earlier++
			default:
				since++
			}
		}
		limits[group] = min(ends, max(maxSilentEnds, ends-since-min(earlier, maxEarlierEnds)))
	}
	return limits
}

// endGroup returns the group of a silent crash.
func (g *Guard) endGroup(id *parsedID) endGroup {
	for _, end := range g.soleEnds {
		if end.process == id.process {
			return endGroup{sole: true, name: end.pool}
		}
	}
	// This node may have started after the end.
	if p := g.processes[id.target()]; p != nil && p.sole {
		return endGroup{sole: true, name: p.pool}
	}
	return endGroup{name: id.target()}
}

// recordSoleEnd keeps the end of a process that was the only one of its pool.
func (g *Guard) recordSoleEnd(p *process) {
	if !p.sole || p.leaving {
		return
	}
	g.soleEnds = append(g.soleEnds, soleEnd{
		process: CrashID(p.target, p.startedMs), pool: p.pool, endedAt: time.UnixMilli(p.endedMs), recordedAt: p.endedAt,
	})
	g.soleEnds = g.soleEnds[max(0, len(g.soleEnds)-maxEnded):]
}

// recount updates the keys whose count may depend on the registered targets.
func (g *Guard) recount(now time.Time) {
	for _, e := range g.entries {
		if len(e.crashes) >= MaxCrashes {
			g.update(now, e, Change{})
		}
	}
}
