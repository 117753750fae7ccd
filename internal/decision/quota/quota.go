// Package quota decides what each tenant may spend over all fronts together.
//
// A Limiter is a front's side: it admits or rejects requests at once, from what it
// knows of a tenant's spend everywhere. A Counter is the side of a tenant's owner,
// the front that rendezvous hashing assigns the tenant to: it sums what the fronts
// have spent and divides the remaining capacity among them. The two exchange
// cumulative counts, which are idempotent: a count may be lost, delayed, repeated or
// sent to another owner.
//
// The estimate of a tenant's spend is a sliding window counter (Cloudflare, "How we
// built rate limiting capable of scaling to millions of domains", 2017), and the
// exchange follows "Distributed Rate Limiting Architecture". docs/TALLY.md gives the
// departures from both with their causes and figures.
//
// Limiters and Counters are plain values with one owner each; nothing here blocks,
// sends or reads a clock. Amounts are in tokens unless a comment says otherwise, and
// time is the fleet's agreed time.
package quota

import (
	"slices"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/rendezvous"
)

// Allowance is what a tenant may spend: Rate in tokens a second, Burst in tokens. For
// a tenant whose unit is requests (sheet.UnitRequests) the gateway charges one for
// each request, and all that is said of tokens here holds for requests.
type Allowance struct{ Rate, Burst float64 }

// TokensPerWindow returns the limit of one window: Rate times the window plus Burst.
func (a Allowance) TokensPerWindow(window time.Duration) float64 {
	return a.Rate*window.Seconds() + a.Burst
}

// Decision is the outcome of one request, with the figures it was made from.
type Decision struct {
	Allowed bool

	// Code is OK for an allowed request. Otherwise it is QuotaExceeded, or
	// ShareExceeded when the front lacks totals to tell whether the quota is
	// exhausted.
	Code apierror.Code

	Estimate float64 // sliding window counter before this request
	Previous float64 // total of the previous window
	Current  float64 // total of the current window
	Limit    float64 // of one window
	Recent   float64 // spend within one window's length before this request

	OverLimit  bool          // the tenant's limit is reached, as far as this front knows
	RetryAfter time.Duration // until the request would be allowed if nobody spends meanwhile
	Queue      bool          // not allowed, but may be after the next exchange with the owner
	SendNow    bool          // the tenant's counts should be sent to the owner at once
}

// TenantUsage is what a Limiter knows of one tenant.
type TenantUsage struct {
	Tenant    string        `json:"tenant"`
	Limit     float64       `json:"limit"`
	Estimate  float64       `json:"blend"`
	Recent    float64       `json:"recent"`
	Own       float64       `json:"own"`      // part of Recent that this front spent
	Share     float64       `json:"share"`    // fraction of the remaining capacity that is this front's
	Reserved  float64       `json:"reserved"` // fraction of the limit reserved for unresponsive fronts
	OverLimit bool          `json:"marked"`
	Owner     string        `json:"holder"` // front that reported the totals last
	Age       time.Duration `json:"age"`    // since the totals were requested; negative: none received yet
}

// OwnerOf returns the front that counts a tenant's spend: the highest of the fronts
// by rendezvous hashing, "" if there are none.
func OwnerOf(tenant string, fronts []string) string {
	var best string
	var highest uint64
	for _, name := range fronts {
		weight := rendezvous.Weight(name, tenant)
		if best == "" || weight > highest || (weight == highest && name < best) {
			best = name
			highest = weight
		}
	}
	return best
}

// Reachable returns the fronts without the unresponsive ones; a tenant's owner is
// chosen among these. It returns fronts itself, not a copy, if none is unresponsive.
func Reachable(fronts, unresponsive []string) []string {
	if len(unresponsive) == 0 {
		return fronts
	}
	reachable := make([]string, 0, len(fronts))
	for _, name := range fronts {
		if !slices.Contains(unresponsive, name) {
			reachable = append(reachable, name)
		}
	}
	return reachable
}

// frontID identifies one incarnation of a front's process.
type frontID struct {
	name        string
	incarnation uint64
}

// assumedSpent returns the fraction of the limit to take for spent while nothing is
// known since an instant: all of it at first, falling to none after one window.
func assumedSpent(since, now time.Time, window time.Duration) float64 {
	elapsed := min(1, now.Sub(since).Seconds()/window.Seconds())
	return 1 - elapsed*elapsed
}
