//go:build review3

package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

const (
	// stableWindow is stable_window_ms of the small deployments.
	stableWindow = 3 * time.Second
	// crashCount is the number of crashes from which the rule BUDGET counts, and
	// crashRequests the number of requests that may still reach servers.
	crashCount, crashRequests = 5, 3
	// crashedTime is the time after which a crashed server is back. It is
	// shorter than two heartbeats of 1.2 s, so that its entry never lapses.
	crashedTime = 2 * time.Second
	poisonPart  = "dead"
)

func init() {
	cases["poison-burst"] = func(f *fleet) error { return playPoisonBurst(f, false) }
	cases["poison-burst-dark"] = func(f *fleet) error { return playPoisonBurst(f, true) }
}

// quietTB lets the stand-ins of the tests run in a program.
type quietTB struct{ testing.TB }

func (quietTB) Helper()                           {}
func (quietTB) Cleanup(func())                    {}
func (quietTB) Fatal(args ...any)                 { panic(fmt.Sprint(args...)) }
func (quietTB) Errorf(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// engine is a model server that starts again after a crash.
type engine struct {
	*tpguestfake.Server
	address string
}

// addEngine starts an engine that crashes at poisonPart: its machine goes dark, or
// else it cuts its stream off in the middle of the second event.
func (f *fleet) addEngine(i int, stage, zone string, dark bool) *engine {
	e := &engine{
		Server: &tpguestfake.Server{
			ID: fmt.Sprintf("llm-%d", i), Stage: stage, EventsPerStream: 8, EventInterval: 20 * time.Millisecond, RefuseOrders: true,
		},
		address: f.address(),
	}
	if f.trouble {
		e.CrashPart, e.CrashDark, e.CrashInAnswer = poisonPart, dark, !dark
	}
	register := func(born int64) {
		f.store.Set("servers", e.ID, map[string]any{
			"service": "llm", "address": e.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "sequence": 1, "born": born, "stage": stage,
		})
		f.note("%s registers with born %d", e.ID, born)
	}
	tpguestfake.ListenRestarting(quietTB{}, e.Server, e.address, crashedTime, register)
	register(f.started.UnixMilli())
	return e
}

// playPoisonBurst has six callers send a request with a part that crashes
// servers at the same moment, and again every five seconds.
func playPoisonBurst(f *fleet, dark bool) error {
	services := []any{map[string]any{"name": "llm", "engine": map[string]any{"slots": 64, "kv_capacity": 491555, "role_switch_s": 3, "stride": 1}}}
	f.configure(1, services, route("draft", "stream", "llm", 3000, 600, 1))
	var engines []*engine
	for i := range 18 {
		stage := "decode"
		if i%3 == 0 {
			stage = "prefill"
		}
		engines = append(engines, f.addEngine(i, stage, fmt.Sprint("z", i%9/3), dark))
	}
	f.extra = "prefillPart: 0.33\n"
	if err := f.addNodes(6, "z0", "z1", "z2"); err != nil {
		return err
	}
	sound := f.startLoad("draft", http.MethodPost, 3*time.Second, 10, 1)
	sound.header = func(r *http.Request) {
		id := r.Header.Get("X-Teaselpin-Request-Id")
		r.Header.Set("X-Teaselpin-Model", "m")
		r.Header.Set("X-Teaselpin-Token-Counts", "5000,80")
		r.Header.Set("X-Teaselpin-Prefix-Hash", fmt.Sprintf("a1:3000,b%x:1000,%x:1000", len(id)%4, time.Now().UnixNano()))
	}
	time.Sleep(6 * time.Second)
	var all sync.WaitGroup
	poison := &load{f: f, route: "draft", method: http.MethodPost, client: sound.client}
	for burst := range 4 {
		f.note("burst %d of requests with the part %s", burst, poisonPart)
		for i := range f.nodes {
			all.Go(func() {
				p := &load{f: f, route: "draft", method: http.MethodPost, client: poison.client}
				p.header = func(r *http.Request) {
					r.Header.Set("X-Teaselpin-Model", "m")
					r.Header.Set("X-Teaselpin-Token-Counts", "5000,80")
					r.Header.Set("X-Teaselpin-Prefix-Hash", fmt.Sprintf("a1:3000,%s:1000,%x:1000", poisonPart, burst*100+i+1))
				}
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
				p.send(i, fmt.Sprintf("n%d-poison-%d", i, burst), 3*time.Second)
			})
		}
		time.Sleep(5 * time.Second)
	}
	all.Wait()
	sound.stop()
	checkPoison(f, engines)
	return nil
}

// checkPoison checks the rule BUDGET for a part that crashes servers.
func checkPoison(f *fleet, engines []*engine) {
	var crashes []time.Time
	type reached struct {
		at         time.Time
		id, engine string
		step       string
	}
	var arrivals []reached
	for _, e := range engines {
		for _, at := range e.Crashes() {
			crashes = append(crashes, at)
			f.noteAt(at, "%s crashes", e.ID)
		}
		for _, a := range e.Arrivals() {
			step := cmp.Or(a.Header.Get("X-Teaselpin-Stage"), "run")
			f.noteAt(a.At, "%s gets %s of %s", e.ID, step, a.ID)
			if strings.Contains(a.Header.Get("X-Teaselpin-Prefix-Hash"), poisonPart+":") {
				arrivals = append(arrivals, reached{a.At, a.ID, e.ID, step})
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	f.note("%d crashes", len(crashes))
	if len(crashes) < crashCount {
		return
	}
	from := crashes[crashCount-1].Add(stableWindow)
	late := make(map[string]int)
	count := 0
	for _, a := range arrivals {
		if a.at.After(from) {
			late[a.id]++
			count++
		}
	}
	f.note("later than %.3f: %d requests with the part in %d arrivals", from.Sub(f.started).Seconds(), len(late), count)
	if len(late) > crashRequests {
		f.fail("BUDGET: %d requests with the part reached servers in %d arrivals later than %v after the fifth crash, %d are allowed; %d crashes in all",
			len(late), count, stableWindow, crashRequests, len(crashes))
	}
}
