package tpjournal_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// 1000 checks, because a scheme that treats any changed tail as its own
	// update passed the first 567.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// sim drives several holders that each act as the holder of the same shard.
// Their common store loses answers and delays writes. sim compares the answers
// with a model of the calls that ran.
type sim struct {
	t          *rapid.T
	now        time.Time
	store      tpobject.Memory
	holders    []tpjournal.Scheme
	commands   [][]tpjournal.Command // outstanding commands of each holder
	lateWrites []tpjournal.Command   // writes that were sent but not carried out yet
	out        []tpjournal.Output

	attempts int
	runs     map[string]int    // number of runs of each key in the model
	results  map[string]string // result of each key that ran
	answers  map[string]tpjournal.AnswerState
}

func newSim(t *rapid.T, holders []tpjournal.Scheme) *sim {
	return &sim{
		t: t, now: time.UnixMilli(1_800_000_000_000), holders: holders,
		commands: make([][]tpjournal.Command, len(holders)),
		runs:     make(map[string]int), results: make(map[string]string),
		answers: make(map[string]tpjournal.AnswerState),
	}
}

// keyAt returns key number n, with a time that lies age before the start.
func keyAt(n int, age time.Duration) string {
	ms := uint64(1_800_000_000_000 - age.Milliseconds())
	id := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80}
	id[15] = byte(n)
	return id.String()
}

func (s *sim) step(holder int, in tpjournal.Input) {
	s.out = s.holders[holder].Step(s.now, in, s.out[:0])
	for _, out := range s.out {
		if out.Command != nil {
			s.commands[holder] = append(s.commands[holder], *out.Command)
			continue
		}
		s.handleAnswer(holder, out.Op, out.Answer)
	}
}

// claim sends the claim of a new attempt for the key and returns the attempt.
func (s *sim) claim(holder int, key string) string {
	s.attempts++
	attempt := fmt.Sprintf("attempt-%d", s.attempts)
	s.step(holder, tpjournal.Input{Op: tpjournal.Op{Kind: tpjournal.OpClaim, Key: key, Attempt: attempt, Fingerprint: 1}})
	return attempt
}

// handleAnswer acts as an entry node. It runs or releases a committed claim,
// and checks each answer against the model.
func (s *sim) handleAnswer(holder int, op tpjournal.Op, a tpjournal.Answer) {
	if op.Kind == tpjournal.OpSettle {
		return
	}
	if earlier, ok := s.answers[op.Attempt]; ok {
		s.t.Fatalf("%s was answered twice: %s, %s", op.Attempt, earlier, a.State)
	}
	s.answers[op.Attempt] = a.State
	switch a.State {
	case tpjournal.AnswerCommitted:
		if rapid.IntRange(0, 3).Draw(s.t, "release") == 0 {
			s.settle(tpjournal.Op{Key: op.Key, Attempt: op.Attempt, NotRun: true})
			return
		}
		s.runs[op.Key]++
		if s.runs[op.Key] > 1 {
			s.t.Fatalf("key %s ran %d times", op.Key, s.runs[op.Key])
		}
		s.results[op.Key] = op.Attempt
		if rapid.IntRange(0, 3).Draw(s.t, "record") > 0 {
			s.settle(tpjournal.Op{Key: op.Key, Attempt: op.Attempt, Status: 200, Result: []byte(op.Attempt)})
		}
	case tpjournal.AnswerDone:
		if want := s.results[op.Key]; string(a.Result) != want || want == "" {
			s.t.Fatalf("result of %s: got %q, want %q", op.Key, a.Result, want)
		}
	case tpjournal.AnswerUndetermined, tpjournal.AnswerRefused, tpjournal.AnswerNotHolder:
		if a.State == tpjournal.AnswerUndetermined {
			s.settle(tpjournal.Op{Key: op.Key, Attempt: op.Attempt, NotRun: true})
		}
	case tpjournal.AnswerUnknown, tpjournal.AnswerExpired:
	default:
		s.t.Fatalf("answer %s to a claim of holder %d", a.State, holder)
	}
}

// settle sends the end of a call to an arbitrary holder, as a separate message.
func (s *sim) settle(op tpjournal.Op) {
	op.Kind = tpjournal.OpSettle
	holder := rapid.IntRange(0, len(s.holders)-1).Draw(s.t, "settleAt")
	// A nested step would overwrite the outputs that the outer step is reading.
	out := s.out
	s.out = nil
	s.step(holder, tpjournal.Input{Op: op})
	s.out = out
}

// Faults of a call to the platform.
const (
	platformOK = iota
	platformDown
	platformLosesAnswer
	platformIsLate // the call fails, but the write takes effect later
	platformFaults
)

