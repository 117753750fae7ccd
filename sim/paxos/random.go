package paxos

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/paxos"
	"stepwick/sim/eventqueue"
)

// Faults configures a random run. Times are in virtual milliseconds, rates are
// probabilities.
type Faults struct {
	Cores           int     // 3 if zero
	FaultsFrom      int64   // time before the first fault or lost message, for the cores to form
	FaultsUntil     int64   // end of the faults, after which the cores must agree
	Loss            float64 // of a message
	Duplicate       float64 // of a request
	FaultInterval   int64   // mean time between two faults: a crash, a wipe, a partition or a slow disk
	Wipes           float64 // fraction of the crashes that lose the disk
	Delayed         float64 // fraction of the messages that take up to 2 s
	ProposalTimeout int64   // how long a proposer waits for answers
	TwoWipes        bool    // a second disk may be lost while the first recovers
	Replaced        bool    // instead of a wipe another process takes the name, and the old one continues
	Flaw            Flaw    // Sound, IncarnationForgotten, VoteWithoutRecovery or SharedIncarnation
}

// Outcome is the result of a random run.
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
	compactEvery     = 12 // chosen slots
	compactLog       = 40 // records, when no action waits for a sync
	compactBusyLog   = 200
	faultStream      = 7      // of random numbers
	agreementTimeout = 20_000 // ms to come to an agreement after the faults
	recoveryTimeout  = 600    // ms
	probeGrace       = 80     // ms that a recovering core waits for all probes
)

// Run simulates one seed: cores found a formation and agree on commands while
// messages are lost, duplicated and reordered, processes crash between an append
// and its sync, disks are wiped and links are partitioned. Then all faults end.
func Run(seed uint64, faults Faults) Outcome {
	if faults.Cores == 0 {
		faults.Cores = len(names)
	}
	s := &sim{
		random:   rand.New(rand.NewPCG(seed, faultStream)),
		faults:   faults,
		chosen:   map[uint64][]byte{},
		names:    fiveNames[:faults.Cores],
		detached: make([]*core, faults.Cores),
	}
	for i, name := range s.names {
		s.cores = append(s.cores, &core{sim: s, index: i, state: paxos.BlankState(name)})
	}
	for _, c := range s.cores {
		s.boot(c)
	}
	s.after(faults.FaultsFrom+s.between(1, faults.FaultInterval), s.fault)
	s.after(faults.FaultsUntil, s.heal)
	s.runEvents()
	s.outcome.Chosen = len(s.chosen)
	if s.outcome.Violation == "" && !s.outcome.Lost && !s.agreed() {
		s.violate("%d ms after the last fault the cores don't agree: %s", agreementTimeout, s.summary())
	}
	return s.outcome
}

// runEvents runs until the processes agree after the last fault, a rule is
// violated, or the time to come to an agreement is over.
func (s *sim) runEvents() {
	for s.outcome.Violation == "" && s.now < s.faults.FaultsUntil+agreementTimeout {
		if _, ok := s.events.Next(); !ok {
			return
		}
		instant, action := s.events.Pop()
		s.now = instant
		s.outcome.Events++
		action()
		if s.now > s.faults.FaultsUntil && s.agreed() {
			return
		}
	}
}

// fiveNames are the cores of the largest random run.
var fiveNames = []string{"a", "b", "c", "d", "e"}

type sim struct {
	random      *rand.Rand
	faults      Faults
	now         int64
	events      eventqueue.Queue[int64] // by milliseconds
	names       []string
	cores       []*core
	detached    []*core // by index, the replaced process that still runs under the name
	partitioned [5][5]bool
	chosen      map[uint64][]byte
	digests     []uint64 // digest of the first commands, by count
	faultsEnded bool     // no further fault or loss
	target      uint64   // all cores must learn this slot after the faults
	outcome     Outcome
}

// faultsActive reports whether messages may be lost or delayed now.
func (s *sim) faultsActive() bool { return s.now >= s.faults.FaultsFrom && !s.faultsEnded }

func (s *sim) between(low, high int64) int64 { return low + s.random.Int64N(max(high-low, 1)) }
func (s *sim) chance(p float64) bool         { return s.random.Float64() < p }

func (s *sim) after(ms int64, action func()) {
	s.events.Schedule(s.now+ms, action)
}

