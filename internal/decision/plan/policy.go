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

	// settingSlowStartCap is the run-time setting of Policy.SlowStartCap.
	settingSlowStartCap = "route.ramp_start"

	// maxSlots bounds the slots that a server reports.
	maxSlots = 1 << 16
	// recoveryDivisor makes the cap of a server that returns a fraction of its full
	// cap.
	recoveryDivisor = 4

	kindWeb = "web"
)

// Policy sets the caps of servers: the most requests in flight to one. Zero values
// take the defaults named.
type Policy struct {
	// SlowStartCap is the cap of a server that has answered nothing; each answer
	// raises it by one up to the full cap. Default 2.
	SlowStartCap int
	// QueueFraction is how many requests may wait at a server, as a fraction of its
	// slots; its slots and these are its full cap. Default 0.25.
	QueueFraction float64
	// DefaultModelSlots and DefaultWebSlots stand in for the slots of a server that
	// reports none. Defaults 8 and 64.
	DefaultModelSlots int
	DefaultWebSlots   int
	// DemandHeadroom multiplies the requests now in flight to the demand that regions
	// must have capacity for. Default 1.25.
	DemandHeadroom float64
}

// WithDefaults returns the policy with defaults for what is zero.
func (p Policy) WithDefaults() Policy {
	p.SlowStartCap = cmp.Or(p.SlowStartCap, defaultSlowStartCap)
	p.QueueFraction = cmp.Or(p.QueueFraction, defaultQueueFraction)
	p.DefaultModelSlots = cmp.Or(p.DefaultModelSlots, defaultModelSlots)
	p.DefaultWebSlots = cmp.Or(p.DefaultWebSlots, defaultWebSlots)
	p.DemandHeadroom = cmp.Or(p.DemandHeadroom, defaultDemandHeadroom)
	return p
}

// withSettings returns the policy with the run-time settings of a sheet, which may
// be nil.
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

// SlowStartCapAfter returns the cap after a number of answers.
func (p Policy) SlowStartCapAfter(fullCap int, answered uint64) int {
	return int(min(uint64(fullCap), uint64(p.SlowStartCap)+answered))
}

// RecoveryCap returns the cap of a server that returns after an absence, or that
// reports a slow start although it has answered before.
func (p Policy) RecoveryCap(fullCap int) int {
	return min(fullCap, max(p.SlowStartCap, fullCap/recoveryDivisor))
}

// Cap returns a server's cap by its status.
func (p Policy) Cap(status *wire.ServerStatus) int {
	fullCap := p.FullCap(status)
	if status.GetState() == wire.ServerState_SERVER_STATE_COLD {
		fullCap = p.RecoveryCap(fullCap)
	}
	return p.SlowStartCapAfter(fullCap, status.GetAnswered())
}
