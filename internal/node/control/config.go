package control

import (
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/serverstatus"
)

// Config configures a Controller. A duration, count or size that is not positive takes
// the default given for its field.
type Config struct {
	// Self is the name of this process.
	Self string
	// Incarnation is the number of this process's start.
	Incarnation uint64
	// LeaseTTL is the duration of a lease. Default 2 s.
	LeaseTTL time.Duration
	// PingInterval is the time-out of a ping and the interval at which the cores'
	// views of the leader's lease are polled. Rounds of pings are sent at half of
	// this interval. Default 500 ms.
	PingInterval time.Duration
	// PingAfter is the time without contact after which a member is pinged.
	// Default 700 ms.
	PingAfter time.Duration
	// JoinBatchWindow is the time during which new members are collected before
	// they are proposed in one roster change. Default 300 ms.
	JoinBatchWindow time.Duration
	// RemoveAfter is the time without contact after which the removal of a member is
	// proposed. Default 1 min.
	RemoveAfter time.Duration
	// RemoveReleasedAfter is the same for a member that has released its lease. It is
	// longer than a planned restart. Default 10 s.
	RemoveReleasedAfter time.Duration
	// ProposalStagger is the delay between consecutive cores, ordered by name, that
	// would propose the same command. Default 500 ms.
	ProposalStagger time.Duration
	// PlanPeriod is the interval at which plans are computed. Default 5 s.
	PlanPeriod time.Duration
	// LoadInterval is the interval at which servers that changed only in load are
	// published. Default 1 s.
	LoadInterval time.Duration
	// ViewInterval is the longest pause between two rounds of lease views for an
	// order. The first pause is an eighth of it. Default 50 ms.
	ViewInterval time.Duration
	// OrderTimeout is the time-out of an order whose request states none. Default
	// 10 s.
	OrderTimeout time.Duration
	// FeedWaitMax bounds the wait of a long poll of the feed. Default 5 s.
	FeedWaitMax time.Duration
	// FeedCapacity is the number of changes that the feed retains. A follower that
	// is further behind gets a snapshot. Default 4096.
	FeedCapacity int
	// SheetMaxBytes bounds the size of an order's body, which may contain a sheet, in
	// bytes. Default 16 MiB.
	SheetMaxBytes int
	// ServerStatus bounds the age of reports on servers. Its defaults are those of
	// serverstatus.Config.
	ServerStatus serverstatus.Config
	// PlanPolicy sets the caps of servers in plans.
	PlanPolicy plan.Policy
	// CheckSetting validates a run-time setting of a sheet. Nil accepts all settings;
	// the node leaves it nil because its control API has already validated them
	// (controlapi.Config).
	CheckSetting func(name, value string) error
	// FleetNow returns fleet time. Default: the time of the controller's clock.
	FleetNow func() time.Time
}

const (
	defaultLeaseTTL        = 2 * time.Second
	defaultPingInterval    = 500 * time.Millisecond
	defaultPingAfter       = 700 * time.Millisecond
	defaultJoinBatchWindow = 300 * time.Millisecond
	defaultRemoveAfter     = time.Minute
	defaultRemoveReleased  = 10 * time.Second
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
	setDefault(&c.RemoveReleasedAfter, defaultRemoveReleased)
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

// setDefault sets a value that is not positive to the fallback.
func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
