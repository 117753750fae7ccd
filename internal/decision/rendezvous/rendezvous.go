// Package rendezvous weighs names against a subject by highest random weight
// hashing (Thaler and Ravishankar, 1996), so that all who know the same names
// agree on which of them come first for the subject without speaking to each
// other.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a name for a subject. It allocates nothing.
func Weight(name, subject string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(subject)
	return digest.Sum64()
}
