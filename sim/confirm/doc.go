// Package confirm simulates the confirmation of configuration versions under random
// faults in virtual time. Fronts and cores run the production code (lease.Holder,
// lease.Table, lease.VersionConfirmed and the commands of package statemachine).
// Consensus is modelled as an atomic step; network, faults and clocks are simulated.
//
// The checked properties are that no front serves with a version older than an
// acknowledged one, and that no front reverts to an older version. Each Mutation
// disables one rule of the protocol, to show that the checker detects the violation
// that the rule prevents.
//
// A run depends only on its configuration and seed. Changing the order or number of
// random draws changes the run of every seed.
package confirm
