package replica

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

const (
	soon       = 100 * time.Millisecond
	fetchLimit = 1500 * time.Millisecond
	staleLooks = 4

	foundingGap = 1000
	patience    = 2 * time.Second
)

// seekFormation joins the formation that other cores are in or, with all
// present and blank, founds the first one.
func (r *Replica) seekFormation(ctx context.Context, state paxos.State) {
	present := map[string]*wire.RecoverResponse{}
	var cores []string
	for _, process := range r.peers.Cores() {
		if process.Name != r.cfg.Self {
			cores = append(cores, process.Name)
			present[process.Name] = nil
		}
	}
	for core, resp := range r.probe(ctx, cores) {
		present[core] = resp
		if record, ok := state.Rejoin(resp); ok {
			r.join(ctx, record, fmt.Sprintf("joins the formation %s", resp.Formation))
			return
		}
		if r.cfg.Replaced != nil && resp.Ok && len(resp.Voters) > 0 && !slices.Contains(resp.Voters, r.cfg.Self) && state.Formation == "" {
			r.replaced("the formation " + resp.Formation + " has other cores")
			return
		}
	}
	if _, ok := state.Establish("", r.cfg.Voters, present, 0, nil); !ok {
		r.waits(ctx, events.FormationWaits, fmt.Sprintf("a first formation of %d blank cores; %d others are known", r.cfg.Voters, len(cores)))
		return
	}
	version, snapshot, missing := r.survivors(ctx)
	if missing != "" {
		r.waits(ctx, events.FormationWaits, missing)
		return
	}
	id := fmt.Sprintf("%s-%s", r.cfg.Self, r.formationID())
	record, ok := state.Establish(id, r.cfg.Voters, present, version, snapshot)
	if !ok || !r.join(ctx, record, "waits for the other cores to join") {
		return
	}
	joined := record.(paxos.Joined)
	r.events.Emit(events.FormationBegun, "formation", id, "voters", fmt.Sprint(joined.Voters), "epoch", version)
	invite := &wire.FoundRequest{Formation: id, Voters: joined.Voters, Founder: r.cfg.Self}
	gather(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.FoundResponse, error) {
		return call(ctx, r, core, invite, r.Found, wireconnect.PeerClient.Found)
	})
}

func (r *Replica) formationID() string {
	now := uint64(r.clock.Now().UnixNano())
	return hex.EncodeToString([]byte{byte(now >> 56), byte(now >> 48), byte(now >> 40), byte(now >> 32), byte(now >> 24), byte(now >> 16), byte(now >> 8), byte(now)})
}

// survivors finds the highest agreed state that any process still holds after
// the loss of every core's disk. An acknowledged version was confirmed by more
// than half of its roster, so more than half must answer and hold a state. The
// new formation leaves a gap of versions, so that none of the old one, which a
// process out of reach may hold though it never was acknowledged, is given out
// again with another content.
func (r *Replica) survivors(ctx context.Context) (version uint64, snapshot []byte, missing string) {
	var names []string
	for _, process := range r.peers.Processes() {
		if process.Front && process.Name != r.cfg.Self {
			names = append(names, process.Name)
		}
	}
	answers := gather(ctx, r, names, r.cfg.CallTimeout, 0, func(ctx context.Context, name string) (*wire.FetchResponse, error) {
		return call(ctx, r, name, &wire.FetchRequest{}, r.Fetch, wireconnect.PeerClient.Fetch)
	})
	var highest statemachine.State
	for _, resp := range answers {
		if len(resp.Snapshot) == 0 || resp.SnapshotEpoch <= highest.Version {
			continue
		}
		if state, err := statemachine.DecodeState(resp.Snapshot); err == nil && state.Version == resp.SnapshotEpoch {
			highest = state
		}
	}
	present := 0
	for name := range highest.Roster {
		if answer := answers[name]; answer != nil && answer.SnapshotEpoch > 0 {
			present++
		}
	}
	if count := len(highest.Roster); count > 0 && present <= count/2 {
		return 0, nil, fmt.Sprintf("all cores are blank, though epoch %d is still held: %d of the %d members of its roster must answer from memory", highest.Version, count/2+1, count)
	}
	if highest.Version == 0 {
		return 0, nil, ""
	}
	noop := statemachine.Encode(statemachine.Noop{})
	for range foundingGap {
		highest, _ = highest.Step(highest.Version+1, noop)
	}
	return highest.Version, highest.Encode(), ""
}

func (r *Replica) join(ctx context.Context, record paxos.Record, waiting string) bool {
	joined, err := ask(ctx, r, func(o *owner, reply func(bool, error)) {
		if o.state.Life() != 0 {
			reply(false, nil)
			return
		}
		o.waiting = waiting
		decided(o, []paxos.Record{record}, toVote, true, nil, reply)
	})
	return err == nil && joined
}

// waits keeps what the core waits for; when it takes long, it is logged.
func (r *Replica) waits(ctx context.Context, event events.Event, what string) {
	tell, err := ask(ctx, r, func(o *owner, reply func(bool, error)) {
		if o.waiting != what {
			o.waiting = what
			o.republish()
		}
		if o.waitingSince.IsZero() {
			o.waitingSince = r.clock.Now()
		}
		tell := o.told != what && r.clock.Now().Sub(o.waitingSince) >= patience
		if tell {
			o.told = what
		}
		reply(tell, nil)
	})
	if err == nil && tell {
		r.events.Emit(event, "core", r.cfg.Self, "waiting", what)
	}
}

// offerFirstSheet proposes the configured sheet to a formation that never had
// one; it tells whether the offer is settled, either way.
func (r *Replica) offerFirstSheet(ctx context.Context) bool {
	now, err := r.sheetNow(ctx)
	if err != nil {
		return false
	}
	if now.SheetVersion > 0 {
		return true
	}
	first, apiErr := sheet.ParseSheet(r.cfg.FirstSheet, r.cfg.SheetMax)
	if apiErr != nil {
		r.events.Emit(events.OrderRefused, "order", firstSheet, "code", apiErr.Code, "detail", apiErr.Detail)
		return true
	}
	order := statemachine.Order{OrderID: firstSheet, Operator: firstSheet, AtMS: r.clock.Now().UnixMilli()}
	bound, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, result, err := r.Propose(bound, statemachine.Encode(statemachine.PutSheet{Order: order, Sheet: first}))
	if err != nil {
		return false
	}
	r.events.Emit(events.FirstSheetOffered, "core", r.cfg.Self, "epoch", result.Version, "code", result.Code)
	return true
}

const firstSheet = "first-sheet"
