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

// tallyTimeout bounds an inspection of the quota's counters.
const tallyTimeout = time.Second

// processStatus is the JSON form of a process's status.
type processStatus struct {
	follower.Status
	Ready     bool            `json:"ready"`
	Cause     string          `json:"cause,omitempty"` // why it isn't ready
	Role      string          `json:"role"`
	Standing  string          `json:"standing,omitempty"` // of a core
	Formation string          `json:"formation,omitempty"`
	Processes []processRecord `json:"processes"`
}

// processRecord is the JSON form of what is known of a process.
type processRecord struct {
	Name     string `json:"name"`
	Zone     string `json:"locality"`
	Address  string `json:"address"`
	Caller   string `json:"caller"`
	Core     bool   `json:"core"`
	Standing string `json:"standing,omitempty"`
	Ready    bool   `json:"ready"`   // as it last reported
	SeenMS   int64  `json:"seen_ms"` // since it was last seen
}

// standingName returns the name of a standing in the status.
func standingName(standing wire.Standing) string {
	return strings.ToLower(strings.TrimPrefix(standing.String(), "STANDING_"))
}

// status returns the process's status.
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
		status.Processes = append(status.Processes, p.record(known, ready[known.Process.Name]))
	}
	return status
}

// record returns the JSON form of what is known of a process.
func (p *process) record(known port.KnownProcess, ready bool) processRecord {
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

// tally returns the counters of a tenant's quota.
func (p *process) tally(tenant string) ([]quota.TenantUsage, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), tallyTimeout)
	defer cancel()
	views, err := p.quota.Inspect(ctx, tenant)
	return views, err == nil
}
