// Package rendezvous computes the weights of rendezvous hashing (highest random
// weight; Thaler and Ravishankar 1996): processes that know the same candidates
// rank them identically for a subject, without communication. When a candidate is
// added or removed, only the subjects assigned to it are reassigned.
package rendezvous

import "github.com/cespare/xxhash/v2"

// separator delimits the candidate from the subject, so that distinct pairs of names
// are never hashed as the same bytes.
const separator = "\x00"

// Weight returns the weight of a candidate for a subject. The candidate with the
// highest weight ranks first. Weight does not allocate.
func Weight(candidate, subject string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to an xxhash digest never fails.
	_, _ = digest.WriteString(candidate)
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(subject)
	return digest.Sum64()
}
