package tpcrash

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// outageSpan is the time within which the ends of several processes count
	// as one outage.
	outageSpan = 300 * time.Millisecond
	// silentMark separates the times in the ID of a crash that is known from the
	// end of its process alone. An ID that ends with begunMark is that of a crash
	// in the middle of an answer, and one that ends with separateMark that of a
	// crash that counts although others came at the same time.
	silentMark   = "~"
	begunMark    = "b"
	separateMark = "s"
)

// CrashID identifies a crash by the target and the start of its process in Unix
// milliseconds. All exchanges that one crash cuts have the same ID, at every
// node.
func CrashID(target string, startedMs int64) string {
	return target + "@" + strconv.FormatInt(startedMs, 10)
}

// silentCrashID returns the ID of a crash that is known from the end of its
// process. It adds the time at which the request was sent and the end of the
// process to the CrashID, both in Unix milliseconds.
func silentCrashID(p *process, s *silence) string {
	id := strings.Join([]string{
		CrashID(p.target, p.startedMs), strconv.FormatInt(s.sentAt.UnixMilli(), 10), strconv.FormatInt(p.endedMs, 10),
	}, silentMark)
	if s.begun {
		id += begunMark
	}
	return id
}

// parsedID holds the fields of a crash ID.
type parsedID struct {
	process       string // as CrashID returns it
	silent        bool
	begun         bool      // in the middle of an answer; only if silent
	separate      bool      // does not belong to an outage; only if silent
	sentAt, ended time.Time // if silent
}

// parseCrashID returns the fields of an ID. Times that cannot be read make it
// the ID of a reset.
func parseCrashID(id string) parsedID {
	process, sentMs, endedMs := splitCrashID(id)
	endedMs, separate := strings.CutSuffix(endedMs, separateMark)
	endedMs, begun := strings.CutSuffix(endedMs, begunMark)
	sent, sentErr := strconv.ParseInt(sentMs, 10, 64)
	ended, endErr := strconv.ParseInt(endedMs, 10, 64)
	if sentErr != nil || endErr != nil {
		return parsedID{process: process}
	}
	return parsedID{process: process, silent: true, begun: begun, separate: separate, sentAt: time.UnixMilli(sent), ended: time.UnixMilli(ended)}
}

func splitCrashID(id string) (process, sentMs, endedMs string) {
	end := strings.LastIndex(id, silentMark)
	if end < 0 {
		return id, "", ""
	}
	sent := strings.LastIndex(id[:end], silentMark)
	if sent < 0 {
		return id, "", ""
	}
	return id[:sent], id[sent+len(silentMark) : end], id[end+len(silentMark):]
}

func processOf(id string) string {
	process, _, _ := splitCrashID(id)
	return process
}

func isSilent(id string) bool { return parseCrashID(id).silent }

func isBegun(id string) bool { return parseCrashID(id).begun }

func (id *parsedID) target() string {
	return id.process[:max(0, strings.LastIndexByte(id.process, '@'))]
}

// sameOutage reports whether one event may have ended both processes.
func (id *parsedID) sameOutage(other *parsedID) bool {
	return id.ended.Sub(other.ended).Abs() < outageSpan
}

// overlaps reports whether two requests whose targets ended without an answer
// were in progress at the same time.
func (id *parsedID) overlaps(other *parsedID) bool {
	return !id.sentAt.After(other.ended) && !other.sentAt.After(id.ended)
}

// indexProcess returns the index of the crash of the same process, or -1.
func indexProcess(ids []string, id string) int {
	process := processOf(id)
	return slices.IndexFunc(ids, func(other string) bool {
		return strings.HasPrefix(other, process) && processOf(other) == process
	})
}
