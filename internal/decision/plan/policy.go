package plan

import (
	"cmp"
	"math"
	"strconv"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

const (
	defaultSlowStartCap   = 2
	defaultQueueFraction  = 0.25
	defaultModelSlots     = 8
	defaultWebSlots       = 64
	defaultDemandHeadroom = 1.25

	// settingSlowStartCap is the run-time setting that overrides Policy.SlowStartCap.
	settingSlowStartCap = "route.ramp_start"

	// maxSlots bounds the number of slots accepted from a server's report.
	maxSlots = 1 << 16
	// recoveryDivisor is the ratio of a server's full cap to its cap after an absence.
	recoveryDivisor = 4

	kindWeb = "web"
)

// Policy determines the cap of a server, which is its maximum number of requests in
// flight. Zero values select the defaults.
type Policy struct {
	// SlowStartCap is the cap of a server that has not answered any request. Each
	// answer raises the cap by one, up to the full cap. Default 2.
	SlowStartCap int
	// QueueFraction is the number of requests that may be queued at a server, as a
	// fraction of its slots. The full cap is the slots plus this queue. Default 0.25.
	QueueFraction float64
	// DefaultModelSlots and DefaultWebSlots are the slots of servers that report none.
	// Defaults 8 and 64.
	DefaultModelSlots int
	DefaultWebSlots   int
	// DemandHeadroom is the factor between the requests that are running or queued and
	// the demand for which regions must have capacity. Default 1.25.
	DemandHeadroom float64
}

// WithDefaults returns the policy with zero values replaced by their defaults.
func (p Policy) WithDefaults() Policy {
	p.SlowStartCap = cmp.Or(p.SlowStartCap, defaultSlowStartCap)
	p.QueueFraction = cmp.Or(p.QueueFraction, defaultQueueFraction)
	p.DefaultModelSlots = cmp.Or(p.DefaultModelSlots, defaultModelSlots)
	p.DefaultWebSlots = cmp.Or(p.DefaultWebSlots, defaultWebSlots)
	p.DemandHeadroom = cmp.Or(p.DemandHeadroom, defaultDemandHeadroom)
	return p
}

// withSettings returns the policy with the run-time settings of a sheet applied. The
// sheet may be nil; settings that are invalid or not positive are ignored.
func (p Policy) withSettings(s *sheet.Sheet) Policy {
	if s == nil {
		return p
	}
	if slowStartCap, err := strconv.Atoi(s.Settings[settingSlowStartCap]); err == nil && slowStartCap > 0 {
		p.SlowStartCap = slowStartCap
	}
	return p
}

// FullCap returns the cap of a server after slow start.
func (p Policy) FullCap(status *wire.ServerStatus) int {
	slots := int(min(status.GetSlots(), maxSlots))
	if slots == 0 {
		slots = p.DefaultModelSlots
		if status.GetKind() == kindWeb {
			slots = p.DefaultWebSlots
		}
	}
	return slots + int(math.Ceil(float64(slots)*p.QueueFraction))
}

// SlowStartCapAfter returns the cap of a server that has answered the given number of
// requests.
func (p Policy) SlowStartCapAfter(fullCap int, answered uint64) int {
	return int(min(uint64(fullCap), uint64(p.SlowStartCap)+answered))
}

// RecoveryCap returns the cap of a server that returns after an absence, or that is in
// slow start although it has answered requests before.
func (p Policy) RecoveryCap(fullCap int) int {
	return min(fullCap, max(p.SlowStartCap, fullCap/recoveryDivisor))
}

// Cap returns the cap of a server with the given status.
func (p Policy) Cap(status *wire.ServerStatus) int {
	fullCap := p.FullCap(status)
	if status.GetState() == wire.ServerState_SERVER_STATE_COLD {
		fullCap = p.RecoveryCap(fullCap)
	}
	return p.SlowStartCapAfter(fullCap, status.GetAnswered())
}
