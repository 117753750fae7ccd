package balance

import (
	"slices"

	"github.com/pkg/errors"
)

// Mechanism identifies a part of server selection that can be disabled, to measure
// its effect. Its value is the name used in the setting balance.off.
type Mechanism string

// Mechanisms, all of which are enabled by default.
const (
	// Affinity prefers one server for all requests that share a prompt prefix; all
	// nodes prefer the same one.
	Affinity Mechanism = "affinity"
	// PrefixMissCost adds the cost of prefilling a shared prefix on a server that does
	// not cache it.
	PrefixMissCost Mechanism = "read-again"
	// Isolation reserves servers for decode-heavy routes; other routes avoid them.
	Isolation Mechanism = "isolation"
	// NetworkCost adds a cost for servers in other zones and regions.
	NetworkCost Mechanism = "crossing"
	// StallAvoidance avoids servers at stall level Stalled or higher.
	StallAvoidance Mechanism = "hung"
	// SuspicionCost adds a cost for servers that failed requests recently.
	SuspicionCost Mechanism = "doubts"
	// Ejection ejects servers that refuse connections, are unresponsive or fail
	// consecutive requests.
	Ejection Mechanism = "ejection"
	// UnresponsiveReports reports to the fleet which servers this node found
	// unresponsive.
	UnresponsiveReports Mechanism = "suspects"
	// ProbeBeforeReport probes a suspected server before reporting it.
	ProbeBeforeReport Mechanism = "suspect-probes"
	// StallRetries retries an idempotent request on another server when its server
	// stalls.
	StallRetries Mechanism = "second-attempts"
)

// Mechanisms lists all mechanisms in the order of the documentation.
var Mechanisms = []Mechanism{
	Affinity,
	PrefixMissCost,
	Isolation,
	NetworkCost,
	StallAvoidance,
	SuspicionCost,
	Ejection,
	UnresponsiveReports,
	ProbeBeforeReport,
	StallRetries,
}

// Disabled is a set of disabled mechanisms.
type Disabled map[Mechanism]bool

// ParseDisabled returns the set of the named mechanisms. It returns an error for a
// name that is not in Mechanisms.
func ParseDisabled(names []string) (Disabled, error) {
	disabled := Disabled{}
	for _, name := range names {
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, errors.Errorf("unknown mechanism %q; valid names: %v", name, Mechanisms)
		}
		disabled[Mechanism(name)] = true
	}
	return disabled, nil
}
