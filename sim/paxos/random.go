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

// Faults configures a random run. Times are virtual.
type Faults struct {
	Cores                int     // zero means 3
	FaultsFromMS         int64   // start of the faults and losses, after the cores have formed
	FaultsUntilMS        int64   // end of the faults, after which the cores must agree
	LossProbability      float64 // that a message is lost
	DuplicateProbability float64 // that a request is delivered twice
	FaultIntervalMS      int64   // mean time between faults: a crash, a wipe, a partition or a slow disk
	WipeFraction         float64 // fraction of crashes that lose the disk
	DelayedFraction      float64 // fraction of messages that take up to 2 s
	ProposalTimeoutMS    int64   // how long a proposer waits for answers
	OverlappingWipes     bool    // one more disk may be lost than the recovery tolerates
	ReplaceProcesses     bool    // a wiped core is replaced by a new process while the old one keeps its disk and continues
	Flaw                 Flaw    // NoFlaw, IncarnationForgotten, VoteWithoutRecovery or SharedIncarnation
}

// Outcome is the result of a random run.
type Outcome struct {
	Chosen          int // number of slots with a chosen value
	Crashes         int
	Wipes           int
	Snapshots       int
	Events          int
	QuorumMayBeLost bool // too many disks may be lost at once for a recovery; agreement is not required
	Violation       string
}

const (
	compactionSlots       = 12 // chosen slots in memory above which the state is compacted
	compactionRecords     = 40 // log records above which the log is compacted, if no action waits for a sync
	busyCompactionRecords = 200
	randomStream          = 7      // second half of the generator's seed
	agreementTimeoutMS    = 20_000 // time after the last fault within which the cores must agree
	recoveryTimeoutMS     = 600
	probeGraceMS          = 80 // time that a core of a formation of five waits for all answers to its probes
)

// Run simulates one seed. Cores found a formation and agree on commands while messages
// are lost, duplicated and reordered, processes crash between an append and its sync,
// disks are lost and links are partitioned. After the faults end, all cores must agree.
func Run(seed uint64, faults Faults) Outcome {
	if faults.Cores == 0 {
		faults.Cores = len(modelCoreNames)
	}
	s := &simulation{
		random:    rand.New(rand.NewPCG(seed, randomStream)),
		faults:    faults,
		chosen:    map[uint64][]byte{},
		coreNames: fiveCoreNames[:faults.Cores],
		detached:  make([]*core, faults.Cores),
	}
	for i, name := range s.coreNames {
		s.cores = append(s.cores, &core{sim: s, index: i, state: paxos.BlankState(name)})
	}
	for _, c := range s.cores {
		s.start(c)
	}
	s.scheduleAfter(faults.FaultsFromMS+s.randomBetween(1, faults.FaultIntervalMS), s.injectFault)
	s.scheduleAfter(faults.FaultsUntilMS, s.endFaults)
	s.runEvents()
	s.outcome.Chosen = len(s.chosen)
	if s.outcome.Violation == "" && !s.outcome.QuorumMayBeLost && !s.allAgree() {
		s.recordViolation("the cores do not agree %d ms after the last fault: %s", agreementTimeoutMS, s.summary())
	}
	return s.outcome
}

// runEvents runs the scheduled events until all cores agree after the last fault, a
// rule is violated or agreementTimeoutMS is over.
func (s *simulation) runEvents() {
	for s.outcome.Violation == "" && s.nowMS < s.faults.FaultsUntilMS+agreementTimeoutMS {
		if _, ok := s.events.NextTime(); !ok {
			return
		}
		instant, action := s.events.Pop()
		s.nowMS = instant
		s.outcome.Events++
		action()
		if s.nowMS > s.faults.FaultsUntilMS && s.allAgree() {
			return
		}
	}
}

// fiveCoreNames are the names of the cores of the largest random run.
var fiveCoreNames = []string{"a", "b", "c", "d", "e"}

// simulation is one random run.
type simulation struct {
	random      *rand.Rand
	faults      Faults
	nowMS       int64
	events      eventqueue.Queue[int64] // by virtual time in ms
	coreNames   []string
	cores       []*core
	detached    []*core // by core index, the replaced process that still runs under the name; nil if none
	partitioned [5][5]bool
	chosen      map[uint64][]byte
	digests     []uint64 // digests[i] covers the chosen commands of slots 1 to i+1
	faultsEnded bool     // no further faults and losses
	targetSlot  uint64   // first slot chosen after the faults, which all cores must learn; zero until then
	outcome     Outcome
}

// faultsActive reports whether messages may now be lost or delayed by a fault.
func (s *simulation) faultsActive() bool { return s.nowMS >= s.faults.FaultsFromMS && !s.faultsEnded }

func (s *simulation) randomBetween(low, high int64) int64 {
	return low + s.random.Int64N(max(high-low, 1))
}
func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

func (s *simulation) scheduleAfter(ms int64, action func()) {
	s.events.Schedule(s.nowMS+ms, action)
}

