// Package quota enforces each tenant's rate limit across all fronts.
//
// Each front has a Limiter, which admits or rejects requests immediately, based on its
// estimate of the tenant's spend at all fronts. The owner of a tenant, the front that
// rendezvous hashing assigns it to, has a Counter, which sums the spend that fronts
// report and divides the remaining capacity among them. Limiters and Counters exchange
// cumulative counts, which are idempotent: a count may be lost, delayed, repeated or
// sent to a different owner.
//
// The estimate of a tenant's spend is a sliding window counter (Cloudflare, "How we
// built rate limiting capable of scaling to millions of domains", 2017), and the
// exchange follows "Distributed Rate Limiting Architecture". docs/TALLY.md describes
// where this implementation departs from both, with reasons and measurements.
//
// Limiters and Counters are not safe for concurrent use. Nothing in this package
// blocks, performs I/O or reads a clock. Amounts are in tokens unless noted otherwise.
// Limiters and Counters take instants of the time that the fleet agrees on.
package quota

import (
	"slices"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/rendezvous"
)

// Allowance is a tenant's rate limit: Rate in tokens per second, Burst in tokens. For
// a tenant whose unit is requests (sheet.UnitRequests) the gateway charges one token
// per request.
type Allowance struct{ Rate, Burst float64 }

// TokensPerWindow returns the limit for one window: Rate times the window plus Burst.
func (a Allowance) TokensPerWindow(window time.Duration) float64 {
	return a.Rate*window.Seconds() + a.Burst
}

// Decision is the outcome of a request's admission, with the amounts it is based on.
type Decision struct {
	Allowed bool

	// Code is OK for an allowed request. Otherwise it is QuotaExceeded, or
	// ShareExceeded if the front lacks the totals to determine whether the quota is
	// exhausted.
	Code apierror.Code

	Estimate float64 // value of the sliding window counter before this request
	Previous float64 // total of the previous window
	Current  float64 // total of the current window
	Limit    float64 // for one window
	Recent   float64 // spend during the last Config.Window before this request

	OverLimit  bool          // the tenant has reached its limit according to this front's totals
	RetryAfter time.Duration // time until the request would be allowed if nothing else is spent
	Queue      bool          // rejected for now, but may be allowed after the next exchange with the owner
	SendNow    bool          // the tenant's counts should be sent to the owner immediately
}

// TenantUsage is a Limiter's view of one tenant.
type TenantUsage struct {
	Tenant    string        `json:"tenant"`
	Limit     float64       `json:"limit"`
	Estimate  float64       `json:"blend"`
	Recent    float64       `json:"recent"`
	Own       float64       `json:"own"`      // part of Recent that this front spent
	Share     float64       `json:"share"`    // fraction of the remaining capacity allocated to this front
	Reserved  float64       `json:"reserved"` // fraction of the limit reserved for unresponsive fronts
	OverLimit bool          `json:"marked"`
	Owner     string        `json:"holder"` // front that last reported the totals
	Age       time.Duration `json:"age"`    // time since the totals were requested; negative if none were received
}

// OwnerOf returns the front that counts a tenant's spend: the one with the highest
// rendezvous weight, or "" if fronts is empty.
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

// Reachable returns the fronts that are not unresponsive. A tenant's owner is chosen
// from these. If unresponsive is empty, it returns fronts itself, not a copy.
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

// assumedSpentFraction returns the fraction of the limit that is assumed to be spent
// if the actual spend has been unknown since an instant: 1 at first, falling to 0
// after one window.
func assumedSpentFraction(since, now time.Time, window time.Duration) float64 {
	elapsed := min(1, now.Sub(since).Seconds()/window.Seconds())
	return 1 - elapsed*elapsed
}
