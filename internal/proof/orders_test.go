package proof_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// orderNodeSettings shortens the lease times, so that a takeover of the lease
// takes about 1 s.
const orderNodeSettings = `leaseTerm: 900ms
leaseRenew: 300ms
leaseMargin: 300ms
drainGrace: 200ms
modelLoadInterval: 10ms
`

// orderReadTimeout is the time for which an engine waits for the body of an
// order. It is longer than a takeover, so that only the new holder's wait keeps
// the late body of the former holder's order from taking effect.
const orderReadTimeout = 3 * time.Second

// engineKind is one of the two kinds of engines that take orders: those that
// check fencing numbers, and those that discard an order after a read timeout.
type engineKind struct {
	name string
	args []string
	typ  tpmessage.EngineType
}

var engineKinds = []engineKind{
	{"checksFencing", []string{"--checks-fencing"}, tpmessage.EngineType{Name: "kind", ChecksFencing: true}},
	{
		"ignoresFencing",
		[]string{"--order-read-timeout", orderReadTimeout.String()},
		tpmessage.EngineType{Name: "kind", OrderReadTimeout: orderReadTimeout},
	},
}

// startOrderFleet starts a fleet whose engines are of one kind. The nodes run
// command, or the teaselpin program if command is empty.
func startOrderFleet(t *testing.T, kind engineKind, engines, nodes int, command ...string) *tpprocess.Fleet {
	t.Helper()
	args := []string{"--model", "counsel", "--model-version", "1", "--change-time", "200ms"}
	return tpprocess.StartFleet(t, tpprocess.FleetSettings{
		Engines: engines, Nodes: nodes,
		EngineArgs:   append(args, kind.args...),
		NodeSettings: orderNodeSettings,
		NodeCommand:  command,
		Configure: func(cfg *tpmessage.Config) {
			cfg.EngineTypes = []tpmessage.EngineType{kind.typ}
			cfg.Pools[0].EngineType = kind.typ.Name
		},
	})
}

// publishRole publishes a configuration that assigns the role to every engine.
// It retries until the platform accepts the configuration.
func publishRole(t *testing.T, f *tpprocess.Fleet, role tpmessage.Role) {
	t.Helper()
	f.Config.Pools[0].Roles = map[tpmessage.Role]int{role: len(f.Engines)}
	for {
		head, _, err := tprollout.ReadHead(t.Context(), f.Client)
		if err == nil {
			_, err = tprollout.Publish(t.Context(), f.Client, &f.Config, head.Generation, "test")
		}
		if err == nil {
			return
		}
		t.Logf("publish: %v", err)
		time.Sleep(50 * time.Millisecond)
	}
}

func getJSON(url string, into any) error {
	resp, err := http.Get("http://" + url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func putJSON(t *testing.T, url string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+url, strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: %s", url, resp.Status)
	}
}

func engineLog(t testing.TB, engine *tpprocess.Process) []tpenginefake.OrderEvent {
	t.Helper()
	var log []tpenginefake.OrderEvent
	if err := getJSON(engine.Addresses[0]+tpenginefake.PathOrderLog, &log); err != nil {
		t.Fatal(err)
	}
	return log
}

func waitRole(t *testing.T, engine *tpprocess.Process, role tpmessage.Role) {
	t.Helper()
	tpprocess.Eventually(t, engine.Name+" has role "+string(role), func() bool {
		var s tptarget.EngineStatus
		return getJSON(engine.Addresses[0]+tptarget.PathState, &s) == nil && s.State.Role == role && !s.Busy
	})
}

// waitEvents waits until an engine's order log holds at least n events of a
// kind.
func waitEvents(t testing.TB, engine *tpprocess.Process, kind string, n int) {
	t.Helper()
	tpprocess.Eventually(t, fmt.Sprintf("%d events %q at %s", n, kind, engine.Name), func() bool {
		found := 0
		for _, e := range engineLog(t, engine) {
			if e.Kind == kind {
				found++
			}
		}
		return found >= n
	})
}

// waitOrdersEnded waits until the engine has applied, refused or discarded
// every order whose header arrived.
func waitOrdersEnded(t *testing.T, engine *tpprocess.Process) {
	t.Helper()
	tpprocess.Eventually(t, "no order is pending at "+engine.Name, func() bool {
		pending := 0
		for _, e := range engineLog(t, engine) {
			switch e.Kind {
			case tpenginefake.OrderHeaderReceived:
				pending++
			case tpenginefake.OrderApplied, tpenginefake.OrderRepeat, tpenginefake.OrderFenced, tpenginefake.OrderDiscarded:
				pending--
			}
		}
		return pending == 0
	})
}

// waitHolder waits until a node other than former holds the lease, and returns
// that node's process. If former is nil, any holder will do.
func waitHolder(t testing.TB, f *tpprocess.Fleet, former *tpprocess.Process) *tpprocess.Process {
	t.Helper()
	var holder *tpprocess.Process
	tpprocess.Eventually(t, "the lease has a holder", func() bool {
		got, err := tplease.Read(t.Context(), f.Client, tplease.ObjectName("nord-ovest", "language"))
		if err != nil {
			return false
		}
		for _, n := range f.Nodes {
			if n.Name == got.Lease.Holder && n != former {
				holder = n
			}
		}
		return holder != nil
	})
	return holder
}

// verifyOrders fails the test if an engine received conflicting orders, as
// tphistory.CheckOrders defines them.
func verifyOrders(t *testing.T, f *tpprocess.Fleet) {
	t.Helper()
	for _, engine := range f.Engines {
		log := engineLog(t, engine)
		if err := tphistory.CheckOrders(log); err != nil {
			t.Errorf("%s: %v\n%+v", engine.Name, err, log)
		}
	}
}

// Guards against an order path that works only inside one process, and against
// repeated orders: engines of both kinds change to the configured role, once
// for each configuration. A planned stop of the holder must release the lease.
func TestOrdersFlow(t *testing.T) {
	for _, kind := range engineKinds {
		t.Run(kind.name, func(t *testing.T) {
			f := startOrderFleet(t, kind, 2, 1)
			for _, role := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
				publishRole(t, f, role)
				for _, e := range f.Engines {
					waitRole(t, e, role)
				}
			}
			verifyOrders(t, f)
			for _, e := range f.Engines {
				applied := 0
				for _, event := range engineLog(t, e) {
					if event.Kind == tpenginefake.OrderApplied {
						applied++
					}
				}
				if applied != 2 {
					t.Errorf("%s: got %d changes, want 2", e.Name, applied)
				}
			}
			if err := f.Nodes[0].Stop(t, tpprocess.StartTimeout); err != nil {
				t.Errorf("planned stop of the holder: got %v, want status 0", err)
			}
			got, err := tplease.Read(t.Context(), f.Client, tplease.ObjectName("nord-ovest", "language"))
			if err != nil || got.Lease.Holder != "" {
				t.Errorf("lease after a planned stop: got holder %q, %v, want none", got.Lease.Holder, err)
			}
		})
	}
}
