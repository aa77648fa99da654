package tpnode

import (
	"context"
	"expvar"
	"net/http"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// journalPipeline holds the rings and decisions of the journal:
//
//	router -> journal ring -> journal filter -> sending ring
//	journal filter -> claim tasks -> holder (here or at a peer) -> journal ring
//	stream tasks -> settle tasks -> holder
//
// The journal ring has room for one call and one answer of each request in
// flight, so neither the router nor a claim task ever blocks on it.
type journalPipeline struct {
	in      *tpring.Ring[tpjournal.ClaimerInput]
	claimer *tpjournal.Claimer
	client  *tpjournal.Client
	server  *tpjournal.Server[*tpjournal.GroupCommit]
	drained chan struct{} // closed when the filter is draining and no claim is pending
}

// startJournal starts the holder filter and the client that calls the holders
// of the journal's shards. A node without a platform has no journal and refuses
// non-idempotent calls.
func (n *Node) startJournal() error {
	if n.cfg.Platform == "" {
		return nil
	}
	store, closeStore := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeStore)
	querier := tptarget.NewCallQuerier(n.poolInForce)
	incarnation := n.cfg.Name + "/" + uuid.NewString()
	holder := tpjournal.NewHolder(func(shard int) *tpjournal.GroupCommit {
		return tpjournal.NewGroupCommit(tpjournal.Settings{Region: n.cfg.Region, Shard: shard, Holder: incarnation})
	})
	server, stopServer, err := tpjournal.NewServer(
		tpjournal.ServerSettings{Store: store, Clock: n.clock, CallQuerier: querier}, holder, n.duties, &n.rings)
	if err != nil {
		return err
	}
	n.onStop(stopServer)
	peers, closePeers := tppeer.NewJournalClient(n.events)
	n.onStop(closePeers)
	j := &journalPipeline{
		in:      tpring.New[tpjournal.ClaimerInput](tpring.Settings{Capacity: 2*n.cfg.Window + 1}),
		claimer: tpjournal.NewClaimer(),
		server:  server,
		drained: make(chan struct{}),
	}
	n.rings.Add("journal", j.in)
	client, stopClient := tpjournal.NewClient(tpjournal.ClientSettings{
		Clock: n.clock, Directory: n, Peers: peers, Local: n.doLocally, OnAnswer: j.handleAnswer, Window: n.cfg.Window,
	})
	n.onStop(stopClient)
	j.client = client
	n.journal = j
	return nil
}

// startJournalFilter starts the journal filter. Its clean-up waits until no
// claim is pending.
func (n *Node) startJournalFilter() error {
	if n.journal == nil {
		return nil
	}
	if err := startFilter(n, "journal", n.journal.in, n.handleJournal); err != nil {
		return err
	}
	n.onStop(func() {
		_ = n.journal.in.Put(tpjournal.ClaimerInput{Kind: tpjournal.ClaimerDrain})
		<-n.journal.drained
	})
	return nil
}

// claim passes a non-idempotent call from the router to the journal.
func (n *Node) claim(a tpmessage.Assignment) {
	if n.journal == nil {
		n.endUnsent(&a.Work, a.Targets[0].Name, tpmessage.Chunk{Refusal: &tpmessage.Refusal{
			Code: tpmessage.RefusalNotRun, Reason: "this node has no platform to record the call", NotRun: true,
		}})
		return
	}
	a.Work.Attempt = uuid.NewString()
	_ = n.journal.in.Put(tpjournal.ClaimerInput{Kind: tpjournal.ClaimerWork, Assignment: a})
}

func (j *journalPipeline) handleAnswer(attempt string, a tpjournal.Answer) {
	_ = j.in.Put(tpjournal.ClaimerInput{Kind: tpjournal.ClaimerAnswer, Attempt: attempt, Answer: a})
}

func (n *Node) handleJournal(in tpjournal.ClaimerInput) {
	j := n.journal
	out := j.claimer.Step(n.clock.Now(), in)
	n.recordClaim(in, out)
	if out.Claim != nil {
		j.client.Claim(out.Claim.Work)
	}
	if out.Send != nil {
		_ = n.request.sendIn.Put(*out.Send)
	}
	if out.Ended != nil {
		if out.Release {
			j.client.Settle(tpjournal.ReleaseOf(out.Ended))
		}
		n.endUnsent(out.Ended, out.Target, out.Last)
	}
	if out.Drained {
		close(j.drained)
	}
}

// recordClaim records the answer to a claim as an event.
func (n *Node) recordClaim(in tpjournal.ClaimerInput, out tpjournal.ClaimerOutput) {
	w := out.Ended
	if out.Send != nil {
		w = &out.Send.Work
	}
	if w == nil {
		return
	}
	n.events.Record(tpmessage.Event{
		Kind: "claim", Request: w.Request.ID, Organisation: w.Request.Organisation, Detail: string(in.Answer.State),
	})
}

// settle records the end of a non-idempotent call in the journal. sent reports
// whether the call was passed to a target.
func (n *Node) settle(w tpmessage.Work, _ tpmessage.Outcome, sent bool, last *tpmessage.Chunk) {
	if op, ok := tpjournal.SettlementOf(&w, sent, last); ok {
		n.journal.client.Settle(op)
	}
}

// endUnsent ends work that the router assigned to a target but that is not
// sent.
func (n *Node) endUnsent(w *tpmessage.Work, target string, last tpmessage.Chunk) {
	if last.Refusal != nil {
		n.refuse(w, last.Refusal)
	} else {
		// The chunk ring of unsent work is empty, so it has room.
		_ = w.Chunks.TryPut(last)
		w.Chunks.Close()
	}
	n.handleCompletion(tpmessage.Completion{
		RequestID: w.Request.ID, Organisation: w.Request.Organisation, Target: target,
		Final: true, Outcome: tpmessage.OutcomeNotSent, At: n.clock.Now(),
	})
}

// HolderOf implements tpjournal.Directory. The holder is the live member that
// rendezvous hashing selects, or this node if every member is leaving. HolderOf
// returns its address, or true if this node is the holder.
func (n *Node) HolderOf(shard int) (string, bool) {
	ranked := tpmember.Rank(tpjournal.ShardName(n.cfg.Region, shard), n.Members())
	if len(ranked) == 0 || ranked[0].Name == n.cfg.Name {
		return "", true
	}
	return ranked[0].Address, false
}

// doLocally runs an operation in this node's own holder filter.
func (n *Node) doLocally(ctx context.Context, op tpjournal.Op) tpjournal.Answer {
	pool, ok := n.poolInForce(op.Pool)
	op.Queryable = ok && pool.ReportsKeyOutcome
	return n.journal.server.Do(ctx, op)
}

func (n *Node) poolInForce(name string) (tpmessage.Pool, bool) {
	s := n.InForce()
	if s == nil {
		return tpmessage.Pool{}, false
	}
	return s.Config.PoolByName(name)
}

func (j *journalPipeline) vars() expvar.Var {
	return expvar.Func(func() any {
		if j == nil {
			return nil
		}
		return map[string]uint64{"unsettled": j.client.Unsettled.Load()}
	})
}

// handleJournalPeers registers the handler of claims and settlements from
// peers.
func (n *Node) handleJournalPeers(mux *http.ServeMux) {
	if n.journal == nil {
		return
	}
	path, h := tppeer.NewJournalHandler(&tppeer.JournalServer{
		IsHolder: func(shard int) bool {
			_, self := n.HolderOf(shard)
			return self
		},
		Do:     n.doLocally,
		Events: n.events,
	})
	mux.Handle("POST "+path, h)
}
