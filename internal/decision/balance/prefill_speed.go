package balance

import "time"

const (
	// firstByteSampleWeight is the weight of a new sample in the moving average of the
	// time to the first byte.
	firstByteSampleWeight = 0.05
	// defaultMeanFirstByteMS is assumed until the first response of the service.
	defaultMeanFirstByteMS = 200

	// regressionDecay is the factor applied to the regression sums for each new sample.
	regressionDecay = 0.98
	// minRegressionWeight is the decayed number of samples from which the slope of the
	// regression is used instead of defaultMSPerToken. The slope is clamped to the range
	// that is plausible for a server.
	minRegressionWeight = 20
	defaultMSPerToken   = 0.01
	minMSPerToken       = 0.001
	maxMSPerToken       = 1.0
)

// prefillSpeed estimates the prefill time per token of a service's servers, by linear
// regression of the time to the first byte over the tokens to prefill, with
// exponentially decaying samples.
type prefillSpeed struct {
	weightSum, tokenSum, msSum, tokenSquareSum, tokenMSSum float64 // decayed sums over the samples
	meanFirstByteMS                                        float64 // moving average of the time to the first byte
}

// recordFirstByteTime adds the time to the first byte of a response to the moving
// average.
func (s *prefillSpeed) recordFirstByteTime(firstByteTime time.Duration) {
	ms := milliseconds(firstByteTime)
	if s.meanFirstByteMS == 0 {
		s.meanFirstByteMS = ms
		return
	}
	s.meanFirstByteMS += (ms - s.meanFirstByteMS) * firstByteSampleWeight
}

// expectedFirstByteTime returns the expected time to the first byte at a server that
// has the given number of tokens to prefill.
func (s *prefillSpeed) expectedFirstByteTime(tokens float64) time.Duration {
	meanMS := s.meanFirstByteMS
	if meanMS == 0 {
		meanMS = defaultMeanFirstByteMS
	}
	return time.Duration((meanMS + tokens*s.msPerToken()) * float64(time.Millisecond))
}

// addRegressionSample adds the time to the first byte of a request to a server where
// this node had no other request in flight.
func (s *prefillSpeed) addRegressionSample(tokens float64, firstByteTime time.Duration) {
	if tokens <= 0 {
		return
	}
	firstByteMS := milliseconds(firstByteTime)
	for _, sum := range []*float64{&s.weightSum, &s.tokenSum, &s.msSum, &s.tokenSquareSum, &s.tokenMSSum} {
		*sum *= regressionDecay
	}
	s.weightSum++
	s.tokenSum += tokens
	s.msSum += firstByteMS
	s.tokenSquareSum += tokens * tokens
	s.tokenMSSum += tokens * firstByteMS
}

// msPerToken returns the prefill time per token in milliseconds, the slope of the
// regression.
func (s *prefillSpeed) msPerToken() float64 {
	denominator := s.weightSum*s.tokenSquareSum - s.tokenSum*s.tokenSum
	if s.weightSum < minRegressionWeight || denominator <= 0 {
		return defaultMSPerToken
	}
	slope := (s.weightSum*s.tokenMSSum - s.tokenSum*s.msSum) / denominator
	return min(max(slope, minMSPerToken), maxMSPerToken)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
