package faultcase

// Case injects one kind of fault.
type Case struct {
	Name      string
	Group     int // number of the forbidden outcome that the case tries to provoke, 1 to 8
	Help      string
	Seconds   int            // default length
	Configure func(*Options) // adjusts the options before the fleet starts; may be nil
	Run       func(*Run) error
}

// quotaGroup is the group of the cases about quotas.
const quotaGroup = 7

// ChecksQuotas reports whether the case is about quotas.
func (c Case) ChecksQuotas() bool { return c.Group == quotaGroup }

// Cases lists all cases in the order of their groups. Two other tables list faults:
// randomFaults, from which the case mix draws, and faultTargets, the kinds that a
// scenario file may name (applied by Run.applyFault). Package emulator implements
// the faults of a single server.
var Cases = []Case{
	{
		Name:    "shots_reset",
		Group:   1,
		Help:    "web servers reset kept-alive connections before reading, before and after running, truncate answers and send those of other requests",
		Seconds: 20,
		Run:     oneShotsReset,
	},
	{
		Name:    "shots_fronts",
		Group:   1,
		Help:    "fronts killed, and nodes frozen for 5 s, during one-shot requests",
		Seconds: 25,
		Run:     oneShotsThroughFaultyFronts,
	},
	{
		Name:    "shots_deadline",
		Group:   1,
		Help:    "unresponsive web servers, full queues, deadlines that expire in a queue",
		Seconds: 25,
		Run:     oneShotsPastDeadline,
	},
	{
		Name:    "streams_faults",
		Group:   2,
		Help:    "model servers end streams early, drop, repeat and mix up events, and answer under wrong ids",
		Seconds: 20,
		Run:     streamsFaults,
	},
	{
		Name:    "streams_crash",
		Group:   2,
		Help:    "model servers crash or stop responding, fronts are killed, callers read slowly or disconnect",
		Seconds: 25,
		Run:     streamsCrash,
	},
	{
		Name:    "orders_kills",
		Group:   3,
		Help:    "changes in quick succession while every core is killed and restarted, then read back",
		Seconds: 40,
		Run:     ordersKills,
	},
	{
		Name:    "orders_wipe",
		Group:   3,
		Help:    "each acknowledged order is followed at once by a wipe of one core's disk, a different core after each recovery",
		Seconds: 40,
		Run:     ordersWipe,
	},
	{
		Name:      "orders_disk",
		Group:     3,
		Help:      "one core with a full disk, then one whose syncs take 2 s, with torn log tails",
		Seconds:   40,
		Configure: limitDiskOfCore1,
		Run:       ordersDisk,
	},
	{
		Name:      "orders_disks",
		Group:     3,
		Help:      "one core with a full disk and one whose syncs take 2 s, at the same time",
		Seconds:   45,
		Configure: limitDiskOfCore1,
		Run:       ordersDisks,
	},
	{
		Name:    "orders_race",
		Group:   3,
		Help:    "two operators submit changes of the same base to all cores at once, with lost answers and partitions",
		Seconds: 30,
		Run:     ordersRace,
	},
	{
		Name:    "orders_invalid",
		Group:   3,
		Help:    "invalid sheets alternating with valid, very large ones",
		Seconds: 20,
		Run:     ordersInvalid,
	},
	{
		Name:    "force_node",
		Group:   4,
		Help:    "one node partitioned for 20 s, connections hang, while keys are revoked",
		Seconds: 40,
		Run:     partitionNode,
	},
	{
		Name:    "force_core",
		Group:   4,
		Help:    "one core partitioned for 20 s, connections hang, while keys are revoked",
		Seconds: 40,
		Run:     partitionCore,
	},
	{
		Name:    "force_zone",
		Group:   4,
		Help:    "one zone partitioned for 20 s, connections hang, while keys are revoked",
		Seconds: 40,
		Run:     partitionZone,
	},
	{
		Name:    "force_cores",
		Group:   4,
		Help:    "two cores and two fronts partitioned from the rest, connections hang",
		Seconds: 40,
		Run:     partitionTwoCores,
	},
	{
		Name:    "force_freeze",
		Group:   4,
		Help:    "nodes frozen and resumed, others restarted in a partition",
		Seconds: 40,
		Run:     freezeDuringChanges,
	},
	{
		Name:    "drain",
		Group:   5,
		Help:    "servers drain and leave, and a core and a front are killed in the same second",
		Seconds: 30,
		Run:     drainServers,
	},
	{
		Name:    "evacuate",
		Group:   5,
		Help:    "a zone is evacuated and restored, and a core and a front are killed in the same second as the evacuation",
		Seconds: 35,
		Run:     evacuateZone,
	},
	{
		Name:      "cold_start",
		Group:     6,
		Help:      "all model and web servers start cold",
		Seconds:   25,
		Configure: startServersWarmingUp,
		Run:       serveDuringWarmUp,
	},
	{
		Name:    "cold",
		Group:   6,
		Help:    "a server returns cold and a second one crashes while the first warms up",
		Seconds: 40,
		Run:     crashDuringWarmUp,
	},
	{
		Name:    "replace",
		Group:   6,
		Help:    "all model servers of a zone replaced one after another",
		Seconds: 40,
		Run:     replaceZoneServers,
	},
	{
		Name:    "crowd",
		Group:   6,
		Help:    "a sudden tenfold load, then a shift to long answers",
		Seconds: 30,
		Run:     burstOfCalls,
	},
	{
		Name:    "tally_tenfold",
		Group:   7,
		Help:    "one tenant sends tenfold load, callers move between zones",
		Seconds: 50,
		Run:     quotaExcess,
	},
	{
		Name:      "tally_restart",
		Group:     7,
		Help:      "nodes killed and restarted in turn under excess demand, one clock wrong by 37 s",
		Seconds:   50,
		Configure: stepOneClock,
		Run:       quotaRestarts,
	},
	{
		Name:    "tally_cut",
		Group:   7,
		Help:    "a region partitioned under excess demand",
		Seconds: 50,
		Run:     quotaPartition,
	},
	{
		Name:    "rolling",
		Group:   8,
		Help:    "nodes stopped and restarted in turn; each must exit cleanly and break no stream",
		Seconds: 50,
		Run:     rollingRestart,
	},
	{
		Name:    "final_nodes",
		Group:   8,
		Help:    "four of nine nodes killed at once",
		Seconds: 30,
		Run:     finalNodes,
	},
	{
		Name:    "final_cores",
		Group:   8,
		Help:    "two of three cores killed",
		Seconds: 30,
		Run:     finalCores,
	},
	{
		Name:    "final_zone",
		Group:   8,
		Help:    "all nodes and servers of one zone killed",
		Seconds: 30,
		Run:     finalZone,
	},
	{
		Name:    "final_region",
		Group:   8,
		Help:    "one region partitioned",
		Seconds: 30,
		Run:     finalRegion,
	},
	{
		Name:    "final_rolling",
		Group:   8,
		Help:    "four of nine nodes killed after a rolling restart",
		Seconds: 60,
		Run:     finalRolling,
	},
	{
		Name:    "final_all_cores",
		Group:   8,
		Help:    "all cores killed",
		Seconds: 30,
		Run:     finalAllCores,
	},
}

// Find returns the case of Cases with a name, or RollingUpgrade.
func Find(name string) (Case, bool) {
	if name == RollingUpgrade.Name {
		return RollingUpgrade, true
	}
	for _, candidate := range Cases {
		if candidate.Name == name {
			return candidate, true
		}
	}
	return Case{}, false
}
