package control

import (
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/serverstatus"
)

// Config is what a controller is set up with. Zero values take the defaults named.
type Config struct {
	// Self is the name of the process, Incarnation the number of its start.
	Self        string
	Incarnation uint64
	// LeaseTTL is how long a lease lasts. Default 2 s.
	LeaseTTL time.Duration
	// PingInterval is the interval of the lease views of other cores, and the
	// time-out of a ping; rounds of pings take half of it. Default 500 ms.
	PingInterval time.Duration
	// PingAfter is how long a member may be without contact before it is pinged.
	// Default 700 ms.
	PingAfter time.Duration
	// JoinBatchWindow is how long new members are gathered before they are
	// proposed in one roster change. Default 300 ms.
	JoinBatchWindow time.Duration
	// RemoveAfter is how long a member must refuse connections without
	// interruption before its removal is proposed. Default 1 min.
	RemoveAfter time.Duration
	// ProposalStagger is the delay, for each rank, between cores that would propose
	// the same command. Default 500 ms.
	ProposalStagger time.Duration
	// PlanPeriod is the interval of plans. Default 5 s.
	PlanPeriod time.Duration
	// LoadInterval is the interval at which changes of load alone are published.
	// Default 1 s.
	LoadInterval time.Duration
	// ViewInterval is the longest pause between two rounds of lease views for an
	// order; the first is an eighth of it. Default 50 ms.
	ViewInterval time.Duration
	// OrderTimeout is the time-out of an order that states none. Default 10 s.
	OrderTimeout time.Duration
	// FeedWaitMax is the longest wait of a long poll of the feed. Default 5 s.
	FeedWaitMax time.Duration
	// FeedCapacity is how many changes the feed retains; a follower that is further
	// behind gets a snapshot. Default 4096.
	FeedCapacity int
	// SheetMaxBytes is the largest sheet accepted, in bytes. Default 16 MiB.
	SheetMaxBytes int
	// ServerStatus bounds the age of reports on servers.
	ServerStatus serverstatus.Config
	// PlanPolicy sets the caps of servers in plans.
	PlanPolicy plan.Policy
	// CheckSetting validates a run-time setting of a sheet; nil accepts all, as the
	// node does, whose control API has validated them (controlapi.Config).
	CheckSetting func(name, value string) error
	// FleetNow returns fleet time; the clock's own when nil.
	FleetNow func() time.Time
}

const (
	defaultLeaseTTL        = 2 * time.Second
	defaultPingInterval    = 500 * time.Millisecond
	defaultPingAfter       = 700 * time.Millisecond
	defaultJoinBatchWindow = 300 * time.Millisecond
	defaultRemoveAfter     = time.Minute
	defaultProposalStagger = 500 * time.Millisecond
	defaultPlanPeriod      = 5 * time.Second
	defaultLoadInterval    = time.Second
	defaultViewInterval    = 50 * time.Millisecond
	defaultOrderTimeout    = 10 * time.Second
	defaultFeedWaitMax     = 5 * time.Second
	defaultFeedCapacity    = 4096
	defaultSheetMaxBytes   = 16 << 20
)

func (c Config) withDefaults(clock clock.Clock) Config {
	setDefault(&c.LeaseTTL, defaultLeaseTTL)
	setDefault(&c.PingInterval, defaultPingInterval)
	setDefault(&c.PingAfter, defaultPingAfter)
	setDefault(&c.JoinBatchWindow, defaultJoinBatchWindow)
	setDefault(&c.RemoveAfter, defaultRemoveAfter)
	setDefault(&c.ProposalStagger, defaultProposalStagger)
	setDefault(&c.PlanPeriod, defaultPlanPeriod)
	setDefault(&c.LoadInterval, defaultLoadInterval)
	setDefault(&c.ViewInterval, defaultViewInterval)
	setDefault(&c.OrderTimeout, defaultOrderTimeout)
	setDefault(&c.FeedWaitMax, defaultFeedWaitMax)
	setDefault(&c.FeedCapacity, defaultFeedCapacity)
	setDefault(&c.SheetMaxBytes, defaultSheetMaxBytes)
	if c.FleetNow == nil {
		c.FleetNow = clock.Now
	}
	return c
}

// setDefault replaces a value that is not positive.
func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
