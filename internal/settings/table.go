// Package settings holds the one table of settings. The settings file, the
// flags, the run-time settings of the sheet and docs/SETTINGS.md all come
// from it.
package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Type names how a setting's text is read.
type Type string

// Types of settings. A size is a number of bytes with an optional unit (KiB,
// MiB, GiB); a duration has a unit (500ms, 2s); a list is separated by commas
// or written as a sequence in the file.
const (
	String   Type = "string"
	Int      Type = "int"
	Float    Type = "float"
	Duration Type = "duration"
	Bool     Type = "bool"
	Size     Type = "size"
	List     Type = "list"
)

// Row is one setting.
type Row struct {
	Name    string
	Type    Type
	Default string
	// Rule says in words what Check holds the value to.
	Rule string
	// Check gets the typed value: string, int, float64, time.Duration, bool
	// or []string; a size is an int. It may be nil.
	Check func(value any) error
	Help  string
	// Runtime settings may be set in the sheet and then change while the
	// fleet runs.
	Runtime bool
	// Secret values are never printed.
	Secret bool
	// Former is a name that the setting had before; it still works in a settings
	// file or as a flag, and the process says so by an event.
	Former string
}

// Table is the table of settings, in the order of the docs.
var Table = []Row{
	{Name: "name", Type: String, Rule: "letters, digits, '-', '_' and '.', at most 64", Check: checkName,
		Help: "The process's name, unique in the fleet and kept over restarts."},
	{Name: "region", Type: String, Rule: "letters, digits, '-' and '_', at most 64 bytes", Check: checkPlace,
		Help: "The region that the process stands in."},
	{Name: "zone", Type: String, Rule: "letters, digits, '-' and '_', at most 64 bytes", Check: checkPlace,
		Help: "The zone within the region; region and zone together are the locality."},

	{Name: "listen.caller", Type: String, Rule: "IP:PORT", Check: checkAddress,
		Help: "Where callers, operators and the platform reach this process."},
	{Name: "listen.internal", Type: String, Rule: "IP:PORT", Check: checkAddress,
		Help: "Where the fleet's other processes reach this process."},
	{Name: "advertise.caller", Type: String, Rule: "IP:PORT, not a wildcard", Check: checkAdvertised,
		Help: "The caller address told to others; listen.caller when empty."},
	{Name: "advertise.internal", Type: String, Rule: "IP:PORT, not a wildcard", Check: checkAdvertised,
		Help: "The internal address told to others; listen.internal when empty."},
	{Name: "bind", Type: String, Rule: "IP", Check: checkIP,
		Help: "The source address of the connections that this process opens; the system's choice when empty."},
	{Name: "seeds", Type: List, Rule: "IP:PORT each", Check: checkAddresses,
		Help: "Internal addresses of other processes, of any role; three are usual."},
	{Name: "fleet.secret", Type: String, Secret: true, Rule: "at least 16 characters", Check: atLeastLong(16),
		Help: "The secret that every process of the fleet shows to the others; @FILE reads it from a file."},
	{Name: "operator.keys", Type: List, Secret: true, Rule: "NAME:SHA256HEX each", Check: checkOperatorKeys,
		Help: "The operators and the SHA-256 of each one's key, in hexadecimal."},

	{Name: "core.voters", Type: Int, Default: "3", Rule: "1, 3, 5 or 7", Check: oneOfInts(1, 3, 5, 7),
		Help: "How many cores form the fleet; all of them must be blank and present at the first formation."},
	{Name: "core.front", Type: Bool, Default: "true",
		Help: "Whether a core also serves traffic as a front."},
	{Name: "core.join", Type: Bool, Default: "false",
		Help: "Whether a core with a blank disk that is none of the formation's takes the place of one that is gone."},
	{Name: "core.first", Type: Bool, Default: "false",
		Help: "Whether this is the fleet's first start, at which a core that joins founds the fleet and looks for no place."},
	{Name: "core.gone_after", Type: Duration, Default: "1500ms", Rule: "500ms to 1h", Check: within(500*time.Millisecond, time.Hour),
		Help: "How long a core of the formation must not answer until a core that joins takes its place."},
	{Name: "data", Type: String,
		Help: "The folder that a core keeps its log and snapshots in."},
	{Name: "first_sheet", Type: String,
		Help: "A sheet (JSON file) that this core offers at the first formation."},
	{Name: "disk.quota", Type: Size, Default: "0", Rule: "0 or more", Check: atLeast(0),
		Help: "A bound on the bytes in the data folder, for proving what a full disk does; 0 for none."},
	{Name: "disk.sync_delay", Type: Duration, Default: "0s", Rule: "0s to 60s", Check: within(0, 60*time.Second),
		Help: "An added delay of every sync, for proving what a slow disk does."},
	{Name: "disk.segment", Type: Size, Default: "4MiB", Rule: "64KiB to 1GiB", Check: sized(64<<10, 1<<30),
		Help: "The size at which the log begins a new segment."},
	{Name: "snapshot.records", Type: Int, Default: "1024", Rule: "1 to 1000000", Check: counted(1, 1000000),
		Help: "The number of log records after which a snapshot is written."},

	{Name: "lease.ttl", Former: "grant.ttl", Type: Duration, Default: "2s", Rule: "100ms to 2s", Check: within(100*time.Millisecond, 2*time.Second),
		Help: "How long a lease holds after the renewal that gave it was sent; the same on every process."},
	{Name: "lease.renew", Former: "grant.renew", Type: Duration, Default: "500ms", Rule: "10ms to 1s, under half of lease.ttl", Check: within(10*time.Millisecond, time.Second),
		Help: "How often a front renews its lease at every core."},
	{Name: "ping.interval", Type: Duration, Default: "500ms", Rule: "10ms to 1s, under half of lease.ttl", Check: within(10*time.Millisecond, time.Second),
		Help: "How often fronts ask each other for their epochs."},
	{Name: "feed.wait", Type: Duration, Default: "1s", Rule: "10ms to 30s", Check: within(10*time.Millisecond, 30*time.Second),
		Help: "How long a core holds a feed request open when nothing is new."},

	{Name: "platform.url", Type: String, Rule: "http://IP:PORT/...", Check: checkURL,
		Help: "The platform's list of servers; without it a front knows only servers that others report."},
	{Name: "platform.interval", Type: Duration, Default: "500ms", Rule: "50ms to 10s", Check: within(50*time.Millisecond, 10*time.Second),
		Help: "How often a watcher reads the platform's list."},
	{Name: "platform.readers", Type: Int, Default: "3", Rule: "1 to 64", Check: counted(1, 64),
		Help: "How many fronts of each region read the platform's list."},
	{Name: "platform.drain_within", Type: Duration, Default: "0s", Rule: "0s to 1h", Check: within(0, time.Hour),
		Help: "How soon after the platform's list shows that a server drains it must get nothing more; 0s where that is not known. With 5s and more the fronts of one region read the list, and those of others only when it was not read of late."},
	{Name: "watch.interval", Type: Duration, Default: "500ms", Rule: "50ms to 10s", Check: within(50*time.Millisecond, 10*time.Second),
		Help: "How often a watcher asks a server for its status."},
	{Name: "plan.period", Type: Duration, Default: "5s", Rule: "500ms to 1h", Check: within(500*time.Millisecond, time.Hour),
		Help: "How long a period plan stands unless a failure, drain or evacuation forces a new one."},

	{Name: "quota_window", Type: Duration, Default: "8s", Rule: "8s to 1h", Check: within(8*time.Second, time.Hour),
		Help: "The window of the tally; the same on every process."},
	{Name: "quota_slices", Type: Int, Default: "50", Rule: "1 to 64", Check: counted(1, 64),
		Help: "The slices that a window's spend is kept in, to bound any span of one window; the same on every process."},
	{Name: "plain_tokens", Type: Float, Default: "50", Rule: "above 0, at most 1000000", Check: between(math.SmallestNonzeroFloat64, 1e6),
		Help: "The tokens that a one-shot call counts for, where its service names none."},
	{Name: "tally.interval", Type: Duration, Default: "200ms", Rule: "10ms to 2s", Check: within(10*time.Millisecond, 2*time.Second),
		Help: "How often a front sends its spend to the holders of the counts."},

	{Name: "tally.part", Type: Float, Default: "1", Rule: "0.5 to 1", Check: between(0.5, 1),
		Help: "The part of a tenant's allowance that routed requests are held to, where the whole of it must not be passed in any cut or jump."},
	{Name: "tally.reserve", Type: Float, Default: "0", Rule: "0 to 0.1", Check: between(0, 0.1),
		Help: "The part of a tenant's allowance that is kept from a routed request for each step of its route's priority below the most urgent."},
	{Name: "tally.hold", Type: Duration, Default: "2500ms", Rule: "0s to 10s", Check: within(0, 10*time.Second),
		Help: "How long a request may wait for the holder of its tenant's count, where the tenant is well below its allowance."},
	{Name: "route.strategy", Type: String, Default: "affinity", Rule: "affinity, round_robin or least_loaded", Runtime: true,
		Check: oneOf("affinity", "round_robin", "least_loaded"),
		Help:  "How a front picks a server within the plan's region; the last two are baselines for comparison."},
	{Name: "route.pending", Type: Int, Default: "256", Rule: "0 to 100000", Check: counted(0, 100000), Runtime: true,
		Help: "How many requests may be pending at a front, ordered by deadline."},
	{Name: "route.ramp_start", Type: Int, Default: "2", Rule: "1 to 1000", Check: counted(1, 1000), Runtime: true,
		Help: "The requests in flight that a cold server gets before it has answered any."},
	{Name: "retry.budget", Type: Float, Default: "0.1", Rule: "0 to 1", Check: between(0, 1), Runtime: true,
		Help: "Attempts at another server, as a share of the requests."},
	{Name: "retry.window", Type: Duration, Default: "10s", Rule: "1s to 10m", Check: within(time.Second, 10*time.Minute),
		Help: "The span over which repeated sends of requests by route are bound to retry.budget."},
	{Name: "retry.slack", Type: Float, Default: "0", Rule: "0 to 1000000", Check: between(0, 1e6),
		Help: "Repeated sends of requests by route that all nodes together may make beyond retry.budget in each retry.window."},
	{Name: "cold.overage", Type: Float, Default: "1", Rule: "1 to 100", Check: between(1, 100),
		Help: "By how much the rate that a cold server is said to bear may be passed."},
	{Name: "cold.slack", Type: Float, Default: "0", Rule: "0 to 1000000", Check: between(0, 1e6),
		Help: "Requests that a cold server may get in a second beyond its rate, from all nodes together."},
	{Name: "balance.off", Type: List, Rule: "names of mechanisms", Check: checkMechanisms,
		Help: "Parts of the choice of a server for requests by route that are switched off, to measure what each is worth: " + mechanismNames() + "."},
	{Name: "connect.timeout", Type: Duration, Default: "1s", Rule: "10ms to 10s", Check: within(10*time.Millisecond, 10*time.Second),
		Help: "How long a connection to a server may take to come up."},
	{Name: "deadline.default", Type: Duration, Default: "30s", Rule: "10ms to 1h, at most deadline.max", Check: within(10*time.Millisecond, time.Hour), Runtime: true,
		Help: "The deadline of a request that names none."},
	{Name: "deadline.max", Type: Duration, Default: "120s", Rule: "10ms to 1h", Check: within(10*time.Millisecond, time.Hour), Runtime: true,
		Help: "The longest deadline that a request may name."},

	{Name: "body.max", Type: Size, Default: "1MiB", Rule: "1KiB to 64MiB", Check: sized(1<<10, 64<<20),
		Help: "The largest body of a caller's request."},
	{Name: "sheet.max", Type: Size, Default: "16MiB", Rule: "1KiB to 256MiB", Check: sized(1<<10, 256<<20),
		Help: "The largest body of an operator's order."},
	{Name: "listen.connections", Type: Int, Default: "4096", Rule: "16 to 1000000", Check: counted(16, 1000000),
		Help: "Connections of clients by routes that are open at once; further ones wait to be accepted."},
	{Name: "header.max", Type: Size, Default: "16KiB", Rule: "1KiB to 1MiB", Check: sized(1<<10, 1<<20),
		Help: "The largest header of a request."},
	{Name: "body.timeout", Type: Duration, Default: "5s", Rule: "100ms to 60s", Check: within(100*time.Millisecond, 60*time.Second),
		Help: "How long a header or body may take to arrive."},
	{Name: "drain.grace", Type: Duration, Default: "10s", Rule: "0s to 5m", Check: within(0, 5*time.Minute),
		Help: "How long a stopping process lets its requests finish."},

	{Name: "memory.gc", Type: Int, Default: "100", Rule: "5 to 1000", Check: counted(5, 1000),
		Help: "By how much of what is in use the heap may grow until it is collected, in percent: less takes less memory and more processor time."},
	{Name: "log.level", Type: String, Default: "info", Rule: "debug, info, warn or error", Check: oneOf("debug", "info", "warn", "error"),
		Help: "The lowest level of event that is logged."},
	{Name: "clock.step", Type: Duration, Default: "0s", Rule: "-24h to 24h", Check: within(-24*time.Hour, 24*time.Hour),
		Help: "An added step of this process's wall clock, for proving what a wrong clock does."},
}

