package tpcrash

import (
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a quarantine that ends with the processes that know it, and against one that outlasts its time or its release.
func TestRecordsCarryAQuarantineToAnotherGuard(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	req := &tpmessage.RelayRequest{Method: "POST", Host: "one.example", URI: "/swap/x", Body: []byte("deadly")}
	var first Guard
	for _, id := range []string{"a@1", "b@1", "c@1"} {
		first.RecordCrash(now, req, id)
	}
	changes := first.TakeChanges()
	if len(changes) != 1 || !changes[0].Quarantined {
		t.Fatalf("changes: got %+v, want a quarantine", changes)
	}
	records, changed := Amend(nil, now, changes[0])
	if !changed || len(records) != 1 {
		t.Fatalf("records: got %+v, changed %v", records, changed)
	}
	if _, changed := Amend(records, now.Add(time.Second), changes[0]); changed {
		t.Error("the same quarantine is recorded again")
	}
	refuses := func(records []Record, at time.Time) bool {
		var second Guard
		second.Merge(at, Suspects(records, at))
		_, refused := second.Check(at, req)
		return refused
	}
	if !refuses(records, now.Add(time.Minute)) {
		t.Error("a guard with the records lets the request pass")
	}
	if refuses(records, now.Add(QuarantineTime)) {
		t.Error("the records hold after the time of a quarantine")
	}
	unreadable := slices.Concat([]Record{{Key: "oops", Crashes: []string{"x@1"}, At: now.UnixMilli()}}, records)
	if !refuses(unreadable, now) {
		t.Error("an unreadable record hides another one")
	}
	released, changed := Amend(records, now, Change{Key: changes[0].Key})
	if !changed || refuses(released, now) {
		t.Errorf("records after the release: got %+v, changed %v", released, changed)
	}
	for i := range uint64(2 * MaxReported) {
		records, _ = Amend(records, now, Change{Key: i, Quarantined: true, Crashes: []string{"x@1"}})
	}
	if got, want := len(records), MaxReported; got != want {
		t.Errorf("records of %d quarantines: got %d, want %d", 2*MaxReported, got, want)
	}
}

// Guards against an innocent part that no request may try after all nodes were killed.
func TestRecordedQuarantineOfAnAnsweredPartLetsTrialsPass(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	req := &tpmessage.RelayRequest{Method: "POST", Host: "one.example", URI: "/swap/x", Body: []byte("innocent")}
	var first, second Guard
	first.RecordAnswer(now, req)
	for _, id := range []string{"a@1", "b@1", "c@1"} {
		first.RecordCrash(now, req, id)
	}
	records, _ := Amend(nil, now, first.TakeChanges()[0])
	second.Merge(now, Suspects(records, now))
	if _, refused := second.Check(now, req); !refused {
		t.Error("a request passes at the begin of the quarantine")
	}
	if _, refused := second.Check(now.Add(trialInterval), req); refused {
		t.Error("no request passes as a trial")
	}
}

// Guards against stored quarantines that stay lost, or come back after their release, when the platform goes back to an
// older copy, and against a copy that prolongs them.
func TestLastChangesRestoreTheRecords(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	deadly := &tpmessage.RelayRequest{Method: "POST", Host: "one.example", URI: "/swap/x", Body: []byte("deadly")}
	innocent := &tpmessage.RelayRequest{Method: "POST", Host: "one.example", URI: "/swap/x", Body: []byte("innocent")}
	var guard Guard
	for _, id := range []string{"a@1", "b@1", "c@1"} {
		guard.RecordCrash(now, deadly, id)
		guard.RecordCrash(now, innocent, id)
	}
	var copied, want []Record
	for _, c := range guard.TakeChanges() {
		copied, _ = Amend(copied, now, c)
	}
	guard.RecordAnswer(now.Add(time.Second), innocent)
	want = copied
	for _, c := range guard.TakeChanges() {
		want, _ = Amend(want, now, c)
	}
	if len(copied) != 2 || len(want) != 1 {
		t.Fatalf("records: got %+v, then %+v, want two, then one", copied, want)
	}
	later := now.Add(time.Minute)
	for name, records := range map[string][]Record{"lost": nil, "released later": copied} {
		for _, c := range guard.LastChanges() {
			records, _ = Amend(records, later, c)
		}
		if len(records) != 1 || records[0].Key != want[0].Key || records[0].At != want[0].At {
			t.Errorf("%s: got %+v, want %+v", name, records, want)
		}
	}
	guard.Expire(now.Add(QuarantineTime))
	for _, c := range guard.LastChanges() {
		if c.Quarantined || Name(c.Key) == want[0].Key {
			t.Errorf("a quarantine that has ended by time is stored again: %+v", c)
		}
	}
}
