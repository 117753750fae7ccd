package settings

import (
	"time"
)

// identityRows name the process and say where it runs.
var identityRows = []Row{
	{
		Name:  "name",
		Type:  String,
		Rule:  "letters, digits, '-', '_' and '.', at most 64",
		Check: checkName,
		Help:  "The process's name, unique in the fleet and kept over restarts.",
	},
	{
		Name:  "region",
		Type:  String,
		Rule:  "letters, digits, '-' and '_', at most 64 bytes",
		Check: checkSheetName,
		Help:  "The region that the process stands in.",
	},
	{
		Name:  "zone",
		Type:  String,
		Rule:  "letters, digits, '-' and '_', at most 64 bytes",
		Check: checkSheetName,
		Help:  "The zone within the region; region and zone together are the locality.",
	},
}

// addressRows concern listeners, the fleet's other processes and secrets.
var addressRows = []Row{
	{
		Name:  "listen.caller",
		Type:  String,
		Rule:  "IP:PORT",
		Check: checkAddress,
		Help:  "Where callers, operators and the platform reach this process.",
	},
	{
		Name:  "listen.internal",
		Type:  String,
		Rule:  "IP:PORT",
		Check: checkAddress,
		Help:  "Where the fleet's other processes reach this process.",
	},
	{
		Name:  "advertise.caller",
		Type:  String,
		Rule:  "IP:PORT, not a wildcard",
		Check: checkAdvertised,
		Help:  "The caller address told to others; listen.caller when empty.",
	},
	{
		Name:  "advertise.internal",
		Type:  String,
		Rule:  "IP:PORT, not a wildcard",
		Check: checkAdvertised,
		Help:  "The internal address told to others; listen.internal when empty.",
	},
	{
		Name:  "bind",
		Type:  String,
		Rule:  "IP",
		Check: checkIP,
		Help:  "The source address of the connections that this process opens; the system's choice when empty.",
	},
	{
		Name:  "seeds",
		Type:  List,
		Rule:  "IP:PORT each",
		Check: checkAddresses,
		Help:  "Internal addresses of other processes, of any role; three are usual.",
	},
	{
		Name:   "fleet.secret",
		Type:   String,
		Secret: true,
		Rule:   "at least 16 characters",
		Check:  minLength(16),
		Help:   "The secret that every process of the fleet shows to the others; @FILE reads it from a file.",
	},
	{
		Name:   "operator.keys",
		Type:   List,
		Secret: true,
		Rule:   "NAME:SHA256HEX each",
		Check:  checkOperatorKeys,
		Help:   "The operators and the SHA-256 of each one's key, in hexadecimal.",
	},
}

// processRows concern the process itself.
var processRows = []Row{
	{
		Name:    "memory.gc",
		Type:    Int,
		Unit:    "percent",
		Default: "100",
		Rule:    "5 to 1000",
		Check:   intBetween(5, 1000),
		Help:    "By how much of what is in use the heap may grow until it is collected, in percent: less takes less memory and more processor time.",
	},
	{
		Name:    "memory.limit",
		Type:    Size,
		Default: "0",
		Rule:    "0 or more",
		Check:   minInt(0),
		Help:    "The memory of the Go runtime above which garbage is collected sooner than memory.gc says; 0 for none. The process may still use more.",
	},
	{
		Name:    "log.level",
		Type:    String,
		Default: "info",
		Rule:    "debug, info, warn or error",
		Check:   oneOf("debug", "info", "warn", "error"),
		Help:    "The lowest level of event that is logged.",
	},
	{
		Name:    "clock.step",
		Type:    Duration,
		Default: "0s",
		Rule:    "-24h to 24h",
		Check:   durationBetween(-24*time.Hour, 24*time.Hour),
		Help:    "An added step of this process's wall clock, for proving what a wrong clock does.",
	},
}
