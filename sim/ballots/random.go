package ballots

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/core/ballot"
	"stepwick/internal/wire"
)

// Faults are the rates of a random run. Times are in virtual milliseconds.
type Faults struct {
	Cores     int     // 3 if zero
	Calm      int64   // before the first fault or lost message, in which the cores may form
	Until     int64   // when faults end and the cores must come to agree
	Loss      float64 // of a message
	Duplicate float64 // of a request
	Every     int64   // between two faults: a crash, a wipe, a cut or a slow disk
	Wipes     float64 // share of the crashes that lose the disk
	Late      float64 // share of the messages that take up to 2 s
	Patience  int64   // how long a proposer waits for answers
	TwoWipes  bool    // a second disk may be lost while the first is being rebuilt
	Replaced  bool    // in place of a wipe another process takes the name, and the old one goes on
	Flaw      Flaw    // Sound, LifeForgotten, RebuildWithout or SharedLife
}

// Outcome of a random run.
type Outcome struct {
	Chosen    int // slots
	Crashes   int
	Wipes     int
	Snapshots int
	Events    int
	Lost      bool // two disks were lost at once: the cores wait, as they must
	Violation string
}

const (
	compactEvery = 12
	settleTime   = 20_000
	entryTimeout = 600
	probeGrace   = 80 // for which a rebuilding core waits for the other probes
)

// Run plays one seed: cores found a formation and agree on commands
// while messages are lost, doubled and overtaken, processes crash between an
// append and its sync, disks are wiped and links are cut; then all heals.
func Run(seed uint64, faults Faults) Outcome {
	if faults.Cores == 0 {
		faults.Cores = len(names)
	}
	s := &sim{random: rand.New(rand.NewPCG(seed, 7)), faults: faults, chosen: map[uint64][]byte{},
		names: fiveNames[:faults.Cores], old: make([]*core, faults.Cores)}
	for i, name := range s.names {
		s.cores = append(s.cores, &core{sim: s, index: i, state: ballot.Blank(name)})
	}
	for _, c := range s.cores {
		s.boot(c)
	}
	s.after(faults.Calm+s.between(1, faults.Every), s.fault)
	s.after(faults.Until, s.heal)
	for s.outcome.Violation == "" && len(s.queue) > 0 && s.now < faults.Until+settleTime {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.outcome.Events++
		e.do()
		if s.now > faults.Until && s.agreed() {
			break
		}
	}
	s.outcome.Chosen = len(s.chosen)
	if s.outcome.Violation == "" && !s.outcome.Lost && !s.agreed() {
		s.violate("%d ms after the last fault the cores don't agree: %s", settleTime, s.summary())
	}
	return s.outcome
}

// fiveNames are the cores of the largest random run.
var fiveNames = []string{"a", "b", "c", "d", "e"}

type event struct {
	at, order int64
	do        func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type sim struct {
	random  *rand.Rand
	faults  Faults
	now     int64
	order   int64
	queue   events
	names   []string
	cores   []*core
	old     []*core // the last process that had a name before another took it
	cut     [5][5]bool
	chosen  map[uint64][]byte
	rolling []uint64 // digest of the first commands, by count
	done    bool     // faults have ended
	target  uint64   // all cores must learn this slot after the faults
	outcome Outcome
}

// core is one process. Its state runs ahead of its disk: base and the first
// synced records of log are what a crash leaves, and perhaps some more.
type core struct {
	sim       *sim
	index     int
	up        bool
	life      int
	base      ballot.State
	log       []ballot.Record
	synced    int
	state     ballot.State
	waiting   []held
	slow      int64
	proposals int
	proposing int // number of the ballot under way, 0 is none
	seen      uint64
	entering  bool
	round     int // of entering; answers to an earlier one come too late
}

type held struct {
	place int
	then  func()
}

// troubled tells whether messages may be lost and late now.
func (s *sim) troubled() bool { return s.now >= s.faults.Calm && !s.done }

func (s *sim) between(low, high int64) int64 { return low + s.random.Int64N(max(high-low, 1)) }
func (s *sim) chance(p float64) bool         { return s.random.Float64() < p }

func (s *sim) after(ms int64, do func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now + ms, order: s.order, do: do})
}

