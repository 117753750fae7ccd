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
		Help:    "The number of cores that vote; the first formation needs as many cores with empty disks at the same time.",
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
		Help:    "Whether a core that has an empty disk and is not in the formation replaces a core that has failed, under its name.",
	},
	{
		Name:    "core.first",
		Type:    Bool,
		Default: "false",
		Help:    "Whether this is the first start of the fleet, at which a core with core.join helps to found the fleet instead of looking for a failed core to replace.",
	},
	{
		Name:    "core.gone_after",
		Type:    Duration,
		Default: "1500ms",
		Rule:    "500ms to 1h",
		Check:   durationBetween(500*time.Millisecond, time.Hour),
		Help:    "How long a core of the formation must have been unresponsive before a core with core.join may replace it.",
	},
	{
		Name: "data",
		Type: String,
		Help: "The folder in which a core keeps its log and snapshots.",
	},
	{
		Name: "first_sheet",
		Type: String,
		Help: "A JSON file with the sheet that this core proposes to a new formation.",
	},
	{
		Name:    "disk.quota",
		Type:    Size,
		Default: "0",
		Rule:    "0 or more",
		Check:   minInt(0),
		Help:    "The maximum number of bytes in the data folder, to test the effects of a full disk; 0 for none.",
	},
	{
		Name:    "disk.sync_delay",
		Type:    Duration,
		Default: "0s",
		Rule:    "0s to 60s",
		Check:   durationBetween(0, 60*time.Second),
		Help:    "A delay added to every sync of the disk, to test the effects of a slow disk.",
	},
	{
		Name:    "disk.segment",
		Type:    Size,
		Default: "4MiB",
		Rule:    "64KiB to 1GiB",
		Check:   sizeBetween(64<<10, 1<<30),
		Help:    "The size at which the log starts a new segment.",
	},
	{
		Name:    "snapshot.records",
		Type:    Int,
		Unit:    "records",
		Default: "1024",
		Rule:    "1 to 1000000",
		Check:   intBetween(1, 1000000),
		Help:    "The number of log records after which a snapshot is written; 16 MiB of records cause one earlier.",
	},
}

// leaseRows concern leases and the propagation of the configuration.
var leaseRows = []Row{
	{
		Name:       "lease.ttl",
		FormerName: "grant.ttl",
		Type:       Duration,
		Default:    "2s",
		Rule:       "100ms to 2s",
		Check:      durationBetween(100*time.Millisecond, 2*time.Second),
		Help:       "How long a lease is valid, counted from when its renewal was sent; the same on every process.",
	},
	{
		Name:       "lease.renew",
		FormerName: "grant.renew",
		Type:       Duration,
		Default:    "500ms",
		Rule:       "10ms to 1s, under half of lease.ttl",
		Check:      durationBetween(10*time.Millisecond, time.Second),
		Help:       "How often a front renews its lease at each core.",
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
		Help:    "How long a core holds a poll of the feed open while there is nothing new.",
	},
}

// planRows concern the servers' status and the period plan.
var planRows = []Row{
	{
		Name:  "platform.url",
		Type:  String,
		Rule:  "http://IP:PORT/...",
		Check: checkURL,
		Help:  "The URL of the platform's list of servers; without it a front knows only the servers that others report.",
	},
	{
		Name:    "platform.interval",
		Type:    Duration,
		Default: "500ms",
		Rule:    "50ms to 10s",
		Check:   durationBetween(50*time.Millisecond, 10*time.Second),
		Help:    "How often a front reads the platform's list; less often, within platform.drain_within, if a reading takes many calls.",
	},
	{
		Name:    "platform.readers",
		Type:    Int,
		Unit:    "fronts in a region",
		Default: "3",
		Rule:    "1 to 64",
		Check:   intBetween(1, 64),
		Help:    "The number of fronts in each region that read the platform's list.",
	},
	{
		Name:    "platform.drain_within",
		Type:    Duration,
		Default: "0s",
		Rule:    "0s to 1h",
		Check:   durationBetween(0, time.Hour),
		Help:    "The time within which a server must get no more requests after the platform's list shows that it drains; 0s if that is not known. From 5s on, only the fronts of one region read the list, and those of other regions read it only if it has not been read recently.",
	},
	{
		Name:    "watch.interval",
		Type:    Duration,
		Default: "500ms",
		Rule:    "50ms to 10s",
		Check:   durationBetween(50*time.Millisecond, 10*time.Second),
		Help:    "How often a front polls a server's status.",
	},
	{
		Name:    "plan.period",
		Type:    Duration,
		Default: "5s",
		Rule:    "500ms to 1h",
		Check:   durationBetween(500*time.Millisecond, time.Hour),
		Help:    "The time between two period plans, unless a failure, drain or evacuation forces one earlier.",
	},
}