// carryOut runs the oldest outstanding command of a holder, with the given
// fault.
func (s *sim) carryOut(holder, fault int) {
	if len(s.commands[holder]) == 0 {
		return
	}
	cmd := s.commands[holder][0]
	s.commands[holder] = s.commands[holder][1:]
	res := tpjournal.CommandResult{Command: cmd}
	switch {
	case cmd.Kind == tpjournal.CommandWait:
		if s.now.Before(cmd.Until) {
			s.now = cmd.Until
		}
	case fault == platformDown:
		res.Err = tpobject.ErrUnavailable
	case fault == platformIsLate && cmd.Kind == tpjournal.CommandPut:
		s.lateWrites = append(s.lateWrites, cmd)
		res.Err = tpobject.ErrOutcomeUnknown
	default:
		res = carryOut(s.t, &s.store, &cmd)
		if fault == platformLosesAnswer && cmd.Kind == tpjournal.CommandPut {
			res.Err = tpobject.ErrOutcomeUnknown
		}
	}
	s.step(holder, tpjournal.Input{Kind: tpjournal.InputResult, Result: res})
}

// carryOut runs a command other than a wait, without faults.
func carryOut(t interface{ Fatal(...any) }, store *tpobject.Memory, cmd *tpjournal.Command) tpjournal.CommandResult {
	ctx := context.Background()
	res := tpjournal.CommandResult{Command: *cmd}
	o, err := store.Get(ctx, cmd.Name)
	switch cmd.Kind {
	case tpjournal.CommandGet:
		if res.Version, res.Err = o.Version, err; err == nil {
			res.Err = json.Unmarshal(o.Value, &res.Record)
		}
	case tpjournal.CommandPut:
		value, err := json.Marshal(cmd.Record)
		if err != nil {
			t.Fatal(err)
		}
		res.Version, res.Err = store.Put(ctx, cmd.Name, value, cmd.Version)
	case tpjournal.CommandDelete:
		if res.Err = err; err == nil {
			res.Err = store.Delete(ctx, cmd.Name, o.Version)
		}
	}
	return res
}

// deliverLateWrite carries out the oldest late write.
func (s *sim) deliverLateWrite() {
	if len(s.lateWrites) == 0 {
		return
	}
	carryOut(s.t, &s.store, &s.lateWrites[0])
	s.lateWrites = s.lateWrites[1:]
}

// drain runs all commands without faults.
func (s *sim) drain() {
	for progress := true; progress; {
		progress = false
		for h := range s.holders {
			if len(s.commands[h]) > 0 {
				progress = true
				s.carryOut(h, platformOK)
			}
		}
	}
}

// newGrouped returns a shard with a small tail, so that it often writes
// archives.
func newGrouped(holder string) *tpjournal.GroupCommit {
	return tpjournal.NewGroupCommit(tpjournal.Settings{
		Region: "r", Holder: holder, TailEntries: 3, Interval: time.Millisecond, Retention: 2 * time.Minute,
	})
}

// checkScheme runs random operations and faults on three competing holders, and
// checks the answers. If retention is set, time passes, so that keys expire.
func checkScheme(t *testing.T, make func(holder string) tpjournal.Scheme, retention bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, []tpjournal.Scheme{make("a"), make("b"), make("c")})
		holder := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				n := rapid.IntRange(0, 11).Draw(t, "key")
				s.claim(holder.Draw(t, "holder"), keyAt(n, time.Duration(n)*5*time.Second))
			},
			"carryOut": func(t *rapid.T) {
				fault := rapid.IntRange(0, 2*platformFaults).Draw(t, "fault")
				if fault >= platformFaults {
					fault = platformOK
				}
				s.carryOut(holder.Draw(t, "holder"), fault)
			},
			"land":  func(*rapid.T) { s.deliverLateWrite() },
			"drain": func(*rapid.T) { s.drain() },
			"restart": func(t *rapid.T) {
				h := holder.Draw(t, "holder")
				s.holders[h] = make(fmt.Sprintf("%d-%d", h, s.attempts))
				s.commands[h] = nil
			},
			"wait": func(t *rapid.T) {
				if retention {
					s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "time"))
				}
			},
		})
		s.drain()
		lastClaim := s.claim(0, keyAt(200, -s.now.Sub(time.UnixMilli(1_800_000_000_000))))
		s.drain()
		if got := s.answers[lastClaim]; got != tpjournal.AnswerCommitted && got != tpjournal.AnswerNotHolder && got != tpjournal.AnswerRefused {
			t.Fatalf("claim after the faults: got %q", got)
		}
	})
}

