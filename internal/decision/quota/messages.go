package quota

import (
	"time"

	"stepwick/internal/wire"
)

// reportWindow is the window number of counts and totals that carry a report instead of
// a window's tokens. Only this file encodes and decodes reports.
const reportWindow = 0

// minReportedDemand is the least demand in the report of an active tenant, since zero
// means that the tenant is idle.
const minReportedDemand = 1e-9

// demandReport is a front's report of a tenant's demand at that front.
//
// On the wire it is a Count of reportWindow. Own holds the tokens, zero for an idle
// tenant, and Learned the instant of the report in microseconds since the Unix epoch.
type demandReport struct {
	tokens    float64
	sampledAt time.Time
	idle      bool // the tenant is no longer active at the front
}

func isDemandReport(count *wire.Count) bool { return count.Window == reportWindow }

func (r demandReport) wireCount(tenant string) *wire.Count {
	count := &wire.Count{Tenant: tenant, Window: reportWindow}
	if !r.idle {
		count.Own = max(r.tokens, minReportedDemand)
		count.Learned = float64(r.sampledAt.UnixMicro())
	}
	return count
}

func readDemandReport(count *wire.Count) demandReport {
	return demandReport{
		tokens:    count.Own,
		sampledAt: time.UnixMicro(int64(count.Learned)),
		idle:      count.Own == 0,
	}
}

// allocationReport is an owner's report of the part of a tenant's limit that a front may
// spend.
//
// On the wire it is a Total of reportWindow. Acked holds the share and Total the reserved
// fraction. If the latter is above zero, Slices holds reservedSpent. If sendSpacing is
// above zero, AckedSlices holds it in microseconds.
type allocationReport struct {
	share         float64 // fraction of the remaining capacity allocated to the front
	reserved      float64 // fraction of the limit reserved for unresponsive fronts
	reservedSpent float64 // tokens of the reservation that these fronts are known to have spent

	// sendSpacing is the minimum time between two requests to the owner; zero if it is
	// not limited.
	sendSpacing time.Duration
}

func isAllocationReport(total *wire.Total) bool { return total.Window == reportWindow }

func (r allocationReport) wireTotal(tenant string) *wire.Total {
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