func (s *simulation) recordViolation(format string, args ...any) {
	if s.outcome.Violation == "" {
		s.outcome.Violation = fmt.Sprintf("at %d ms: ", s.nowMS) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) summary() string {
	text := ""
	for _, c := range s.cores {
		text += fmt.Sprintf("%s %s learned %d; ", c.state.Self, c.state.Standing(), c.state.HighestLearnedSlot())
	}
	return text
}

// allAgree reports whether all cores vote and have learned targetSlot.
func (s *simulation) allAgree() bool {
	if !s.faultsEnded || s.targetSlot == 0 {
		return false
	}
	for _, c := range s.cores {
		if c.state.Incarnation() == 0 || c.state.HighestLearnedSlot() < s.targetSlot {
			return false
		}
	}
	return true
}

// injectFault injects a random fault and schedules the next one.
func (s *simulation) injectFault() {
	if s.faultsEnded {
		return
	}
	c := s.cores[s.random.IntN(len(s.cores))]
	switch s.random.IntN(4) {
	case 0, 1:
		if c.running {
			s.crash(c)
		}
	case 2:
		from := s.random.IntN(len(s.cores))
		to := s.random.IntN(len(s.cores))
		s.partitioned[from][to] = true
		if s.chance(0.5) {
			s.partitioned[to][from] = true
		}
		s.scheduleAfter(s.randomBetween(1, 3000), func() {
			s.partitioned[from][to] = false
			s.partitioned[to][from] = false
		})
	case 3:
		c.extraSyncMS = s.randomBetween(0, 1500)
		s.scheduleAfter(s.randomBetween(1, 3000), func() { c.extraSyncMS = 0 })
	}
	s.scheduleAfter(s.randomBetween(1, 2*s.faults.FaultIntervalMS), s.injectFault)
}

// endFaults ends all faults and the detached processes.
func (s *simulation) endFaults() {
	s.faultsEnded = true
	s.partitioned = [5][5]bool{}
	for _, c := range s.cores {
		c.extraSyncMS = 0
	}
	for _, old := range s.detached {
		if old != nil {
			old.running = false
		}
	}
}

// crash ends a process and schedules its restart. The disk is lost or keeps a random
// number of the records that were not synced.
func (s *simulation) crash(c *core) {
	s.outcome.Crashes++
	c.running = false
	c.processIncarnation++
	if s.chance(s.faults.WipeFraction) && s.canWipe(c) {
		s.outcome.Wipes++
		if s.faults.ReplaceProcesses {
			s.detach(c)
		}
		c.loseDisk()
	} else {
		c.log = c.log[:s.random.IntN(len(c.log)-c.syncedRecords+1)+c.syncedRecords]
	}
	s.scheduleAfter(s.randomBetween(1, 600), func() { s.start(c) })
}

// detach restarts the crashed process on its old disk, while another process takes its
// name with a blank disk.
func (s *simulation) detach(c *core) {
	kept := s.random.IntN(len(c.log)-c.syncedRecords+1) + c.syncedRecords
	old := &core{sim: s, index: c.index, base: c.base, log: slices.Clone(c.log[:kept]), processIncarnation: 1 << 20}
	if last := s.detached[c.index]; last != nil {
		last.running = false
		old.processIncarnation = last.processIncarnation + 1
	}
	s.detached[c.index] = old
	s.scheduleAfter(s.randomBetween(1, 600), func() {
		if !s.faultsEnded && s.detached[c.index] == old {
			s.start(old)
		}
	})
}

// receiver returns the process that a message to a name reaches. If a detached process
// also runs under the name, it is either of the two at random.
func (s *simulation) receiver(from, to *core) *core {
	old := s.detached[to.index]
	if from.index == to.index || old == nil || !old.running || s.chance(0.5) {
		return to
	}
	return old
}

// canWipe reports whether a core may lose its disk. A majority must keep theirs, unless
// OverlappingWipes is set.
func (s *simulation) canWipe(c *core) bool {
	blank := 0
	for _, other := range s.cores {
		if other != c && (other.durableState().Incarnation() == 0) {
			blank++
		}
	}
	tolerated := len(s.cores) - paxos.State{Voters: s.coreNames}.Quorum()
	if blank == tolerated && s.faults.OverlappingWipes && c.durableState().Incarnation() != 0 && len(s.chosen) > 0 {
		s.outcome.QuorumMayBeLost = true
		return true
	}
	return blank < tolerated
}

// checkChosen checks that no other value was chosen in the slot before.
func (s *simulation) checkChosen(coreName string, slot uint64, value []byte) {
	if first, learnedBefore := s.chosen[slot]; learnedBefore {
		if !bytes.Equal(first, value) {
			s.recordViolation("%s learned %q as chosen in slot %d after %q was chosen", coreName, value, slot, first)
		}
		return
	}
	s.chosen[slot] = value
	for next := uint64(len(s.digests)) + 1; s.chosen[next] != nil; next++ {
		s.digests = append(s.digests, xxhash.Sum64(binary.LittleEndian.AppendUint64(slices.Clone(s.chosen[next]), s.digest(next-1))))
	}
	if s.faultsEnded && s.targetSlot == 0 {
		s.targetSlot = slot
	}
}

// digest returns the digest of the chosen commands up to a slot, or zero if one of them
// is not known.
func (s *simulation) digest(slot uint64) uint64 {
	if slot == 0 || slot > uint64(len(s.digests)) {
		return 0
	}
	return s.digests[slot-1]
}

// latency draws the duration of a message in ms.
func (s *simulation) latency(from, to *core) int64 {
	if from == to {
		return 0
	}
	if s.chance(s.faults.DelayedFraction) && s.faultsActive() {
		return s.randomBetween(1, 2000)
	}
	return s.randomBetween(1, 20)
}
