package settings

import (
	"time"
)

// identityRows concern the process's name and location.
var identityRows = []Row{
	{
		Name:  "name",
		Type:  String,
		Rule:  "letters, digits, '-', '_' and '.', at most 64",
		Check: checkName,
		Help:  "The process's name, unique in the fleet and the same after each restart.",
	},
	{
		Name:  "region",
		Type:  String,
		Rule:  "letters, digits, '-' and '_', at most 64 bytes",
		Check: checkSheetName,
		Help:  "The region in which the process runs.",
	},
	{
		Name:  "zone",
		Type:  String,
		Rule:  "letters, digits, '-' and '_', at most 64 bytes",
		Check: checkSheetName,
		Help:  "The zone of the region in which the process runs; region and zone together are the locality.",
	},
}

// addressRows concern listeners, the fleet's other processes and secrets.
var addressRows = []Row{
	{
		Name:  "listen.caller",
		Type:  String,
		Rule:  "IP:PORT",
		Check: checkAddress,
		Help:  "The address on which callers, operators and the platform reach this process.",
	},
	{
		Name:  "listen.internal",
		Type:  String,
		Rule:  "IP:PORT",
		Check: checkAddress,
		Help:  "The address on which the fleet's other processes reach this process.",
	},
	{
		Name:  "advertise.caller",
		Type:  String,
		Rule:  "IP:PORT, not a wildcard",
		Check: checkAdvertised,
		Help:  "The caller address that this process gives to others; listen.caller when empty.",
	},
	{
		Name:  "advertise.internal",
		Type:  String,
		Rule:  "IP:PORT, not a wildcard",
		Check: checkAdvertised,
		Help:  "The internal address that this process gives to others; listen.internal when empty.",
	},
	{
		Name:  "bind",
		Type:  String,
		Rule:  "IP",
		Check: checkIP,
		Help:  "The source address of the connections that this process opens; chosen by the system when empty.",
	},
	{
		Name:  "seeds",
		Type:  List,
		Rule:  "IP:PORT each",
		Check: checkAddresses,
		Help:  "Internal addresses of some other processes of the fleet, of any role; usually three.",
	},
	{
		Name:   "fleet.secret",
		Type:   String,
		Secret: true,
		Rule:   "at least 16 characters",
		Check:  minLength(16),
		Help:   "The secret with which the processes of the fleet authenticate to each other; @FILE reads it from a file.",
	},
	{
		Name:   "operator.keys",
		Type:   List,
		Secret: true,
		Rule:   "NAME:SHA256HEX each",
		Check:  checkOperatorKeys,
		Help:   "The operators' names, each with the SHA-256 of the operator's key in hexadecimal.",
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
		Help:    "By how many percent of the memory in use the heap may grow before garbage is collected: a lower value saves memory and costs processor time.",
	},
	{
		Name:    "memory.limit",
		Type:    Size,
		Default: "0",
		Rule:    "0 or more",
		Check:   minInt(0),
		Help:    "The memory of the Go runtime above which garbage is collected earlier than memory.gc requires; 0 for none. The process may exceed it.",
	},
	{
		Name:    "log.level",
		Type:    String,
		Default: "info",
		Rule:    "debug, info, warn or error",
		Check:   oneOf("debug", "info", "warn", "error"),
		Help:    "The lowest level of events that are logged.",
	},
	{
		Name:    "clock.step",
		Type:    Duration,
		Default: "0s",
		Rule:    "-24h to 24h",
		Check:   durationBetween(-24*time.Hour, 24*time.Hour),
		Help:    "An offset added to this process's wall clock, to test the effects of a wrong clock.",
	},
}
