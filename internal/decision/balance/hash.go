package balance

import "github.com/cespare/xxhash/v2"

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// splitMix64Finalizer is the finalizer of the SplitMix64 generator. It distributes
// combined hashes uniformly, for rendezvous hashing.
func splitMix64Finalizer(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// toUnitInterval maps a hash to [0, 1) by its 53 high bits, the precision of a float64.
func toUnitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
