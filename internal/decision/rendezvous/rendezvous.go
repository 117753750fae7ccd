// Package rendezvous computes the weights of rendezvous hashing (highest random
// weight; Thaler and Ravishankar 1996): processes that know the same candidates
// agree, without communication, on which of them come first for a subject. When a
// candidate is added or removed, only the subjects that it has or had move.
package rendezvous

import "github.com/cespare/xxhash/v2"

// separator keeps a candidate and a subject apart, so that no two pairs of names
// have the same bytes.
const separator = "\x00"

// Weight returns the weight of a candidate for a subject: the one with the highest
// weight comes first. It allocates nothing.
func Weight(candidate, subject string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest return no error.
	_, _ = digest.WriteString(candidate)
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(subject)
	return digest.Sum64()
}
