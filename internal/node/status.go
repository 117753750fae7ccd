package node

import (
	"context"
	"strings"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/node/follower"
	"stepwick/internal/wire"
)

type processStatus struct {
	follower.Status
	Ready     bool            `json:"ready"`
	Cause     string          `json:"cause,omitempty"`
	Role      string          `json:"role"`
	Standing  string          `json:"standing,omitempty"`
	Formation string          `json:"formation,omitempty"`
	Processes []processRecord `json:"processes"`
}

type processRecord struct {
	Name     string `json:"name"`
	Zone     string `json:"locality"`
	Address  string `json:"address"`
	Caller   string `json:"caller"`
	Core     bool   `json:"core"`
	Standing string `json:"standing,omitempty"`
	Ready    bool   `json:"ready"`   // as it last said
	SeenMS   int64  `json:"seen_ms"` // since it was last seen to live
}

func standingName(s wire.Standing) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STANDING_"))
}

func (p *process) status() processStatus {
	s := processStatus{Role: p.role, Status: p.follower.View().Status(p.base.Name,
		sheet.ZoneName(p.base.Region, p.base.Zone), p.follower.Ruling(), p.follower.FleetNow())}
	if apiErr := p.ready(); apiErr != nil {
		s.Cause = apiErr.Error()
	} else {
		s.Ready = true
	}
	if p.replica != nil {
		s.Standing, s.Formation = standingName(p.replica.Standing()), p.replica.Formation()
	}
	ready := map[string]bool{}
	for _, live := range p.follower.View().Fronts {
		ready[live.Name] = live.Ready
	}
	for _, sight := range p.directory.Sights() {
		known := sight.Process
		record := processRecord{Name: known.Name, Zone: sheet.ZoneName(known.Region, known.Zone), Address: known.Address,
			Caller: known.CallerAddress, Core: known.Core, Ready: ready[known.Name], SeenMS: p.clock.Now().Sub(sight.Seen).Milliseconds()}
		if known.Core {
			record.Standing = standingName(known.Standing)
		}
		s.Processes = append(s.Processes, record)
	}
	return s
}

func (p *process) tally(tenant string) (any, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	views, err := p.spend.Inspect(ctx, tenant)
	return views, err == nil
}
