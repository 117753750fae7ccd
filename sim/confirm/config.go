package confirm

import "time"

// Times of the model.
const (
	tickMS         = 50
	renewTicks     = 10
	pingTicks      = 10
	viewRoundTicks = 6
	orderTicks     = 160
	// fetchTimeoutMS is after how long a front requests a state again.
	fetchTimeoutMS = 500
	// lapseMS is how long after an acknowledgement no front may serve by an older
	// version any more; leaseSlackMS after which none may by a lease.
	lapseMS      = 2500
	leaseSlackMS = 100
	ttl          = 2 * time.Second
	// foreverMS is a downtime longer than any run.
	foreverMS = 1 << 40
)

// Mutation is a rule that is left out, to show that the checker can fail.
type Mutation string

// Mutations. None is the protocol as designed.
const (
	None             Mutation = ""
	ConfirmedByPeer  Mutation = "a restarted front is confirmed by whoever gave it its state"
	AnyRefusalCounts Mutation = "a refusal counts without unbroken contact"
	NoRosterMajority Mutation = "an acknowledgement needs no majority of the roster"
	NoLeaseWait      Mutation = "an acknowledgement doesn't wait for leases"
	NoPriorRoster    Mutation = "a roster change holds at once"
	NoCatchUp        Mutation = "a restarted core gives leases before it has read from a majority"
	NoStartupGrace   Mutation = "a restarted core counts before its former leases lapsed"
	LeaseFromArrival Mutation = "a renewal counts from when it was answered"
	IgnoresOpenSlot  Mutation = "a core confirms a restarted front over an open ballot"
	TimeoutIsRefusal Mutation = "silence counts as a refusal"
)

// FaultWeights are the relative frequencies of the kinds of faults.
type FaultWeights struct {
	Kill     int
	KillMany int
	Freeze   int
	Split    int
	Isolate  int
	Links    int
	Core     int
	Remove   int
}

// Config configures a run. Chances are per tick.
type Config struct {
	Name string
	// Nodes are the members at the start; the first Cores of them are cores. Spares
	// are processes that join later.
	Nodes  int
	Spares int
	Cores  int
	// JoinMS is the span within which spares join; zero lets all join at once.
	JoinMS  int
	Seconds int
	// FaultChance and HealChance are for the fleet, OrderChance is for each core.
	FaultChance float64
	HealChance  float64
	OrderChance float64
	// LearnChance is that a core learns from another one, FinishChance that it
	// finishes an open slot.
	LearnChance  float64
	FinishChance float64
	// ClockDrift bounds the rate of clocks to 1 ± ClockDrift.
	ClockDrift float64
	// FixedLatency makes every message take one tick.
	FixedLatency bool
	FaultWeights FaultWeights
	// DowntimesMS are how long killed processes may stay down.
	DowntimesMS []int64
	Mutation    Mutation
}

// Mixes are the configurations that are simulated: a usual mix, about a fault in 4 s
// and a heal in 15 s; quick restarts with cores that learn slowly; links partitioned
// one by one; and a small fleet that more than doubles at once.
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
		FaultWeights: FaultWeights{Kill: 1, KillMany: 1, Freeze: 1, Split: 1, Isolate: 1, Links: 1, Core: 1, Remove: 1},
		DowntimesMS:  []int64{200, 1000, 5000, 15000, foreverMS},
	}
	restarts := usual
	restarts.Name = "restarts"
	restarts.FaultChance = 0.05
	restarts.HealChance = 0.02
	restarts.LearnChance = 0.04
	restarts.FaultWeights = FaultWeights{Kill: 4, KillMany: 4, Freeze: 1, Split: 2, Isolate: 1, Links: 3, Core: 5}
	restarts.DowntimesMS = []int64{100, 300, 1000, 2500}
	links := usual
	links.Name = "links"
	links.FaultChance = 0.03
	links.HealChance = 0.006
	links.FaultWeights = FaultWeights{Kill: 1, KillMany: 1, Freeze: 1, Split: 1, Links: 8, Core: 1, Remove: 1}
	growth := usual
	growth.Name = "growth"
	growth.Nodes = 5
	growth.Spares = 7
	growth.JoinMS = 0
	growth.Seconds = 40
	growth.FaultChance = 0.02
	growth.FaultWeights = FaultWeights{Kill: 1, Split: 5, Isolate: 1, Links: 2, Core: 1}
	return []Config{usual, restarts, links, growth}
}