// Guards against a key that runs twice, a repeat that gets the result of
// another run, and a claim that is answered twice or never. The holders
// compete, restart, lose answers, write late and drop old keys.
func TestGroupedRunsAKeyOnce(t *testing.T) {
	checkScheme(t, func(h string) tpjournal.Scheme { return newGrouped(h) }, true)
}

// Guards against a baseline scheme that runs a key twice or returns a wrong
// result, and so is no valid baseline.
func TestPerCallRunsAKeyOnce(t *testing.T) {
	checkScheme(t, func(h string) tpjournal.Scheme {
		return tpjournal.NewPerCall(tpjournal.Settings{Region: "r", Holder: h})
	}, false)
}

// Guards against schemes that answer differently although no fault occurs.
func TestGroupedAnswersAsPerCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newSim(t, []tpjournal.Scheme{newGrouped("a")})
		b := newSim(t, []tpjournal.Scheme{tpjournal.NewPerCall(tpjournal.Settings{Region: "r", Holder: "b"})})
		for range rapid.IntRange(1, 40).Draw(t, "operations") {
			key := keyAt(rapid.IntRange(0, 9).Draw(t, "key"), 0)
			op := tpjournal.Op{Key: key, Attempt: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "attempt"))}
			if rapid.Bool().Draw(t, "settle") {
				op.Kind = tpjournal.OpSettle
				op.NotRun = rapid.Bool().Draw(t, "notRun")
				op.Result = []byte(op.Attempt)
			}
			got, want := runSingle(a, op), runSingle(b, op)
			if op.Kind == tpjournal.OpClaim && got.State == tpjournal.AnswerUnknown && want.State == tpjournal.AnswerCommitted {
				continue // PerCall cannot distinguish a repeat of an attempt from a lost answer
			}
			if got.State != want.State || string(got.Result) != string(want.Result) {
				t.Fatalf("%+v: got %s %q, want %s %q", op, got.State, got.Result, want.State, want.Result)
			}
		}
	})
}

// runSingle carries out one operation alone and returns its answer.
func runSingle(s *sim, op tpjournal.Op) tpjournal.Answer {
	var answer tpjournal.Answer
	in := tpjournal.Input{Op: op}
	for {
		more := false
		for _, out := range s.holders[0].Step(s.now, in, nil) {
			if out.Command == nil {
				answer = out.Answer
				continue
			}
			res := tpjournal.CommandResult{Command: *out.Command}
			if out.Command.Kind == tpjournal.CommandWait {
				s.now = out.Command.Until
			} else {
				res = carryOut(s.t, &s.store, out.Command)
			}
			in, more = tpjournal.Input{Kind: tpjournal.InputResult, Result: res}, true
		}
		if !more {
			return answer
		}
	}
}

// Guards against a repeat that runs, or a record that is lost, after the keys
// were archived, the archives were deleted and the holder was replaced.
func TestExpiredKeysNeverRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, []tpjournal.Scheme{newGrouped("a")})
		for i := range 20 {
			s.claim(0, keyAt(i, 0))
			s.drain()
		}
		s.now = s.now.Add(3 * time.Minute)
		newClaim := s.claim(0, keyAt(100, -3*time.Minute))
		s.drain()
		s.claim(0, keyAt(101, -3*time.Minute))
		s.drain()
		s.holders[0] = newGrouped("b")
		for i := range 20 {
			attempt := s.claim(0, keyAt(i, 0))
			s.drain()
			if s.answers[attempt] != tpjournal.AnswerExpired {
				t.Fatalf("repeat of an expired key: got %s, want expired", s.answers[attempt])
			}
		}
		if s.answers[newClaim] != tpjournal.AnswerCommitted {
			t.Fatalf("new key: got %s, want committed", s.answers[newClaim])
		}
		list, err := s.store.List(context.Background(), tpjournal.ShardName("r", 0)+"/archive/")
		if err != nil && !errors.Is(err, tpobject.ErrNotFound) {
			t.Fatal(err)
		}
		if len(list) > 2 {
			t.Fatalf("remaining archives: got %d, want at most 2", len(list))
		}
	})
}

// Guards against new keys that count as expired because a holder's clock is
// ahead, at this holder or at the next one.
func TestClockAheadExpiresNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, []tpjournal.Scheme{newGrouped("a"), newGrouped("b")})
		start := s.now
		s.now = start.Add(time.Hour)
		first := s.claim(0, keyAt(0, 0))
		s.drain()
		s.now = start
		second := s.claim(1, keyAt(1, 0))
		s.drain()
		for _, attempt := range []string{first, second} {
			if got := s.answers[attempt]; got != tpjournal.AnswerCommitted {
				t.Fatalf("%s: got %s, want committed", attempt, got)
			}
		}
	})
}
