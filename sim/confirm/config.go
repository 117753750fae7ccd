package confirm

import "time"

// Times of the simulation. Constants in ticks are multiples of tickMS.
const (
	tickMS                 = 50
	renewIntervalTicks     = 10
	pingIntervalTicks      = 10
	viewRoundDurationTicks = 6
	orderTimeoutTicks      = 160
	// fetchTimeoutMS is how long a front waits for a state before it requests one again.
	fetchTimeoutMS = 500
	leaseTTL       = 2 * time.Second
	// outdatedLeaseLimitMS is how long after the acknowledgement of a version a front may
	// still serve with an older one by a lease, or by any authority if the others were
	// fenced; clocks drift by that much.
	outdatedLeaseLimitMS = 100
	// outdatedServingLimitMS is the limit for a front that serves by answers of the roster
	// from before the acknowledgement, which expire after a TTL.
	outdatedServingLimitMS = int64(leaseTTL/time.Millisecond) + outdatedLeaseLimitMS
	// foreverMS is longer than any run.
	foreverMS = 1 << 40
)

// Mutation is a disabled rule of the protocol, described by the resulting fault.
type Mutation string

// Mutations. None is the unmodified protocol.
const (
	None             Mutation = ""
	ConfirmedByPeer  Mutation = "a restarted front is confirmed by the peer that sent it the state"
	RefusalIsRelease Mutation = "a refused connection ends the lease"
	NoRosterMajority Mutation = "an acknowledgement requires no majority of the roster"
	NoFenceWait      Mutation = "an acknowledgement does not wait until other fronts are fenced"
	NoFenceGrace     Mutation = "a restarted core knows at once which fronts are fenced"
	ShortCoreLease   Mutation = "the durations of the cores are a fifth shorter than those of the fronts"
	NoLeaseWait      Mutation = "an acknowledgement does not wait for unconfirmed leases"
	NoPriorRoster    Mutation = "a roster change takes effect without confirmation by the prior roster"
	NoCatchUp        Mutation = "a restarted core grants leases before it has read from a majority"
	NoStartupGrace   Mutation = "a restarted core counts before the leases that it granted have expired"
	LeaseFromArrival Mutation = "a lease is timed from the arrival of the answer"
	IgnoreOpenSlot   Mutation = "a core confirms a restarted front despite an accepted slot that it has not learned"
)

// FaultWeights holds the relative frequencies of the kinds of faults.
type FaultWeights struct {
	Kill           int
	KillSeveral    int
	Freeze         int
	Partition      int
	Isolate        int
	PartitionLinks int
	RestartCore    int
	RemoveMembers  int
	Leave          int
	ChangeRefusals int
}

// Config configures a run. Chances are probabilities per tick.
type Config struct {
	Name string
	// Nodes is the number of nodes at the start, of which the first Cores are cores.
	// Spares is the number of nodes that join later.
	Nodes  int
	Spares int
	Cores  int
	// JoinMS is the length of the period in which spares join; zero lets all join at
	// the same instant.
	JoinMS  int
	Seconds int
	// FaultChance and HealChance apply to the fleet, OrderChance to each core.
	FaultChance float64
	HealChance  float64
	OrderChance float64
	// LearnChance is the chance that a core learns from another one, FinishChance the
	// chance that it finishes an open slot.
	LearnChance  float64
	FinishChance float64
	// ClockDrift is the maximum deviation of a clock rate from 1.
	ClockDrift float64
	// FixedLatency makes every message take one tick.
	FixedLatency bool
	FaultWeights FaultWeights
	// DowntimesMS holds the downtimes from which that of a killed process is drawn.
	DowntimesMS []int64
	Mutation    Mutation
}

// Mixes returns the simulated configurations: a usual mix with about one fault in 4 s
// and one heal in 15 s; quick restarts with cores that learn slowly; individually
// partitioned links; and a small fleet that more than doubles at one instant.
func Mixes() []Config {
	usual := Config{
		Name:         "usual",
		Nodes:        9,
		Spares:       2,
		Cores:        3,
		JoinMS:       30000,
		Seconds:      60,
		FaultChance:  0.0125,
		HealChance:   0.0033,
		OrderChance:  0.015,
		LearnChance:  0.5,
		FinishChance: 0.05,
		ClockDrift:   0.002,
		FaultWeights: FaultWeights{Kill: 1, KillSeveral: 1, Freeze: 1, Partition: 1, Isolate: 1, PartitionLinks: 1, RestartCore: 1, RemoveMembers: 1, Leave: 1, ChangeRefusals: 1},
		DowntimesMS:  []int64{200, 1000, 5000, 15000, foreverMS},
	}
	restarts := usual
	restarts.Name = "restarts"
	restarts.FaultChance = 0.05
	restarts.HealChance = 0.02
	restarts.LearnChance = 0.04
	restarts.FaultWeights = FaultWeights{Kill: 4, KillSeveral: 4, Freeze: 1, Partition: 2, Isolate: 1, PartitionLinks: 3, RestartCore: 5, Leave: 3, ChangeRefusals: 1}
	restarts.DowntimesMS = []int64{100, 300, 1000, 2500}
	links := usual
	links.Name = "links"
	links.FaultChance = 0.03
	links.HealChance = 0.006
	links.FaultWeights = FaultWeights{Kill: 1, KillSeveral: 1, Freeze: 1, Partition: 1, PartitionLinks: 8, RestartCore: 1, RemoveMembers: 1, Leave: 1, ChangeRefusals: 3}
	growth := usual
	growth.Name = "growth"
	growth.Nodes = 5
	growth.Spares = 7
	growth.JoinMS = 0
	growth.Seconds = 40
	growth.FaultChance = 0.02
	growth.FaultWeights = FaultWeights{Kill: 1, Partition: 5, Isolate: 1, PartitionLinks: 2, RestartCore: 1, Leave: 1, ChangeRefusals: 1}
	return []Config{usual, restarts, links, growth}
}
