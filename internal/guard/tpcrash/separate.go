package tpcrash

import (
	"slices"
	"time"
)

// separateCrashes marks the silent crashes of a key that came together but are no
// outage, and reports whether there are any: several targets have ended, each of
// them had a request with the key, and no other target ended with them. Requests
// that crash targets may come in groups. Keys that were answered lately are
// popular, and every outage has requests with them.
func (g *Guard) separateCrashes(now time.Time, e *entry) bool {
	if len(e.crashes) < MaxCrashes || g.recentlyAnswered(e) {
		return false
	}
	changed := false
	for _, id := range e.crashes {
		first := parseCrashID(id)
		if !first.silent || first.separate {
			continue
		}
		group := crashesWith(now, e, &first)
		if len(group) == 0 || !g.explainsEnds(e, group) {
			continue
		}
		for i := range e.crashes {
			isMarked := slices.ContainsFunc(group, func(id parsedID) bool { return id.process == processOf(e.crashes[i]) })
			if isMarked && !parseCrashID(e.crashes[i]).separate {
				e.crashes[i] += separateMark
				changed = true
			}
		}
	}
	if changed {
		e.changedAt, e.announcedAt = now, now
	}
	return changed
}

// crashesWith returns the silent crashes of MaxCrashes targets or more whose
// requests were in progress together with that of the first, up to those that came
// with the last of the targets. It returns none until ownGrace after it, because
// the ends of one outage become known within that time.
func crashesWith(now time.Time, e *entry, first *parsedID) []parsedID {
	var group []parsedID
	for _, id := range e.crashes {
		if other := parseCrashID(id); other.silent && other.overlaps(first) {
			group = append(group, other)
		}
	}
	slices.SortStableFunc(group, func(a, b parsedID) int { return a.ended.Compare(b.ended) })
	targets := make(map[string]bool)
	for i := range group {
		targets[group[i].target()] = true
		if len(targets) < MaxCrashes {
			continue
		}
		last := group[i]
		if now.Sub(last.ended) < ownGrace {
			return nil
		}
		return slices.DeleteFunc(group, func(id parsedID) bool { return id.ended.After(last.ended) && !id.sameOutage(&last) })
	}
	return nil
}

// explainsEnds reports whether all processes of a pool that may have ended with
// those of some crashes of a key were at a request with the key.
func (g *Guard) explainsEnds(e *entry, crashes []parsedID) bool {
	if len(crashes) >= maxCrashIDs/2 {
		return true // no more are kept of one outage
	}
	from, to, pool := crashes[0].sentAt, crashes[0].ended, ""
	for i := range crashes {
		id := &crashes[i]
		p := slices.IndexFunc(g.ended, func(p *process) bool { return CrashID(p.target, p.startedMs) == id.process })
		if p < 0 || pool != "" && g.ended[p].pool != pool {
			return false // this node cannot tell
		}
		pool = g.ended[p].pool
		if id.sentAt.Before(from) {
			from = id.sentAt
		}
		if id.ended.After(to) {
			to = id.ended
		}
	}
	return !slices.ContainsFunc(g.ended, func(p *process) bool {
		isOther := p.pool == pool && !p.leaving && indexProcess(e.crashes, CrashID(p.target, p.startedMs)) < 0
		return isOther && !time.UnixMilli(p.endedMs).Before(from) && !p.answeredAt.After(to)
	})
}
