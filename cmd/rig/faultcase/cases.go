package faultcase

// Case injects one kind of fault.
type Case struct {
	Name      string
	Group     int // number in the users' list of what must never happen
	Help      string
	Seconds   int            // the usual length
	Configure func(*Options) // changes the options before the start; nil for none
	Run       func(*Run) error
}

// quotaGroup is the group of the cases about quotas.
const quotaGroup = 7

// ChecksQuotas reports whether the case is about quotas.
func (c Case) ChecksQuotas() bool { return c.Group == quotaGroup }

// Cases are all cases, in the order of their groups. Faults also have two other
// tables: those that the mix draws at random (randomFaults) and those that a
// scenario's file may name (faultTargets, caused by Run.causeFault). What a single
// server does wrong is in package emulator.
var Cases = []Case{
	{
		Name:    "shots_reset",
		Group:   1,
		Help:    "web servers reset kept-alive connections before reading, before and after running, truncate and cross answers",
		Seconds: 20,
		Run:     oneShotsReset,
	},
	{
		Name:    "shots_fronts",
		Group:   1,
		Help:    "fronts killed and frozen 5 s in the middle of one-shots",
		Seconds: 25,
		Run:     oneShotsThroughFaultyFronts,
	},
	{
		Name:    "shots_deadline",
		Group:   1,
		Help:    "dark web servers, full pending, deadlines that pass while waiting",
		Seconds: 25,
		Run:     oneShotsPastDeadline,
	},
	{
		Name:    "streams_faults",
		Group:   2,
		Help:    "model servers end early, leave out, repeat and cross events, answer under other ids",
		Seconds: 20,
		Run:     streamsFaults,
	},
	{
		Name:    "streams_crash",
		Group:   2,
		Help:    "model servers crash and go dark, fronts are killed, callers are slow or leave",
		Seconds: 25,
		Run:     streamsCrash,
	},
	{
		Name:    "orders_kills",
		Group:   3,
		Help:    "changes in quick succession with every core killed and restarted, then read back",
		Seconds: 40,
		Run:     ordersKills,
	},
	{
		Name:    "orders_wipe",
		Group:   3,
		Help:    "an acknowledged order followed at once by a wiped disk on one core, then on another after repair",
		Seconds: 40,
		Run:     ordersWipe,
	},
	{
		Name:      "orders_disk",
		Group:     3,
		Help:      "one core with a full disk, then one 2 s slow a sync, with torn tails",
		Seconds:   40,
		Configure: limitOneDisk,
		Run:       ordersDisk,
	},
	{
		Name:      "orders_disks",
		Group:     3,
		Help:      "one core with a full disk and one 2 s slow a sync at once",
		Seconds:   45,
		Configure: limitOneDisk,
		Run:       ordersDisks,
	},
	{
		Name:    "orders_race",
		Group:   3,
		Help:    "two operators on one base at all cores at once, with lost answers and cuts",
		Seconds: 30,
		Run:     ordersRace,
	},
	{
		Name:    "orders_invalid",
		Group:   3,
		Help:    "invalid and very large sheets among good ones",
		Seconds: 20,
		Run:     ordersInvalid,
	},
	{
		Name:    "force_node",
		Group:   4,
		Help:    "one node cut off in silence for 20 s while keys are revoked",
		Seconds: 40,
		Run:     partitionNode,
	},
	{
		Name:    "force_core",
		Group:   4,
		Help:    "one core cut off in silence for 20 s while keys are revoked",
		Seconds: 40,
		Run:     partitionCore,
	},
	{
		Name:    "force_zone",
		Group:   4,
		Help:    "a zone cut off in silence for 20 s while keys are revoked",
		Seconds: 40,
		Run:     partitionZone,
	},
	{
		Name:    "force_cores",
		Group:   4,
		Help:    "two cores and two fronts cut off from the rest in silence",
		Seconds: 40,
		Run:     partitionTwoCores,
	},
	{
		Name:    "force_freeze",
		Group:   4,
		Help:    "nodes frozen and thawed, restarted into a partition",
		Seconds: 40,
		Run:     freezeDuringChanges,
	},
	{
		Name:    "drain",
		Group:   5,
		Help:    "servers drain and leave, with a core and a front killed in the same second",
		Seconds: 30,
		Run:     drainServers,
	},
	{
		Name:    "evacuate",
		Group:   5,
		Help:    "a zone is evacuated and taken back, with a core and a front killed in the same second",
		Seconds: 35,
		Run:     evacuateZone,
	},
	{
		Name:      "cold_start",
		Group:     6,
		Help:      "all servers begin cold, model and web",
		Seconds:   25,
		Configure: startServersWarmingUp,
		Run:       serveDuringWarmUp,
	},
	{
		Name:    "cold",
		Group:   6,
		Help:    "a server comes back cold; a second one is lost right after",
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
		Help:    "a crowd tenfold at once; long prompts turn to long answers",
		Seconds: 30,
		Run:     burstOfCalls,
	},
	{
		Name:    "tally_tenfold",
		Group:   7,
		Help:    "one tenant asks tenfold, clients move between zones",
		Seconds: 50,
		Run:     quotaExcess,
	},
	{
		Name:      "tally_restart",
		Group:     7,
		Help:      "nodes killed and restarted in turn under excess demand, one clock wrong",
		Seconds:   50,
		Configure: stepOneClock,
		Run:       quotaRestarts,
	},
	{
		Name:    "tally_cut",
		Group:   7,
		Help:    "a region cut off under excess demand",
		Seconds: 50,
		Run:     quotaPartition,
	},
	{
		Name:    "rolling",
		Group:   8,
		Help:    "machines stopped and restarted in turn; each leaves by itself and cuts nothing",
		Seconds: 50,
		Run:     rollingRestart,
	},
	{
		Name:    "final_nodes",
		Group:   8,
		Help:    "half of the nodes killed at once",
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
		Help:    "one zone gone with its nodes and servers",
		Seconds: 30,
		Run:     finalZone,
	},
	{
		Name:    "final_region",
		Group:   8,
		Help:    "one region cut off",
		Seconds: 30,
		Run:     finalRegion,
	},
	{
		Name:    "final_rolling",
		Group:   8,
		Help:    "half of the nodes killed right after a rolling restart",
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

// Find returns a case by name.
func Find(name string) (Case, bool) {
	if name == RollingUpgrade.Name {
		return RollingUpgrade, true
	}
	for _, known := range Cases {
		if known.Name == name {
			return known, true
		}
	}
	return Case{}, false
}
