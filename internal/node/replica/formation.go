package replica

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

const (
	formationInterval = 100 * time.Millisecond
	fetchTimeout      = 1500 * time.Millisecond
	stalledPolls      = 4

	foundingSlotGap = 1000
	waitLogDelay    = 2 * time.Second
)

// joinOrFoundFormation joins the formation that other cores are in or, with all
// present and blank, founds the first one.
func (r *Replica) joinOrFoundFormation(ctx context.Context, state paxos.State) {
	present := map[string]*wire.RecoverResponse{}
	var cores []string
	for _, process := range r.peers.Cores() {
		if process.Name != r.cfg.Self {
			cores = append(cores, process.Name)
			present[process.Name] = nil
		}
	}
	for core, resp := range r.probeCores(ctx, cores) {
		present[core] = resp
		if record, ok := state.JoinProbed(resp); ok {
			r.commitUnlessVoting(ctx, record, fmt.Sprintf("joins the formation %s", resp.Formation))
			return
		}
		if r.cfg.OnReplaced != nil && resp.Ok && len(resp.Voters) > 0 && !slices.Contains(resp.Voters, r.cfg.Self) && state.Formation == "" {
			r.reportReplaced("the formation " + resp.Formation + " has other cores")
			return
		}
	}
	if _, ok := state.FoundFormation("", r.cfg.Voters, present, 0, nil); !ok {
		r.reportWaiting(ctx, events.FormationWaits, fmt.Sprintf("a first formation of %d blank cores; %d others are known", r.cfg.Voters, len(cores)))
		return
	}
	version, snapshot, missing := r.survivingState(ctx)
	if missing != "" {
		r.reportWaiting(ctx, events.FormationWaits, missing)
		return
	}
	id := fmt.Sprintf("%s-%s", r.cfg.Self, r.formationID())
	record, ok := state.FoundFormation(id, r.cfg.Voters, present, version, snapshot)
	if !ok || !r.commitUnlessVoting(ctx, record, "waits for the other cores to join") {
		return
	}
	joined := record.(paxos.FormationJoined)
	r.events.Emit(events.FormationBegun, "formation", id, "voters", fmt.Sprint(joined.Voters), "epoch", version)
	invite := &wire.FoundRequest{Formation: id, Voters: joined.Voters, Founder: r.cfg.Self}
	callAll(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.FoundResponse, error) {
		return callVoter(ctx, r, core, invite, r.Found, wireconnect.PeerClient.Found)
	})
}

func (r *Replica) formationID() string {
	now := uint64(r.clock.Now().UnixNano())
	return hex.EncodeToString([]byte{byte(now >> 56), byte(now >> 48), byte(now >> 40), byte(now >> 32), byte(now >> 24), byte(now >> 16), byte(now >> 8), byte(now)})
}

// survivingState finds the highest agreed state that any process still holds after
// the loss of every core's disk. An acknowledged version was confirmed by more
// than half of its roster, so more than half must answer and hold a state. The
// new formation leaves a gap of versions, so that none of the old one, which a
// process out of reach may hold though it never was acknowledged, is given out
// again with another content.
func (r *Replica) survivingState(ctx context.Context) (version uint64, snapshot []byte, missing string) {
	var names []string
	for _, process := range r.peers.Processes() {
		if process.Front && process.Name != r.cfg.Self {
			names = append(names, process.Name)
		}
	}
	answers := callAll(ctx, r, names, r.cfg.CallTimeout, 0, func(ctx context.Context, name string) (*wire.FetchResponse, error) {
		return callVoter(ctx, r, name, &wire.FetchRequest{}, r.Fetch, wireconnect.PeerClient.Fetch)
	})
	var highest sheet.State
	for _, resp := range answers {
		if len(resp.Snapshot) == 0 || resp.SnapshotEpoch <= highest.Version {
			continue
		}
		if state, err := sheet.DecodeState(resp.Snapshot); err == nil && state.Version == resp.SnapshotEpoch {
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
	noop := sheet.Encode(sheet.Noop{})
	for range foundingSlotGap {
		highest, _ = highest.Step(highest.Version+1, noop)
	}
	return highest.Version, highest.Encode(), ""
}

func (r *Replica) commitUnlessVoting(ctx context.Context, record paxos.Record, waiting string) bool {
	joined, err := callOwner(ctx, r, func(o *owner, reply func(bool, error)) {
		if o.state.Incarnation() != 0 {
			reply(false, nil)
			return
		}
		o.waiting = waiting
		commitAndReply(o, []paxos.Record{record}, forVote, true, nil, reply)
	})
	return err == nil && joined
}

// reportWaiting keeps what the core waits for; when it takes long, it is logged.
func (r *Replica) reportWaiting(ctx context.Context, event events.Event, what string) {
	tell, err := callOwner(ctx, r, func(o *owner, reply func(bool, error)) {
		if o.waiting != what {
			o.waiting = what
			o.publishStanding()
		}
		if o.waitingSince.IsZero() {
			o.waitingSince = r.clock.Now()
		}
		tell := o.told != what && r.clock.Now().Sub(o.waitingSince) >= waitLogDelay
		if tell {
			o.told = what
		}
		reply(tell, nil)
	})
	if err == nil && tell {
		r.events.Emit(event, "core", r.cfg.Self, "waiting", what)
	}
}

// proposeFirstSheet proposes the configured sheet to a formation that never had
// one; it tells whether the offer is settled, either way.
func (r *Replica) proposeFirstSheet(ctx context.Context) bool {
	now, err := r.currentSheet(ctx)
	if err != nil {
		return false
	}
	if now.SheetVersion > 0 {
		return true
	}
	first, apiErr := sheet.ParseSheet(r.cfg.FirstSheet, r.cfg.MaxSheetBytes)
	if apiErr != nil {
		r.events.Emit(events.OrderRefused, "order", firstSheet, "code", apiErr.Code, "detail", apiErr.Detail)
		return true
	}
	order := sheet.Order{OrderID: firstSheet, Operator: firstSheet, AtMS: r.clock.Now().UnixMilli()}
	bound, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, result, err := r.Propose(bound, sheet.Encode(sheet.PutSheet{Order: order, Sheet: first}))
	if err != nil {
		return false
	}
	r.events.Emit(events.FirstSheetOffered, "core", r.cfg.Self, "epoch", result.Version, "code", result.Code)
	return true
}

const firstSheet = "first-sheet"
