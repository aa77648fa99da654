package tpanswer_test

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/internal/request/stage6/tpanswer"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }

// assembler is the common interface of tpanswer.Assembler and naiveAssembler.
type assembler interface {
	Begin(overlap int) int
	Accept(c *tpmessage.Chunk, dst []tpmessage.Chunk) ([]tpmessage.Chunk, error)
	Ended() bool
}

// naiveAssembler retries without chunk numbers. It asks for the whole answer
// again and passes on every chunk.
type naiveAssembler struct{ ended bool }

func (n *naiveAssembler) Begin(int) int { return 0 }
func (n *naiveAssembler) Ended() bool   { return n.ended }
func (n *naiveAssembler) Accept(c *tpmessage.Chunk, dst []tpmessage.Chunk) ([]tpmessage.Chunk, error) {
	n.ended = n.ended || c.End
	return append(dst, *c), nil
}

// Faults of one sent chunk.
const (
	faultNone = iota
	faultDuplicate
	faultWrongRequest
	faultDelayed
	faultInterrupted
	faults
)

// scenario is an answer and the fault of each chunk in each attempt.
type scenario struct {
	chunks   int
	attempts [][]int
}

func scenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{chunks: rapid.IntRange(1, 30).Draw(t, "chunks")}
		fault := rapid.IntRange(0, faults-1)
		s.attempts = rapid.SliceOfN(rapid.SliceOfN(fault, s.chunks, s.chunks), 1, 6).Draw(t, "attempts")
		return s
	})
}

func chunk(id string, number, chunks int) tpmessage.Chunk {
	return tpmessage.Chunk{
		RequestID: id, Number: number, Text: fmt.Sprintf("%s/%d ", id, number), End: number == chunks-1,
	}
}

// sent returns the chunks of one attempt that begins at chunk number from.
func sent(s scenario, attempt []int, from int) []tpmessage.Chunk {
	var list []tpmessage.Chunk
	var delayed *tpmessage.Chunk
	for number := from; number < s.chunks; number++ {
		c := chunk("mine", number, s.chunks)
		switch attempt[number] {
		case faultInterrupted:
			return list
		case faultWrongRequest:
			list = append(list, chunk("other", number, s.chunks))
		case faultDuplicate:
			list = append(list, c)
		case faultDelayed:
			if delayed == nil {
				delayed = &c
				continue
			}
		}
		list = append(list, c)
		if delayed != nil {
			list = append(list, *delayed)
			delayed = nil
		}
	}
	if delayed != nil {
		list = append(list, *delayed)
	}
	return list
}

// deliver runs the scenario and a last attempt without faults. It returns the
// chunks that the caller receives.
func deliver(a assembler, s scenario) ([]tpmessage.Chunk, error) {
	var got []tpmessage.Chunk
	for _, attempt := range append(s.attempts, make([]int, s.chunks)) {
		for _, c := range sent(s, attempt, a.Begin(2)) {
			var err error
			if got, err = a.Accept(&c, got); err != nil {
				return got, err
			}
		}
		if a.Ended() {
			return got, nil
		}
	}
	return got, errors.New("the answer has no end")
}

// checkAnswer checks that the caller receives each chunk of its own answer once
// and in order.
func checkAnswer(s scenario, got []tpmessage.Chunk) error {
	if len(got) != s.chunks {
		return fmt.Errorf("got %d chunks, want %d", len(got), s.chunks)
	}
	for i, c := range got {
		if want := chunk("mine", i, s.chunks); c != want {
			return fmt.Errorf("chunk %d: got %+v, want %+v", i, c, want)
		}
	}
	return nil
}

// Guards against an answer with a missing, duplicate, foreign or reordered
// chunk after any number of interruptions.
func TestAnswerIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenarios().Draw(t, "scenario")
		got, err := deliver(tpanswer.New("mine", 0), s)
		if err == nil {
			err = checkAnswer(s, got)
		}
		if err != nil {
			t.Fatalf("%+v: %v", s, err)
		}
	})
}

// Guards against a check that does not detect a retry without chunk numbers.
func TestCheckCatchesNaiveRetry(t *testing.T) {
	detected := 0
	for seed := range 100 {
		s := scenarios().Example(seed)
		got, err := deliver(&naiveAssembler{}, s)
		if err != nil || checkAnswer(s, got) != nil {
			detected++
		}
	}
	if detected < 50 {
		t.Errorf("naive retry: caught in %d of 100 scenarios, want at least 50", detected)
	}
}

// Guards against an answer that combines different texts of two targets.
func TestDifferentRepeatDiverges(t *testing.T) {
	a := tpanswer.New("mine", 0)
	var got []tpmessage.Chunk
	for number := range 10 {
		c := chunk("mine", number, 20)
		got, _ = a.Accept(&c, got)
	}
	c := chunk("mine", a.Begin(tpanswer.OtherTargetOverlap), 20)
	c.Text = "different"
	if _, err := a.Accept(&c, got); !errors.Is(err, tpanswer.ErrDiverged) {
		t.Errorf("different repeat: got %v, want %v", err, tpanswer.ErrDiverged)
	}
}

// Guards against an unbounded number of held chunks while one is missing.
func TestHeldChunksAreBounded(t *testing.T) {
	a := tpanswer.New("mine", 0)
	var err error
	held := 0
	for number := 1; err == nil && number < 1000; number++ {
		c := chunk("mine", number, 2000)
		_, err = a.Accept(&c, nil)
		held++
	}
	if !errors.Is(err, tpanswer.ErrGap) || held != tpanswer.MaxHeldChunks+1 {
		t.Errorf("missing chunk: got %v after %d, want %v after %d", err, held, tpanswer.ErrGap, tpanswer.MaxHeldChunks+1)
	}
}
