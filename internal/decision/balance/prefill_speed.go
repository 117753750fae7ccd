package balance

import "time"

const (
	// typicalWeight is the weight of a new sample in the typical time.
	typicalWeight    = 0.05
	defaultTypicalMS = 200

	// sampleDecay is the factor by which older samples of the line fade.
	sampleDecay = 0.98
	// minSampleWeight is the weight of samples from which the line is used; the
	// default until then. The slope is limited to what a server can do.
	minSampleWeight   = 20
	defaultMSPerToken = 0.01
	minMSPerToken     = 0.001
	maxMSPerToken     = 1.0
)

// prefillSpeed estimates how long the servers of a service take for the prefill of a
// token, by linear regression of the times to the first byte over the tokens. Older
// samples fade.
type prefillSpeed struct {
	weight, tokens, time, square, product float64 // sums over the samples
	typicalMS                             float64 // moving average of the time to the first byte
}

// recordTypical records the time to the first byte of any response.
func (s *prefillSpeed) recordTypical(took time.Duration) {
	ms := milliseconds(took)
	if s.typicalMS == 0 {
		s.typicalMS = ms
		return
	}
	s.typicalMS += (ms - s.typicalMS) * typicalWeight
}

// expected returns the expected time to the first byte at a server that has a number
// of tokens to compute.
func (s *prefillSpeed) expected(tokens float64) time.Duration {
	typical := s.typicalMS
	if typical == 0 {
		typical = defaultTypicalMS
	}
	return time.Duration((typical + tokens*s.perToken()) * float64(time.Millisecond))
}

// addSample adds the time to the first byte of a request that was alone at its
// server.
func (s *prefillSpeed) addSample(tokens float64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	tookMS := milliseconds(took)
	for _, sum := range []*float64{&s.weight, &s.tokens, &s.time, &s.square, &s.product} {
		*sum *= sampleDecay
	}
	s.weight++
	s.tokens += tokens
	s.time += tookMS
	s.square += tokens * tokens
	s.product += tokens * tookMS
}

// perToken returns the milliseconds of prefill per token, the slope of the line.
func (s *prefillSpeed) perToken() float64 {
	spread := s.weight*s.square - s.tokens*s.tokens
	if s.weight < minSampleWeight || spread <= 0 {
		return defaultMSPerToken
	}
	slope := (s.weight*s.product - s.tokens*s.time) / spread
	return min(max(slope, minMSPerToken), maxMSPerToken)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
