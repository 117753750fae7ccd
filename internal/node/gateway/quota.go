package gateway

import "stepwick/internal/decision/sheet"

// Quota says which part of a tenant's allowance its requests may use.
type Quota struct {
	// Part is given out at all; 1 when zero.
	Part float64
	// Reserve is kept from a request for each step that its route is less urgent
	// than the most urgent ones, so that of a tenant in excess the less urgent
	// requests are refused first.
	Reserve float64
}

const (
	// reserveSteps is the most steps that count.
	reserveSteps = 3
	// smallShare is the part of a second's rate up to which a request is too small
	// to be worth refusing for others.
	smallShare = 0.003
)

// part returns the part of the allowance up to which a request of so many units
// may pass.
func (q Quota) part(units float64, tenant sheet.Tenant, priority int) float64 {
	if units <= smallShare*tenant.Rate {
		return q.Part
	}
	return q.Part - q.Reserve*float64(min(priority, reserveSteps))
}
