package node

import (
	"context"
	"strings"
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// quotaInspectTimeout bounds an inspection of a tenant's quota usage.
const quotaInspectTimeout = time.Second

// processStatus is the JSON form of the status of this process.
type processStatus struct {
	follower.Status
	Ready     bool            `json:"ready"`
	Cause     string          `json:"cause,omitempty"` // why the process is not ready
	Role      string          `json:"role"`
	Standing  string          `json:"standing,omitempty"` // if the process is a core
	Formation string          `json:"formation,omitempty"`
	Processes []processRecord `json:"processes"`
}

// processRecord is the JSON form of a process known to this one.
type processRecord struct {
	Name     string `json:"name"`
	Zone     string `json:"locality"`
	Address  string `json:"address"`
	Caller   string `json:"caller"`
	Core     bool   `json:"core"`
	Standing string `json:"standing,omitempty"`
	Ready    bool   `json:"ready"`   // as last reported by the process
	SeenMS   int64  `json:"seen_ms"` // time since the process was last seen, in ms
}

// standingName returns the lower-case name of a standing, as in the status.
func standingName(standing wire.Standing) string {
	return strings.ToLower(strings.TrimPrefix(standing.String(), "STANDING_"))
}

// status returns the current status of this process.
func (p *process) status() processStatus {
	view := p.follower.View()
	zone := sheet.ZoneName(p.identity.Region, p.identity.Zone)
	status := processStatus{
		Role:   p.role,
		Status: view.Status(p.identity.Name, zone, p.follower.HasAuthority(), p.follower.FleetNow()),
	}
	if apiErr := p.readiness(); apiErr != nil {
		status.Cause = apiErr.Error()
	} else {
		status.Ready = true
	}
	if p.replica != nil {
		status.Standing = standingName(p.replica.Standing())
		status.Formation = p.replica.Formation()
	}
	ready := map[string]bool{}
	for _, front := range p.follower.View().Fronts {
		ready[front.Name] = front.Ready
	}
	for _, known := range p.directory.KnownProcesses() {
		status.Processes = append(status.Processes, p.processRecordOf(known, ready[known.Process.Name]))
	}
	return status
}

// processRecordOf returns the JSON form of a known process.
func (p *process) processRecordOf(known port.KnownProcess, ready bool) processRecord {
	process := known.Process
	record := processRecord{
		Name:    process.Name,
		Zone:    sheet.ZoneName(process.Region, process.Zone),
		Address: process.Address,
		Caller:  process.CallerAddress,
		Core:    process.Core,
		Ready:   ready,
		SeenMS:  p.clock.Now().Sub(known.LastSeen).Milliseconds(),
	}
	if process.Core {
		record.Standing = standingName(process.Standing)
	}
	return record
}

// quotaUsage returns a tenant's quota usage; the second result is false if it could not
// be read.
func (p *process) quotaUsage(tenant string) ([]quota.TenantUsage, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaInspectTimeout)
	defer cancel()
	usages, err := p.quota.Inspect(ctx, tenant)
	return usages, err == nil
}
