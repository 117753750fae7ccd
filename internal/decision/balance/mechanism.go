package balance

import (
	"slices"

	"github.com/pkg/errors"
)

// Mechanism names a part of the selection of servers that can be switched off, to
// measure its effect. Its value is the name in the setting balance.off.
type Mechanism string

// Mechanisms, all of which are enabled by default.
const (
	// Affinity sends requests that share a prefix to one server, which all nodes
	// agree on.
	Affinity Mechanism = "affinity"
	// PrefixMissCost adds the cost of the prefill of a shared prefix at a server that
	// does not cache it.
	PrefixMissCost Mechanism = "read-again"
	// Isolation keeps decode-heavy routes on servers that long prompts avoid.
	Isolation Mechanism = "isolation"
	// NetworkCost adds a cost for servers of other zones and regions.
	NetworkCost Mechanism = "crossing"
	// StallAvoidance avoids servers that are stalled.
	StallAvoidance Mechanism = "hung"
	// SuspicionCost avoids servers that failed requests recently.
	SuspicionCost Mechanism = "doubts"
	// Ejection ejects servers that refuse connections or fail consecutively.
	Ejection Mechanism = "ejection"
	// UnresponsiveReports reports servers to the fleet that this node found
	// unresponsive.
	UnresponsiveReports Mechanism = "suspects"
	// ProbeBeforeReport probes a suspected server before it is reported.
	ProbeBeforeReport Mechanism = "suspect-probes"
	// StallRetries retries an idempotent request at another server when its server
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

// Disabled is a set of mechanisms that are switched off.
type Disabled map[Mechanism]bool

// ParseDisabled returns the set of the named mechanisms. It fails on a name that is
// none of Mechanisms.
func ParseDisabled(names []string) (Disabled, error) {
	disabled := Disabled{}
	for _, name := range names {
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, errors.Errorf("%q is none of %v", name, Mechanisms)
		}
		disabled[Mechanism(name)] = true
	}
	return disabled, nil
}
