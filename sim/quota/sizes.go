package quota

import (
	"math"
	"math/rand/v2"
)

// RequestKind is one kind of a tenant's requests. Each has Constant tokens and, if Mean
// is set, a lognormally distributed number of tokens in addition.
type RequestKind struct {
	Rate     float64 // frequency relative to the other kinds
	Constant float64 // tokens of each request
	Mean     float64 // of the lognormal part before truncation at Max; 0: no lognormal part
	Sigma    float64 // standard deviation of the lognormal part's logarithm
	Max      float64 // maximum of the lognormal part
}

// logMean returns the mean of the lognormal part's logarithm.
func (k RequestKind) logMean() float64 { return math.Log(k.Mean) - k.Sigma*k.Sigma/2 }

func (k RequestKind) draw(random *rand.Rand) float64 {
	if k.Mean == 0 {
		return k.Constant
	}
	return k.Constant + min(k.Max, math.Exp(k.logMean()+k.Sigma*random.NormFloat64()))
}

// mean returns the expected tokens of a request, including the truncation at Max.
func (k RequestKind) mean() float64 {
	if k.Mean == 0 {
		return k.Constant
	}
	distance := (math.Log(k.Max) - k.logMean()) / k.Sigma
	return k.Constant + k.Mean*normalBelow(distance-k.Sigma) + k.Max*(1-normalBelow(distance))
}

// normalBelow returns the standard normal distribution function.
func normalBelow(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// SizeMix is the mix of a tenant's kinds of requests. The mean of an empty mix is 0.
type SizeMix []RequestKind

func (m SizeMix) rate() (total float64) {
	for _, kind := range m {
		total += kind.Rate
	}
	return total
}

func (m SizeMix) mean() float64 {
	if len(m) == 0 {
		return 0
	}
	tokens := 0.0
	for _, kind := range m {
		tokens += kind.Rate * kind.mean()
	}
	return tokens / m.rate()
}

func (m SizeMix) draw(random *rand.Rand) float64 {
	drawn := random.Float64() * m.rate()
	last := len(m) - 1
	for _, kind := range m[:last] {
		if drawn < kind.Rate {
			return kind.draw(random)
		}
		drawn -= kind.Rate
	}
	return m[last].draw(random)
}

// scaled returns the mix with all tokens multiplied by a factor.
func (m SizeMix) scaled(factor float64) SizeMix {
	scaled := make(SizeMix, 0, len(m))
	for _, kind := range m {
		kind.Constant *= factor
		kind.Mean *= factor
		kind.Max *= factor
		scaled = append(scaled, kind)
	}
	return scaled
}
