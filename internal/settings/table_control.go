package settings

import (
	"time"
)

// coreRows concern the cores: their formation and their disks.
var coreRows = []Row{
	{
		Name:    "core.voters",
		Type:    Int,
		Unit:    "cores",
		Default: "3",
		Rule:    "1, 3, 5 or 7",
		Check:   oneOfInts(1, 3, 5, 7),
		Help:    "How many cores form the fleet; all of them must be blank and present at the first formation.",
	},
	{
		Name:    "core.front",
		Type:    Bool,
		Default: "true",
		Help:    "Whether a core also serves traffic as a front.",
	},
	{
		Name:    "core.join",
		Type:    Bool,
		Default: "false",
		Help:    "Whether a core with a blank disk that is none of the formation's takes the place of one that is gone.",
	},
	{
		Name:    "core.first",
		Type:    Bool,
		Default: "false",
		Help:    "Whether this is the fleet's first start, at which a core that joins founds the fleet and looks for no place.",
	},
	{
		Name:    "core.gone_after",
		Type:    Duration,
		Default: "1500ms",
		Rule:    "500ms to 1h",
		Check:   durationBetween(500*time.Millisecond, time.Hour),
		Help:    "How long a core of the formation must not answer until a core that joins takes its place.",
	},
	{
		Name: "data",
		Type: String,
		Help: "The folder that a core keeps its log and snapshots in.",
	},
	{
		Name: "first_sheet",
		Type: String,
		Help: "A sheet (JSON file) that this core offers at the first formation.",
	},
	{
		Name:    "disk.quota",
		Type:    Size,
		Default: "0",
		Rule:    "0 or more",
		Check:   minInt(0),
		Help:    "A bound on the bytes in the data folder, for proving what a full disk does; 0 for none.",
	},
	{
		Name:    "disk.sync_delay",
		Type:    Duration,
		Default: "0s",
		Rule:    "0s to 60s",
		Check:   durationBetween(0, 60*time.Second),
		Help:    "An added delay of every sync, for proving what a slow disk does.",
	},
	{
		Name:    "disk.segment",
		Type:    Size,
		Default: "4MiB",
		Rule:    "64KiB to 1GiB",
		Check:   sizeBetween(64<<10, 1<<30),
		Help:    "The size at which the log begins a new segment.",
	},
	{
		Name:    "snapshot.records",
		Type:    Int,
		Unit:    "records",
		Default: "1024",
		Rule:    "1 to 1000000",
		Check:   intBetween(1, 1000000),
		Help:    "The number of log records after which a snapshot is written.",
	},
}

// leaseRows concern leases and the spread of the configuration.
var leaseRows = []Row{
	{
		Name:       "lease.ttl",
		FormerName: "grant.ttl",
		Type:       Duration,
		Default:    "2s",
		Rule:       "100ms to 2s",
		Check:      durationBetween(100*time.Millisecond, 2*time.Second),
		Help:       "How long a lease holds after the renewal that gave it was sent; the same on every process.",
	},
	{
		Name:       "lease.renew",
		FormerName: "grant.renew",
		Type:       Duration,
		Default:    "500ms",
		Rule:       "10ms to 1s, under half of lease.ttl",
		Check:      durationBetween(10*time.Millisecond, time.Second),
		Help:       "How often a front renews its lease at every core.",
	},
	{
		Name:    "ping.interval",
		Type:    Duration,
		Default: "500ms",
		Rule:    "10ms to 1s, under half of lease.ttl",
		Check:   durationBetween(10*time.Millisecond, time.Second),
		Help:    "How often fronts ask each other for their epochs.",
	},
	{
		Name:    "feed.wait",
		Type:    Duration,
		Default: "1s",
		Rule:    "10ms to 30s",
		Check:   durationBetween(10*time.Millisecond, 30*time.Second),
		Help:    "How long a core holds a feed request open when nothing is new.",
	},
}

// planRows concern the servers' status and the period plan.
var planRows = []Row{
	{
		Name:  "platform.url",
		Type:  String,
		Rule:  "http://IP:PORT/...",
		Check: checkURL,
		Help:  "The platform's list of servers; without it a front knows only servers that others report.",
	},
	{
		Name:    "platform.interval",
		Type:    Duration,
		Default: "500ms",
		Rule:    "50ms to 10s",
		Check:   durationBetween(50*time.Millisecond, 10*time.Second),
		Help:    "How often a watcher reads the platform's list.",
	},
	{
		Name:    "platform.readers",
		Type:    Int,
		Unit:    "fronts in a region",
		Default: "3",
		Rule:    "1 to 64",
		Check:   intBetween(1, 64),
		Help:    "How many fronts of each region read the platform's list.",
	},
	{
		Name:    "platform.drain_within",
		Type:    Duration,
		Default: "0s",
		Rule:    "0s to 1h",
		Check:   durationBetween(0, time.Hour),
		Help:    "How soon after the platform's list shows that a server drains it must get nothing more; 0s where that is not known. With 5s and more the fronts of one region read the list, and those of others only when it was not read of late.",
	},
	{
		Name:    "watch.interval",
		Type:    Duration,
		Default: "500ms",
		Rule:    "50ms to 10s",
		Check:   durationBetween(50*time.Millisecond, 10*time.Second),
		Help:    "How often a watcher asks a server for its status.",
	},
	{
		Name:    "plan.period",
		Type:    Duration,
		Default: "5s",
		Rule:    "500ms to 1h",
		Check:   durationBetween(500*time.Millisecond, time.Hour),
		Help:    "How long a period plan stands unless a failure, drain or evacuation forces a new one.",
	},
}
