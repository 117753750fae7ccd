package balance

import (
	"slices"

	"github.com/pkg/errors"
)

// Mechanism names a part of the way in which requests find a server that can be
// switched off, to measure what it is worth.
type Mechanism string

// Mechanisms, all of which are on by default.
const (
	// Affinity sends requests that share a prompt to one server on which all
	// nodes agree.
	Affinity Mechanism = "affinity"
	// ReadAgain prices the reading of a shared prompt at a server that does not
	// hold it.
	ReadAgain Mechanism = "read-again"
	// Isolation keeps long answers to short prompts on servers that long prompts
	// avoid.
	Isolation Mechanism = "isolation"
	// Crossing prices the way to servers of other zones and regions.
	Crossing Mechanism = "crossing"
	// Hung avoids servers that are silent on what they were sent.
	Hung Mechanism = "hung"
	// Doubts avoids servers that failed requests of late.
	Doubts Mechanism = "doubts"
	// Ejection rests servers that refuse connections or fail in a row.
	Ejection Mechanism = "ejection"
	// Suspects tells the fleet of servers that this node found silent.
	Suspects Mechanism = "suspects"
	// SuspectProbes asks a silent server for a new connection before the fleet is
	// told of it.
	SuspectProbes Mechanism = "suspect-probes"
	// SecondAttempts tries another server where one is silent on a request that may
	// be repeated.
	SecondAttempts Mechanism = "second-attempts"
)

// Mechanisms lists all of them in the order of the docs.
var Mechanisms = []Mechanism{Affinity, ReadAgain, Isolation, Crossing, Hung, Doubts, Ejection, Suspects, SuspectProbes, SecondAttempts}

// Off is a set of mechanisms that are switched off.
type Off map[Mechanism]bool

// ParseOff reads names of mechanisms.
func ParseOff(names []string) (Off, error) {
	off := Off{}
	for _, name := range names {
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, errors.Errorf("%q is none of %v", name, Mechanisms)
		}
		off[Mechanism(name)] = true
	}
	return off, nil
}
