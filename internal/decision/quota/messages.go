package quota

import (
	"time"

	"stepwick/internal/wire"
)

// reportWindow is the window number of counts and totals that carry a report in
// place of a window's tokens. This file alone reads and writes these.
const reportWindow = 0

// minReportedDemand encodes no demand in an active tenant's report, since zero
// means that the tenant is idle.
const minReportedDemand = 1e-9

// demandReport is what a front reports of a tenant's demand there.
//
// On the wire it is a Count of reportWindow with the tokens in Own, zero for an idle
// tenant, and the instant in microseconds in Learned.
type demandReport struct {
	tokens float64
	at     time.Time
	idle   bool // the tenant is no longer active at the front
}

func isDemandReport(count *wire.Count) bool { return count.Window == reportWindow }

func (r demandReport) count(tenant string) *wire.Count {
	count := &wire.Count{Tenant: tenant, Window: reportWindow}
	if !r.idle {
		count.Own = max(r.tokens, minReportedDemand)
		count.Learned = float64(r.at.UnixMicro())
	}
	return count
}

func readDemandReport(count *wire.Count) demandReport {
	return demandReport{
		tokens: count.Own,
		at:     time.UnixMicro(int64(count.Learned)),
		idle:   count.Own == 0,
	}
}

// allocationReport is what an owner reports of a front's part in a tenant's limit.
//
// On the wire it is a Total of reportWindow with the share in Acked, the reserved
// fraction in Total and, if that is above zero, the tokens spent of it in Slices.
// AckedSlices holds sendSpacing in microseconds, if it is above zero.
type allocationReport struct {
	share         float64 // fraction of the remaining capacity that is the front's
	reserved      float64 // fraction of the limit reserved for unresponsive fronts
	reservedSpent float64 // tokens of it that these are known to have spent

	// sendSpacing is the least time between two requests to the owner; zero: not limited.
	sendSpacing time.Duration
}

func isAllocationReport(total *wire.Total) bool { return total.Window == reportWindow }

func (r allocationReport) total(tenant string) *wire.Total {
	total := &wire.Total{
		Tenant: tenant,
		Window: reportWindow,
		Total:  r.reserved,
		Acked:  r.share,
	}
	if r.reserved > 0 {
		total.Slices = []float64{r.reservedSpent}
	}
	if r.sendSpacing > 0 {
		total.AckedSlices = []float64{float64(r.sendSpacing.Microseconds())}
	}
	return total
}

func readAllocationReport(total *wire.Total) allocationReport {
	report := allocationReport{share: total.Acked, reserved: total.Total}
	if len(total.Slices) > 0 {
		report.reservedSpent = total.Slices[0]
	}
	if len(total.AckedSlices) > 0 {
		report.sendSpacing = time.Duration(total.AckedSlices[0]) * time.Microsecond
	}
	return report
}
