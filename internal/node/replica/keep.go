package replica

import (
	"encoding/hex"
	"fmt"
	"slices"

	"stepwick/internal/core/ballot"
	"stepwick/internal/core/sheet"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

const (
	soon       = 100 * kernel.Millisecond
	fetchLimit = 1500 * kernel.Millisecond
	staleLooks = 4

	foundingGap = 1000
	patience    = 2 * kernel.Second
)

// tip is the core that was found to have learned most.
type tip struct {
	core    string
	learned uint64
}

// startGrace is how long after its start a core looks for a majority before it
// says that there is none.
const startGrace = 2 * kernel.Second

// keep brings the core into its formation, and afterwards looks at the others
// regularly: it fetches what it missed and finishes what was left open.
func (r *Replica) keep(ctx kernel.Context) {
	var watch openSlot
	offered, heard, begun := false, true, r.clock.Now()
	for {
		wait := r.cfg.Interval
		state, err := r.stateNow(ctx)
		if err != nil {
			return
		}
		switch state.Standing() {
		case wire.Standing_STANDING_BLANK:
			wait = soon
			r.seekFormation(ctx, state)
		case wire.Standing_STANDING_AMNESIAC:
			wait = soon
			r.enter(ctx, state)
		default:
			target, top, count, life := r.readAll(ctx, state)
			if life > state.Life() && r.cfg.Replaced != nil {
				r.replaced(fmt.Sprintf("another process has the name in disk life %d, later than %d here", life, state.Life()))
				return
			}
			r.reached.Store(count >= state.Majority())
			if now := count >= state.Majority(); now != heard && (now || r.clock.Now().Sub(begun) >= startGrace) && ctx.Err() == nil {
				heard = now
				if heard {
					r.events.Emit(events.MajorityRegained, "core", r.cfg.Self)
				} else {
					r.events.Emit(events.MajorityLost, "core", r.cfg.Self, "answered", count)
				}
			}
			if top.learned > state.Learned() {
				_ = r.catchUp(ctx, top.core)
			} else if watch.stale(state.Learned(), target) {
				r.finishLater(ctx, target)
			}
			if !offered && len(r.cfg.FirstSheet) > 0 && heard {
				offered = r.offerFirstSheet(ctx)
			}
		}
		select {
		case <-ctx.Done():
			return
		case from := <-r.behind:
			_ = r.catchUp(ctx, from)
		case <-r.clock.After(wait):
		}
	}
}

// openSlot counts looks at which the same slot was accepted somewhere and
// learned nowhere: its proposer is gone.
type openSlot struct {
	learned, target uint64
	looks           int
}

func (s *openSlot) stale(learned, target uint64) bool {
	if target <= learned || learned != s.learned || target != s.target {
		*s = openSlot{learned: learned, target: target}
		return false
	}
	s.looks++
	return s.looks%staleLooks == 0
}

func (r *Replica) finishLater(ctx kernel.Context, target uint64) {
	bound, cancel := kernel.WithTimeout(ctx, 2*kernel.Second)
	select {
	case r.proposals <- proposal{ctx: bound, target: target, done: make(chan outcome, 1)}:
		kernel.AfterFunc(bound, cancel)
	default:
		cancel()
	}
}

// replaced tells that this core has no place in the formation any more.
func (r *Replica) replaced(why string) {
	r.events.Emit(events.CoreReplaced, "core", r.cfg.Self, "why", why)
	r.cfg.Replaced()
}

// readAll asks every voter how far it is, and which disk life of this core it
// knows. It waits for all of them or the calls' timeout, but no longer than a
// moment once a majority has answered.
func (r *Replica) readAll(ctx kernel.Context, state ballot.State) (target uint64, top tip, heard int, life uint64) {
	req := &wire.ReadRequest{Formation: state.Formation, Core: r.cfg.Self}
	answers := gather(ctx, r, state.Voters, r.cfg.CallTimeout, state.Majority(), func(ctx kernel.Context, core string) (*wire.ReadResponse, error) {
		return call(ctx, r, core, req, r.Read, wireconnect.PeerClient.Read)
	})
	for core, resp := range answers {
		if resp.Refusal != 0 {
			continue
		}
		heard++
		life = max(life, resp.Life)
		target = max(target, resp.Learned, resp.Highest)
		if resp.Learned > top.learned {
			top = tip{core: core, learned: resp.Learned}
		}
	}
	return target, top, heard, life
}

// gather calls several cores at once. Enough answers end the wait early, after
// a grace in which the others may still come; enough of zero waits for all.
func gather[T any](ctx kernel.Context, r *Replica, cores []string, timeout kernel.Duration, enough int, ask func(kernel.Context, string) (*T, error)) map[string]*T {
	type reply struct {
		core string
		resp *T
	}
	bound, cancel := kernel.WithTimeout(ctx, timeout)
	defer cancel()
	replies := make(chan reply, len(cores))
	for _, core := range cores {
		go func() {
			resp, err := ask(bound, core)
			if err != nil {
				resp = nil
			}
			replies <- reply{core, resp}
		}()
	}
	answers := make(map[string]*T, len(cores))
	var grace <-chan kernel.Time
	for range cores {
		select {
		case a := <-replies:
			if a.resp != nil {
				answers[a.core] = a.resp
			}
		case <-grace:
			return answers
		case <-bound.Done():
			return answers
		}
		if enough > 0 && len(answers) >= enough && grace == nil {
			grace = r.clock.After(timeout / 20)
		}
	}
	return answers
}

// catchUp fetches from a core until nothing is missing that it has learned.
func (r *Replica) catchUp(ctx kernel.Context, from string) error {
	for {
		state, err := r.stateNow(ctx)
		if err != nil {
			return err
		}
		bound, cancel := kernel.WithTimeout(ctx, fetchLimit)
		resp, err := call(bound, r, from, &wire.FetchRequest{Formation: state.Formation, After: state.Learned()}, r.Fetch, wireconnect.PeerClient.Fetch)
		cancel()
		if err != nil {
			return err
		}
		learned, err := ask(ctx, r, func(o *owner, reply func(uint64, error)) {
			records := o.state.Fetched(resp)
			err := o.commit(records, toLearn)
			if err == nil && len(records) > 0 {
				if resp.SnapshotEpoch > state.Learned() {
					r.events.Emit(events.SnapshotTaken, "core", r.cfg.Self, "from", from, "epoch", resp.SnapshotEpoch)
				}
				r.events.Emit(events.SlotFetched, "core", r.cfg.Self, "from", from, "epoch", o.state.Learned())
			}
			reply(o.state.Learned(), err)
		})
		if err != nil {
			return err
		}
		if learned >= resp.Learned {
			return nil
		}
		if learned == state.Learned() {
			return kernel.Refuse(kernel.EpochBehind, "core %s gave nothing after epoch %d", from, learned)
		}
	}
}

func (r *Replica) probe(ctx kernel.Context, cores []string) map[string]*wire.RecoverResponse {
	req := &wire.RecoverRequest{Core: r.cfg.Self, Probe: true}
	return gather(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx kernel.Context, core string) (*wire.RecoverResponse, error) {
		return call(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
}

// seekFormation joins the formation that other cores are in or, with all
// present and blank, founds the first one.
func (r *Replica) seekFormation(ctx kernel.Context, state ballot.State) {
	present := map[string]*wire.RecoverResponse{}
	var cores []string
	for _, process := range r.peers.Processes() {
		if process.Core && process.Name != r.cfg.Self {
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
	epoch, snapshot, missing := r.survivors(ctx)
	if missing != "" {
		r.waits(ctx, events.FormationWaits, missing)
		return
	}
	id := fmt.Sprintf("%s-%s", r.cfg.Self, r.formationID())
	record, ok := state.Establish(id, r.cfg.Voters, present, epoch, snapshot)
	if !ok || !r.join(ctx, record, "waits for the other cores to join") {
		return
	}
	joined := record.(ballot.Joined)
	r.events.Emit(events.FormationBegun, "formation", id, "voters", fmt.Sprint(joined.Voters), "epoch", epoch)
	invite := &wire.FoundRequest{Formation: id, Voters: joined.Voters, Founder: r.cfg.Self}
	gather(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx kernel.Context, core string) (*wire.FoundResponse, error) {
		return call(ctx, r, core, invite, r.Found, wireconnect.PeerClient.Found)
	})
}

func (r *Replica) formationID() string {
	now := uint64(r.clock.Now().UnixNano())
	return hex.EncodeToString([]byte{byte(now >> 56), byte(now >> 48), byte(now >> 40), byte(now >> 32), byte(now >> 24), byte(now >> 16), byte(now >> 8), byte(now)})
}

// survivors finds the highest agreed state that any process still holds after
// the loss of every core's disk. An acknowledged epoch was confirmed by more
// than half of its roster, so more than half must answer and hold a state. The
// new formation leaves a gap of epochs, so that none of the old one, which a
// process out of reach may hold though it never was acknowledged, is given out
// again with another content.
func (r *Replica) survivors(ctx kernel.Context) (epoch uint64, snapshot []byte, missing string) {
	var names []string
	for _, process := range r.peers.Processes() {
		if process.Front && process.Name != r.cfg.Self {
			names = append(names, process.Name)
		}
	}
	answers := gather(ctx, r, names, r.cfg.CallTimeout, 0, func(ctx kernel.Context, name string) (*wire.FetchResponse, error) {
		return call(ctx, r, name, &wire.FetchRequest{}, r.Fetch, wireconnect.PeerClient.Fetch)
	})
	var highest sheet.State
	for _, resp := range answers {
		if len(resp.Snapshot) == 0 || resp.SnapshotEpoch <= highest.Epoch {
			continue
		}
		if state, err := sheet.DecodeState(resp.Snapshot); err == nil && state.Epoch == resp.SnapshotEpoch {
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
		return 0, nil, fmt.Sprintf("all cores are blank, though epoch %d is still held: %d of the %d members of its roster must answer from memory", highest.Epoch, count/2+1, count)
	}
	if highest.Epoch == 0 {
		return 0, nil, ""
	}
	noop := sheet.Encode(sheet.Noop{})
	for range foundingGap {
		highest, _ = highest.Step(highest.Epoch+1, noop)
	}
	return highest.Epoch, highest.Encode(), ""
}

func (r *Replica) join(ctx kernel.Context, record ballot.Record, waiting string) bool {
	joined, err := ask(ctx, r, func(o *owner, reply func(bool, error)) {
		if o.state.Life() != 0 {
			reply(false, nil)
			return
		}
		o.waiting = waiting
		decided(o, []ballot.Record{record}, toVote, true, nil, reply)
	})
	return err == nil && joined
}

// waits keeps what the core waits for; when it takes long, it is logged.
func (r *Replica) waits(ctx kernel.Context, event events.Event, what string) {
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

// enter rebuilds the core from the other voters, or from those that can be
// reached where they suffice: it learns which disk life is next, announces it,
// and merges what each of them syncs and answers.
func (r *Replica) enter(ctx kernel.Context, state ballot.State) {
	others := state.Others()
	probes := r.probe(ctx, others)
	for _, resp := range probes {
		if record, ok := state.Rejoin(resp); ok {
			r.join(ctx, record, fmt.Sprintf("joins the formation %s", resp.Formation))
			return
		}
	}
	life, waiting := state.NextLife(probes, r.salt)
	event := events.FormationWaits
	for _, resp := range probes {
		if resp.Lives[r.cfg.Self] > 0 {
			event = events.RecoveryWaits
		}
	}
	if waiting != "" {
		r.waits(ctx, event, fmt.Sprintf("the core enters its formation once enough others answer; it waits for %s", waiting))
		return
	}
	if life != state.Announced && !r.join(ctx, ballot.Lived{Core: r.cfg.Self, Life: life}, "announces its disk life") {
		return
	}
	if life > 1 && life != state.Announced {
		r.events.Emit(events.RecoveryBegun, "core", r.cfg.Self, "life", life)
	}
	req := &wire.RecoverRequest{Formation: state.Formation, Core: r.cfg.Self, Life: life}
	intact, enough := entryQuorum(state, probes)
	answers := gather(ctx, r, intact, r.cfg.EntryTimeout, enough, func(ctx kernel.Context, core string) (*wire.RecoverResponse, error) {
		return call(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
	entered, err := ask(ctx, r, func(o *owner, reply func(string, error)) {
		if o.state.Formation != state.Formation || o.state.Life() != 0 {
			reply("", nil)
			return
		}
		record, waiting := o.state.Enter(life, answers)
		if waiting != "" {
			reply(waiting, nil)
			return
		}
		decided(o, []ballot.Record{record}, toVote, "", nil, reply)
	})
	switch {
	case err != nil && kernel.AsFault(err).Code == kernel.DiskFull:
		r.waits(ctx, events.DiskFull, "the rebuilt state does not fit on the disk")
	case err != nil:
	case entered != "":
		r.waits(ctx, event, fmt.Sprintf("the core enters its formation once enough others answer; it waits for %s", entered))
	case life > 1:
		r.events.Emit(events.RecoveryComplete, "core", r.cfg.Self, "life", life)
	default:
		r.events.Emit(events.FormationComplete, "core", r.cfg.Self, "formation", state.Formation)
	}
}

// entryQuorum returns the cores to rebuild from, and how many of them suffice;
// zero is all.
func entryQuorum(state ballot.State, probes map[string]*wire.RecoverResponse) (cores []string, enough int) {
	var voting []string
	for _, core := range state.Others() {
		if probe := probes[core]; probe != nil && probe.Voting {
			voting = append(voting, core)
		}
	}
	if len(voting) < state.RebuildQuorum() {
		return state.Others(), 0
	}
	return voting, state.RebuildQuorum()
}

// offerFirstSheet proposes the configured sheet to a formation that never had
// one; it tells whether the offer is settled, either way.
func (r *Replica) offerFirstSheet(ctx kernel.Context) bool {
	now, err := r.sheetNow(ctx)
	if err != nil {
		return false
	}
	if now.SheetEpoch > 0 {
		return true
	}
	first, fault := sheet.ParseSheet(r.cfg.FirstSheet, r.cfg.SheetMax)
	if fault != nil {
		r.events.Emit(events.OrderRefused, "order", firstSheet, "code", fault.Code, "detail", fault.Detail)
		return true
	}
	order := sheet.Order{OrderID: firstSheet, Operator: firstSheet, AtMS: r.clock.Now().UnixMilli()}
	bound, cancel := kernel.WithTimeout(ctx, 5*kernel.Second)
	defer cancel()
	_, result, err := r.Propose(bound, sheet.Encode(sheet.PutSheet{Order: order, Sheet: first}))
	if err != nil {
		return false
	}
	r.events.Emit(events.FirstSheetOffered, "core", r.cfg.Self, "epoch", result.Epoch, "code", result.Code)
	return true
}

const firstSheet = "first-sheet"
