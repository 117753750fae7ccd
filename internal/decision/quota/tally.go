// Package quota decides what each tenant may spend. A Book is one front's side:
// it admits requests from what it knows of a tenant's spend everywhere. A
// Ledger is the holder's side: it sums what the fronts have added. Both are
// plain values with one owner; nothing here blocks, sends or reads a clock.
package quota

import (
	"slices"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/rendezvous"
)

// Feature is a departure from the ordinary path of the design: the blend of
// two windows with a mark until the window's end. docs/TALLY.md gives the cause
// and the figures of each.
type Feature uint8

// Exceptions, in the order in which they were added.
const (
	EarlyUnblock    Feature = 1 << iota // a mark ends when the blend falls below the limit
	SlidingBound                        // nothing passes once the spend of the last window's span is over the limit by the band
	SlidingCapacity                     // a request that the blend refuses passes while that spend is below the limit
	FrontShares                         // a front spends no more than its share of the room it is sure of
	Queueing                            // a request over that share waits for the next exchange, well below the limit

	AllFeatures = EarlyUnblock | SlidingBound | SlidingCapacity | FrontShares | Queueing // all of them: leave these out to get the ordinary path
)

// Config sets the tally's measures; the zero value of each field stands for
// its default.
type Config struct {
	Window       time.Duration // 8 s
	Slices       int           // slices of a window, 50
	Interval     time.Duration // between two exchanges with a holder, 200 ms
	MaxLag       time.Duration // how far a holder's totals may be behind the other fronts' adds, 300 ms
	Overshoot    float64       // part of the limit by which the spend of the last window's span may pass it while the blend is below, 0.08
	EvenFraction float64       // part of the room that is shared evenly, whatever the demand, 0.5
	Overspend    float64       // part of the limit that all fronts together may overspend, 0.07
	Disabled     Feature       // exceptions left out, for measurement
}

func (c Config) withDefaults() Config {
	if c.Window <= 0 {
		c.Window = 8 * time.Second
	}
	if c.Slices <= 0 {
		c.Slices = 50
	}
	if c.Interval <= 0 {
		c.Interval = 200 * time.Millisecond
	}
	if c.MaxLag <= 0 {
		c.MaxLag = 300 * time.Millisecond
	}
	if c.Overshoot <= 0 {
		c.Overshoot = 0.08
	}
	if c.EvenFraction <= 0 {
		c.EvenFraction = 0.5
	}
	if c.Overspend <= 0 {
		c.Overspend = 0.07
	}
	return c
}

func (c Config) has(e Feature) bool { return c.Disabled&e == 0 }

// Allowance are a tenant's allowance: Rate in tokens a second, Burst in tokens.
type Allowance struct{ Rate, Burst float64 }

// TokensPerWindow returns the tokens of one window: Rate times the window plus Burst.
func (t Allowance) TokensPerWindow(window time.Duration) float64 {
	return t.Rate*window.Seconds() + t.Burst
}

// Decision is the answer to one request. Blend, Prev, Cur, Recent and Limit are
// in tokens; Prev and Cur are the totals of the two windows, Recent the spend of
// the last window's span.
type Decision struct {
	Allowed    bool
	Code       apierror.Code // OK, QuotaExceeded, or ShareExceeded when the holder is out of reach
	Estimate   float64       // estimate before this request
	Previous   float64       // previous window's total
	Current    float64       // current window's total
	Limit      float64       // of one window
	Recent     float64       // spend of the last window's span
	OverLimit  bool          // the tenant's limit is crossed on this node
	RetryAfter time.Duration // when there will be room, if nobody spends until then
	Queue      bool          // not passed, but may be after the next exchange with the holder
	SendNow    bool          // own adds should go to the holder at once
}

// TenantUsage is what a Book knows of one tenant; tokens, and Age the time since
// the holder's totals were asked for (negative when it never answered).
type TenantUsage struct {
	Tenant    string        `json:"tenant"`
	Limit     float64       `json:"limit"`
	Estimate  float64       `json:"blend"`
	Recent    float64       `json:"recent"`
	Own       float64       `json:"own"`      // own part of Recent
	Share     float64       `json:"share"`    // this node's part of the room
	Reserved  float64       `json:"reserved"` // part of the limit kept for fronts that are silent
	OverLimit bool          `json:"marked"`
	Owner     string        `json:"holder"`
	Age       time.Duration `json:"age"`
}

// OwnerOf returns the front that holds a tenant's count: the highest of the
// roster by rendezvous hash, "" for an empty roster.
func OwnerOf(tenant string, roster []string) string {
	var best string
	var highest uint64
	for _, name := range roster {
		if h := rendezvous.Weight(name, tenant); best == "" || h > highest || (h == highest && name < best) {
			best, highest = name, h
		}
	}
	return best
}

// Reachable returns the roster without the silent fronts: among these each front
// looks for the holder of a tenant's count. It is the roster itself where no
// front is silent.
func Reachable(roster, silent []string) []string {
	if len(silent) == 0 {
		return roster
	}
	left := make([]string, 0, len(roster))
	for _, name := range roster {
		if !slices.Contains(silent, name) {
			left = append(left, name)
		}
	}
	return left
}