var rows = func() map[string]*Row {
	byName := make(map[string]*Row, len(Table))
	for i := range Table {
		byName[Table[i].Name] = &Table[i]
	}
	return byName
}()

// formerNames maps names that settings had before to those that they have.
var formerNames = func() map[string]string {
	names := map[string]string{}
	for _, row := range Table {
		if row.Former != "" {
			names[row.Former] = row.Name
		}
	}
	return names
}()

// Lookup returns the row of a setting.
func Lookup(name string) (Row, bool) {
	row, ok := rows[name]
	if !ok {
		return Row{}, false
	}
	return *row, true
}

// Parse reads a value's text by the row's type and holds it to the row's
// check. An empty text is the zero value and passes where the default is
// empty too.
func (r Row) Parse(text string) (any, error) {
	value, err := r.Type.parse(strings.TrimSpace(text))
	if err != nil {
		return nil, err
	}
	if strings.TrimSpace(text) == "" && r.Default == "" {
		return value, nil
	}
	if r.Check != nil {
		if err := r.Check(value); err != nil {
			return nil, err
		}
	}
	return value, nil
}

func (t Type) parse(text string) (any, error) {
	switch t {
	case Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, errors.Errorf("%q is not a whole number", text)
		}
		return n, nil
	case Float:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return nil, errors.Errorf("%q is not a finite number", text)
		}
		return f, nil
	case Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Errorf("%q is not a duration such as 500ms or 2s", text)
		}
		return d, nil
	case Bool:
		switch text {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return nil, errors.Errorf("%q is neither true nor false", text)
	case Size:
		return parseSize(text)
	case List:
		list := []string{}
		for _, item := range strings.Split(text, ",") {
			if item = strings.TrimSpace(item); item != "" {
				list = append(list, item)
			}
		}
		return list, nil
	default:
		return text, nil
	}
}

func parseSize(text string) (any, error) {
	number, shift := text, 0
	for unit, bits := range map[string]int{"KiB": 10, "MiB": 20, "GiB": 30} {
		if cut, ok := strings.CutSuffix(text, unit); ok {
			number, shift = strings.TrimSpace(cut), bits
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n > math.MaxInt64>>shift || n < math.MinInt64>>shift {
		return nil, errors.Errorf("%q is not a number of bytes such as 65536, 64KiB or 4MiB", text)
	}
	return int(n << shift), nil
}

// FormatSize writes a number of bytes with the largest unit that divides it.
func FormatSize(n int) string {
	for _, unit := range []struct {
		bits int
		name string
	}{{30, "GiB"}, {20, "MiB"}, {10, "KiB"}} {
		if n != 0 && n%(1<<unit.bits) == 0 {
			return strconv.Itoa(n>>unit.bits) + unit.name
		}
	}
	return strconv.Itoa(n)
}
