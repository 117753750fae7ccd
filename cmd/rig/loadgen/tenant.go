package loadgen

import (
	"time"

	"stepwick/cmd/rig/history"
)

// plainTokens is the quota cost of a request without a prompt, in tokens.
const plainTokens = 50

// Tenant describes one tenant's load and allowance.
type Tenant struct {
	Name          string
	Key           string
	Service       string
	Kind          string  // history.KindStream, KindGet or KindPost
	PerSecond     float64 // requests at load factor 1
	Prefixes      int     // number of different prompt prefixes
	PrefixTokens  int
	SessionTokens int
	MaxTokens     int
	Deadline      time.Duration // of a call, including all retries
	Home          string        // home region; empty for none
	history.Allowance
}

// Tokens returns the quota cost of one request, in tokens.
func (t Tenant) Tokens() float64 {
	if t.Kind != history.KindStream {
		return plainTokens
	}
	return float64(t.PrefixTokens + t.SessionTokens + t.MaxTokens)
}

// FirstTenants returns the five tenants of the first deployment, which send about 170
// requests a second.
func FirstTenants() []Tenant { return append(firstStreamTenants(), firstOneShotTenants()...) }

func firstStreamTenants() []Tenant {
	return []Tenant{
		{
			Name:          "press",
			Key:           "key-of-press",
			Service:       "digest",
			Kind:          history.KindStream,
			PerSecond:     45,
			Prefixes:      30,
			PrefixTokens:  2000,
			SessionTokens: 150,
			MaxTokens:     48,
			Deadline:      8 * time.Second,
			Allowance:     history.Allowance{Rate: 160000, Burst: 200000},
		},
		{
			Name:          "helpdesk",
			Key:           "key-of-helpdesk",
			Service:       "helpline",
			Kind:          history.KindStream,
			PerSecond:     45,
			Prefixes:      20,
			PrefixTokens:  1200,
			SessionTokens: 200,
			MaxTokens:     40,
			Deadline:      8 * time.Second,
			Home:          "lagos",
			Allowance:     history.Allowance{Rate: 110000, Burst: 150000},
		},
		{
			Name:          "desk",
			Key:           "key-of-desk",
			Service:       "headline",
			Kind:          history.KindStream,
			PerSecond:     40,
			Prefixes:      10,
			PrefixTokens:  600,
			SessionTokens: 60,
			MaxTokens:     12,
			Deadline:      6 * time.Second,
			Allowance:     history.Allowance{Rate: 50000, Burst: 60000},
		},
	}
}

func firstOneShotTenants() []Tenant {
	return []Tenant{
		{
			Name:      "grid",
			Key:       "key-of-grid",
			Service:   "outage",
			Kind:      history.KindGet,
			PerSecond: 25,
			Deadline:  3 * time.Second,
			Allowance: history.Allowance{Rate: 2500, Burst: 4000},
		},
		{
			Name:      "crews",
			Key:       "key-of-crews",
			Service:   "repairs",
			Kind:      history.KindPost,
			PerSecond: 15,
			Deadline:  3 * time.Second,
			Allowance: history.Allowance{Rate: 1500, Burst: 3000},
		},
	}
}