func (s *sim) violate(format string, args ...any) {
	if s.outcome.Violation == "" {
		s.outcome.Violation = fmt.Sprintf("at %d ms: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) summary() string {
	text := ""
	for _, c := range s.cores {
		text += fmt.Sprintf("%s %s learned %d; ", c.state.Self, c.state.Standing(), c.state.HighestLearnedSlot())
	}
	return text
}

// agreed reports whether all cores vote and have learned a slot chosen after the
// last fault.
func (s *sim) agreed() bool {
	if !s.faultsEnded || s.target == 0 {
		return false
	}
	for _, c := range s.cores {
		if c.state.Incarnation() == 0 || c.state.HighestLearnedSlot() < s.target {
			return false
		}
	}
	return true
}

func (s *sim) fault() {
	if s.faultsEnded {
		return
	}
	c := s.cores[s.random.IntN(len(s.cores))]
	switch s.random.IntN(4) {
	case 0, 1:
		if c.up {
			s.crash(c)
		}
	case 2:
		from := s.random.IntN(len(s.cores))
		to := s.random.IntN(len(s.cores))
		s.partitioned[from][to] = true
		if s.chance(0.5) {
			s.partitioned[to][from] = true
		}
		s.after(s.between(1, 3000), func() {
			s.partitioned[from][to] = false
			s.partitioned[to][from] = false
		})
	case 3:
		c.slow = s.between(0, 1500)
		s.after(s.between(1, 3000), func() { c.slow = 0 })
	}
	s.after(s.between(1, 2*s.faults.FaultInterval), s.fault)
}

func (s *sim) heal() {
	s.faultsEnded = true
	s.partitioned = [5][5]bool{}
	for _, c := range s.cores {
		c.slow = 0
	}
	for _, old := range s.detached {
		if old != nil {
			old.up = false
		}
	}
}

func (s *sim) crash(c *core) {
	s.outcome.Crashes++
	c.up = false
	c.processIncarnation++
	if s.chance(s.faults.Wipes) && s.canWipe(c) {
		s.outcome.Wipes++
		if s.faults.Replaced {
			s.detach(c)
		}
		c.loseDisk()
	} else {
		c.log = c.log[:s.random.IntN(len(c.log)-c.synced+1)+c.synced]
	}
	s.after(s.between(1, 600), func() { s.boot(c) })
}

// detach keeps the process that had a core's name running on its own disk, beside
// the one that takes the name with a blank disk.
func (s *sim) detach(c *core) {
	kept := s.random.IntN(len(c.log)-c.synced+1) + c.synced
	old := &core{sim: s, index: c.index, base: c.base, log: slices.Clone(c.log[:kept]), processIncarnation: 1 << 20}
	if last := s.detached[c.index]; last != nil {
		last.up = false
		old.processIncarnation = last.processIncarnation + 1
	}
	s.detached[c.index] = old
	s.after(s.between(1, 600), func() {
		if !s.faultsEnded && s.detached[c.index] == old {
			s.boot(old)
		}
	})
}

// receiver returns the process that a message to a name reaches: any that has it.
func (s *sim) receiver(from, to *core) *core {
	old := s.detached[to.index]
	if from.index == to.index || old == nil || !old.up || s.chance(0.5) {
		return to
	}
	return old
}

// canWipe reports whether a core may lose its disk: a majority must keep theirs,
// unless TwoWipes is set.
func (s *sim) canWipe(c *core) bool {
	blank := 0
	for _, other := range s.cores {
		if other != c && (other.durable().Incarnation() == 0) {
			blank++
		}
	}
	tolerated := len(s.cores) - paxos.State{Voters: s.names}.Quorum()
	if blank == tolerated && s.faults.TwoWipes && c.durable().Incarnation() != 0 && len(s.chosen) > 0 {
		s.outcome.Lost = true
		return true
	}
	return blank < tolerated
}

// checkChosen checks that a slot has one chosen value.
func (s *sim) checkChosen(who string, slot uint64, value []byte) {
	if first, known := s.chosen[slot]; known {
		if !bytes.Equal(first, value) {
			s.violate("%s took %q for chosen in slot %d after %q", who, value, slot, first)
		}
		return
	}
	s.chosen[slot] = value
	for next := uint64(len(s.digests)) + 1; s.chosen[next] != nil; next++ {
		s.digests = append(s.digests, xxhash.Sum64(binary.LittleEndian.AppendUint64(slices.Clone(s.chosen[next]), s.digest(next-1))))
	}
	if s.faultsEnded && s.target == 0 {
		s.target = slot
	}
}

func (s *sim) digest(version uint64) uint64 {
	if version == 0 || version > uint64(len(s.digests)) {
		return 0
	}
	return s.digests[version-1]
}

func (s *sim) latency(from, to *core) int64 {
	if from == to {
		return 0
	}
	if s.chance(s.faults.Delayed) && s.faultsActive() {
		return s.between(1, 2000)
	}
	return s.between(1, 20)
}
