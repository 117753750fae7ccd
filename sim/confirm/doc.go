// Package confirm simulates the confirmation of configuration versions under random
// faults in virtual time. Fronts and cores decide by the production packages
// (lease.Holder, lease.Table, lease.VersionConfirmed, sheet's commands); a proposal
// is atomic; network, faults and clocks are simulated.
//
// The property checked is that no front serves by an older version than one that was
// acknowledged, and that no front steps back. Each Mutation leaves out one rule of
// the protocol, to show that the checker finds what the rule prevents.
//
// A run is a function of its seed alone: the order of random draws is part of it.
package confirm
