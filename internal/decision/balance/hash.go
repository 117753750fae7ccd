package balance

import "github.com/cespare/xxhash/v2"

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// mix is the finalizer of SplitMix64. It spreads combinations of hashes evenly, for
// rendezvous hashing.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to [0, 1) by as many of its bits as a float64 holds.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