func (s *sim) violate(format string, args ...any) {
	if s.outcome.Violation == "" {
		s.outcome.Violation = fmt.Sprintf("at %d ms: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) summary() string {
	text := ""
	for _, c := range s.cores {
		text += fmt.Sprintf("%s %s learned %d; ", c.state.Self, c.state.Standing(), c.state.Learned())
	}
	return text
}

// agreed tells whether all cores vote and have learned a slot chosen after the
// last fault.
func (s *sim) agreed() bool {
	if !s.done || s.target == 0 {
		return false
	}
	for _, c := range s.cores {
		if c.state.Life() == 0 || c.state.Learned() < s.target {
			return false
		}
	}
	return true
}

func (s *sim) fault() {
	if s.done {
		return
	}
	c := s.cores[s.random.IntN(len(s.cores))]
	switch s.random.IntN(4) {
	case 0, 1:
		if c.up {
			s.crash(c)
		}
	case 2:
		from, to := s.random.IntN(len(s.cores)), s.random.IntN(len(s.cores))
		s.cut[from][to] = true
		if s.chance(0.5) {
			s.cut[to][from] = true
		}
		s.after(s.between(1, 3000), func() { s.cut[from][to], s.cut[to][from] = false, false })
	case 3:
		c.slow = s.between(0, 1500)
		s.after(s.between(1, 3000), func() { c.slow = 0 })
	}
	s.after(s.between(1, 2*s.faults.Every), s.fault)
}

func (s *sim) heal() {
	s.done = true
	s.cut = [5][5]bool{}
	for _, c := range s.cores {
		c.slow = 0
	}
	for _, old := range s.old {
		if old != nil {
			old.up = false
		}
	}
}

func (s *sim) crash(c *core) {
	s.outcome.Crashes++
	c.up = false
	c.life++
	if s.chance(s.faults.Wipes) && s.wipeable(c) {
		s.outcome.Wipes++
		if s.faults.Replaced {
			s.leave(c)
		}
		c.base, c.log, c.synced = ballot.Blank(c.state.Self), nil, 0
	} else {
		c.log = c.log[:s.random.IntN(len(c.log)-c.synced+1)+c.synced]
	}
	s.after(s.between(1, 600), func() { s.boot(c) })
}

// leave lets the process that had a core's name go on, on its own disk, beside
// the one that takes the name with a blank disk.
func (s *sim) leave(c *core) {
	kept := s.random.IntN(len(c.log)-c.synced+1) + c.synced
	old := &core{sim: s, index: c.index, base: c.base, log: slices.Clone(c.log[:kept]), life: 1 << 20}
	if last := s.old[c.index]; last != nil {
		last.up, old.life = false, last.life+1
	}
	s.old[c.index] = old
	s.after(s.between(1, 600), func() {
		if !s.done && s.old[c.index] == old {
			s.boot(old)
		}
	})
}

// reached returns the process that a message to a name reaches: any that has it.
func (s *sim) reached(from, to *core) *core {
	old := s.old[to.index]
	if from.index == to.index || old == nil || !old.up || s.chance(0.5) {
		return to
	}
	return old
}

// voters returns the cores as one of them calls them: itself for its own name.
func (c *core) voters() []*core {
	all := slices.Clone(c.sim.cores)
	all[c.index] = c
	return all
}

// wipeable spares the last disk: with it, nothing would be left to judge by.
func (s *sim) wipeable(c *core) bool {
	blank := 0
	for _, other := range s.cores {
		if other != c && (other.durable().Life() == 0) {
			blank++
		}
	}
	borne := len(s.cores) - ballot.State{Voters: s.names}.Majority()
	if blank == borne && s.faults.TwoWipes && c.durable().Life() != 0 && len(s.chosen) > 0 {
		s.outcome.Lost = true
		return true
	}
	return blank < borne
}

func (c *core) durable() ballot.State {
	state := c.base
	for _, record := range c.log[:c.synced] {
		state = record.Fold(state)
	}
	return state
}

func (s *sim) boot(c *core) {
	if c.base.Self == "" {
		c.base = ballot.Blank(s.names[c.index])
	}
	c.up = true
	c.state = c.base
	for _, record := range c.log {
		encoded, err := ballot.DecodeRecord(ballot.EncodeRecord(record))
		if err != nil {
			s.violate("a record can't be read back: %v", err)
			return
		}
		c.state = encoded.Fold(c.state)
	}
	c.synced, c.waiting, c.proposing, c.entering, c.seen, c.slow = len(c.log), nil, 0, false, 0, 0
	if s.faults.Flaw == RebuildWithout && c.state.Formation == "" && len(s.chosen) > 0 {
		other := s.cores[(c.index+1)%len(s.cores)].state
		joined := ballot.Joined{Formation: other.Formation, Voters: s.names}.Fold(c.state)
		c.base = ballot.Entered{Lives: other.Lives}.Fold(joined)
		c.state = c.base
	}
	c.tick(c.life)
}

func (c *core) tick(life int) {
	if c.life != life || !c.up {
		return
	}
	switch c.state.Standing() {
	case wire.Standing_STANDING_BLANK:
		c.seek()
	case wire.Standing_STANDING_AMNESIAC:
		c.enter()
	default:
		c.look()
		if c.proposing == 0 {
			c.propose()
		}
	}
	c.sim.after(c.sim.between(40, 160), func() { c.tick(life) })
}

// commit appends records and folds them; a sync follows.
func (c *core) commit(records []ballot.Record) {
	if len(records) == 0 {
		return
	}
	before := c.state
	for _, record := range records {
		c.log = append(c.log, record)
		c.state = record.Fold(c.state)
	}
	c.check(before)
	life := c.life
	c.sim.after(c.sim.between(1, 8)+c.slow, func() {
		if c.life == life {
			c.sync()
		}
	})
	if len(c.state.Chosen) > compactEvery && c.state.Life() != 0 {
		epoch := c.state.SnapshotEpoch + uint64(c.sim.random.IntN(len(c.state.Chosen))) + 1
		c.sim.outcome.Snapshots++
		c.state = c.state.Compacted(epoch, binary.LittleEndian.AppendUint64(nil, c.sim.digest(epoch)))
	}
}

func (c *core) sync() {
	c.synced = len(c.log)
	for len(c.waiting) > 0 && c.waiting[0].place <= c.synced {
		then := c.waiting[0].then
		c.waiting = c.waiting[1:]
		then()
	}
	if c.synced > 40 && c.waiting == nil || c.synced > 200 {
		whole, err := ballot.Decode(c.state.Encode())
		if err != nil {
			c.sim.violate("a state can't be read back: %v", err)
		}
		if c.state.Life() != 0 && len(c.waiting) == 0 {
			c.base, c.log, c.synced = whole, nil, 0
		}
	}
}

func (c *core) whenSynced(then func()) {
	if len(c.log) <= c.synced {
		then()
		return
	}
	c.waiting = append(c.waiting, held{place: len(c.log), then: then})
}

// check judges what the core has newly learned.
func (c *core) check(before ballot.State) {
	if c.state.SnapshotEpoch > before.Learned() {
		epoch := c.state.SnapshotEpoch
		if epoch > uint64(len(c.sim.rolling)) || !bytes.Equal(c.state.Snapshot, binary.LittleEndian.AppendUint64(nil, c.sim.digest(epoch))) {
			c.sim.violate("%s took a snapshot of epoch %d that is not the agreed one", c.state.Self, epoch)
		}
	}
	for _, chosen := range c.state.Chosen {
		if chosen.Epoch > before.Learned() {
			c.sim.decide(c.state.Self, chosen.Epoch, chosen.Command)
		}
	}
}

// decide judges that a core takes a value for chosen.
func (s *sim) decide(who string, slot uint64, value []byte) {
	if first, known := s.chosen[slot]; known {
		if !bytes.Equal(first, value) {
			s.violate("%s took %q for chosen in slot %d after %q", who, value, slot, first)
		}
		return
	}
	s.chosen[slot] = value
	for next := uint64(len(s.rolling)) + 1; s.chosen[next] != nil; next++ {
		s.rolling = append(s.rolling, xxhash.Sum64(binary.LittleEndian.AppendUint64(slices.Clone(s.chosen[next]), s.digest(next-1))))
	}
	if s.done && s.target == 0 {
		s.target = slot
	}
}

func (s *sim) digest(epoch uint64) uint64 {
	if epoch == 0 || epoch > uint64(len(s.rolling)) {
		return 0
	}
	return s.rolling[epoch-1]
}

// rpc calls one core: lost, doubled, late. The answer leaves when all that the
// answerer has appended is synced, and is lost when the caller has crashed.
func rpc[A any](from, to *core, handle func(*core) ([]ballot.Record, A), got func(A)) {
	s, life := from.sim, from.life
	named := to
	deliver := func() {
		to := s.reached(from, named)
		if !to.up || s.cut[from.index][to.index] {
			return
		}
		records, answer := handle(to)
		to.commit(records)
		to.whenSynced(func() {
			if from != to && (s.chance(s.faults.Loss) && s.troubled() || s.cut[to.index][from.index]) {
				return
			}
			s.after(s.latency(from, to), func() {
				if from.life == life && from.up {
					got(answer)
				}
			})
		})
	}
	if from != to && s.chance(s.faults.Loss) && s.troubled() {
		return
	}
	s.after(s.latency(from, to), deliver)
	if from != to && s.chance(s.faults.Duplicate) {
		s.after(s.latency(from, to)+s.between(0, 3000), deliver)
	}
}

func (s *sim) latency(from, to *core) int64 {
	if from == to {
		return 0
	}
	if s.chance(s.faults.Late) && s.troubled() {
		return s.between(1, 2000)
	}
	return s.between(1, 20)
}

// once lets only the first of several answers of a core count.
func once[A any](do func(string, A)) func(string) func(A) {
	heard := map[string]bool{}
	return func(name string) func(A) {
		return func(answer A) {
			if !heard[name] {
				heard[name] = true
				do(name, answer)
			}
		}
	}
}

func (c *core) others() []*core {
	return slices.DeleteFunc(c.voters(), func(o *core) bool { return o == c })
}

// probeAll asks all other cores how they are. It goes on once all have answered,
// or after a grace.
func (c *core) probeAll(then func(map[string]*wire.RecoverResponse)) {
	answers, life, over := map[string]*wire.RecoverResponse{}, c.life, false
	proceed := func() {
		if !over && c.life == life {
			over = true
			then(answers)
		}
	}
	take := once(func(name string, answer *wire.RecoverResponse) {
		if !over {
			answers[name] = answer
		}
		if len(answers) == len(c.sim.cores)-1 {
			proceed()
		}
	})
	if len(c.sim.cores) > len(names) {
		c.sim.after(probeGrace, proceed)
	}
	for _, other := range c.others() {
		rpc(c, other, func(o *core) ([]ballot.Record, *wire.RecoverResponse) {
			return o.state.Recover(&wire.RecoverRequest{Core: c.state.Self, Probe: true})
		}, take(other.state.Self))
	}
}

func (c *core) seek() {
	c.probeAll(func(answers map[string]*wire.RecoverResponse) {
		for _, name := range c.sim.names {
			if answers[name] == nil {
				continue
			}
			if record, ok := c.state.Rejoin(answers[name]); ok {
				c.commit([]ballot.Record{record})
				return
			}
		}
		record, ok := c.state.Establish(fmt.Sprintf("%s-%d", c.state.Self, c.sim.now), len(c.sim.cores), answers, 0, nil)
		if !ok {
			return
		}
		c.commit([]ballot.Record{record})
		joined := record.(ballot.Joined)
		c.whenSynced(func() {
			for _, other := range c.others() {
				rpc(c, other, func(o *core) ([]ballot.Record, *wire.FoundResponse) {
					return o.state.Found(&wire.FoundRequest{Formation: joined.Formation, Voters: joined.Voters, Founder: c.state.Self})
				}, func(*wire.FoundResponse) {})
			}
		})
	})
}

func (c *core) enter() {
	if c.entering {
		return
	}
	c.entering = true
	life := c.life
	c.sim.after(entryTimeout+c.slow, func() {
		if c.life == life {
			c.entering = false
		}
	})
	c.probeAll(func(probes map[string]*wire.RecoverResponse) {
		for _, name := range c.sim.names {
			if probes[name] == nil {
				continue
			}
			if record, ok := c.state.Rejoin(probes[name]); ok {
				c.commit([]ballot.Record{record})
				return
			}
		}
		next, waiting := c.state.NextLife(probes, c.salt())
		if waiting != "" || c.state.Life() != 0 {
			return
		}
		if next != c.state.Announced {
			c.commit([]ballot.Record{ballot.Lived{Core: c.state.Self, Life: next}})
		}
		c.whenSynced(func() { c.announce(next) })
	})
}

func (c *core) announce(life uint64) {
	formation, rebuildQuorum := c.state.Formation, c.state.RebuildQuorum()
	c.round++
	round := c.round
	answers := map[string]*wire.RecoverResponse{}
	take := once(func(name string, answer *wire.RecoverResponse) {
		answers[name] = answer
		if len(answers) < rebuildQuorum || c.round != round || c.state.Life() != 0 || c.state.Formation != formation {
			return
		}
		if record, waiting := c.state.Enter(life, answers); waiting == "" {
			c.commit([]ballot.Record{record})
		}
	})
	for _, other := range c.others() {
		rpc(c, other, func(o *core) ([]ballot.Record, *wire.RecoverResponse) {
			records, answer := o.state.Recover(&wire.RecoverRequest{Formation: formation, Core: c.state.Self, Life: life})
			if c.sim.faults.Flaw == LifeForgotten {
				records = nil
			}
			return records, answer
		}, take(other.state.Self))
	}
}

// look fetches from another core what is missing here.
func (c *core) look() {
	other := c.others()[c.sim.random.IntN(len(c.sim.cores)-1)]
	c.fetch(other)
	if c.sim.faults.Replaced {
		c.stand(other)
	}
}

// salt is the process's own part of the disk lives that it announces, unless
// the flaw is that all have the same.
func (c *core) salt() uint64 {
	if c.sim.faults.Flaw == SharedLife || !c.sim.faults.Replaced {
		return 0
	}
	return uint64(c.sim.random.Int64N(1 << 32))
}

// stand asks another core for the disk life that it knows of this name. A
// process that another has replaced gives its disk up: one that left ends, the
// others begin anew with a blank disk.
func (c *core) stand(other *core) {
	rpc(c, other, func(o *core) ([]ballot.Record, *wire.ReadResponse) {
		return nil, o.state.Read(&wire.ReadRequest{Formation: c.state.Formation, Core: c.state.Self})
	}, func(resp *wire.ReadResponse) {
		if resp.Life <= c.state.Life() || c.state.Life() == 0 {
			return
		}
		c.up = false
		c.life++
		if c != c.sim.cores[c.index] {
			return
		}
		for _, other := range c.others() {
			c.sim.outcome.Lost = c.sim.outcome.Lost || other.durable().Life() == 0
		}
		c.base, c.log, c.synced = ballot.Blank(c.state.Self), nil, 0
		c.sim.after(c.sim.between(1, 600), func() { c.sim.boot(c) })
	})
}

func (c *core) fetch(from *core) {
	req := &wire.FetchRequest{Formation: c.state.Formation, After: c.state.Learned()}
	rpc(c, from, func(o *core) ([]ballot.Record, *wire.FetchResponse) {
		resp, fault := o.state.Fetch(req)
		if fault != nil {
			return nil, nil
		}
		return nil, resp
	}, func(resp *wire.FetchResponse) {
		if resp != nil {
			c.commit(c.state.Fetched(resp))
		}
	})
}

func (c *core) propose() {
	s := c.sim
	slot := c.state.Learned() + 1
	c.proposals++
	c.proposing = c.proposals
	run := c.proposing
	own := fmt.Appendf(nil, "%s/%d/%d", c.state.Self, c.life, run)
	p, prepare := ballot.Propose(c.state, slot, max(c.state.NextNumber(slot), c.seen+1), own)
	life := c.life
	end := func() {
		c.seen = p.Seen.Number
		if c.proposing == run {
			s.after(s.between(1, 120), func() {
				if c.proposing == run && c.life == life {
					c.proposing = 0
				}
			})
		}
	}
	s.after(s.faults.Patience+c.slow, func() {
		if c.life == life && c.proposing == run {
			end()
		}
	})
	var step ballot.Step
	var proceed func()
	takeAccepted := once(func(_ string, answer *wire.AcceptResponse) {
		if c.proposing != run {
			return
		}
		p, step = p.Accepted(answer)
		proceed()
	})
	proceed = func() {
		switch {
		case step.Accept != nil:
			accept := step.Accept
			for _, to := range c.voters() {
				rpc(c, to, func(o *core) ([]ballot.Record, *wire.AcceptResponse) { return o.state.Accept(accept) }, takeAccepted(to.state.Self))
			}
		case step.Chosen:
			s.decide(c.state.Self, slot, step.Value)
			c.seen = 0
			c.proposing = 0
			learn := &wire.LearnRequest{Formation: p.Formation, Chosen: []*wire.Chosen{{Epoch: slot, Command: step.Value}}}
			for _, to := range c.voters() {
				rpc(c, to, func(o *core) ([]ballot.Record, *wire.LearnResponse) {
					records, resp, _ := o.state.Learn(learn)
					return records, resp
				}, func(*wire.LearnResponse) {})
			}
		case step.Behind != "":
			for _, o := range c.voters() {
				if o.state.Self == step.Behind {
					c.fetch(o)
				}
			}
			end()
		case step.Lost:
			end()
		}
	}
	takePrepared := once(func(_ string, answer *wire.PrepareResponse) {
		if c.proposing != run {
			return
		}
		p, step = p.Promise(answer)
		proceed()
	})
	for _, to := range c.voters() {
		rpc(c, to, func(o *core) ([]ballot.Record, *wire.PrepareResponse) { return o.state.Prepare(prepare) }, takePrepared(to.state.Self))
	}
}
