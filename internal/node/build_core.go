package node

import (
	"os"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/node/control"
	"stepwick/internal/node/replica"
)

// buildCore builds the services that only a core has.
func (p *process) buildCore() error {
	firstSheet, err := p.readFirstSheet()
	if err != nil {
		return err
	}
	var onReplaced func()
	if p.values.Bool("core.join") {
		onReplaced = p.notifyReplaced
	}
	disk := disklog.Config{
		Folder:       p.values.String("data"),
		SegmentBytes: int64(p.values.Int("disk.segment")),
		QuotaBytes:   int64(p.values.Int("disk.quota")),
		SyncDelay:    p.values.Duration("disk.sync_delay"),
		Clock:        p.clock,
	}
	p.replica = replica.New(replica.Config{
		Self:            p.identity.Name,
		VoterCount:      p.values.Int("core.voters"),
		FirstSheet:      firstSheet,
		SnapshotRecords: p.values.Int("snapshot.records"),
		OnReplaced:      onReplaced,
	}, replica.OnDisk(disk), p.directory, p.clock, p.log)
	p.controller = control.New(control.Config{
		Self:          p.identity.Name,
		Incarnation:   p.identity.Incarnation,
		LeaseTTL:      p.values.Duration("lease.ttl"),
		PingInterval:  p.values.Duration("ping.interval"),
		PlanPeriod:    p.values.Duration("plan.period"),
		PlanPolicy:    p.planPolicy(),
		SheetMaxBytes: p.values.Int("sheet.max"),
		FleetNow:      p.follower.FleetNow,
	}, p.replica, p.directory, p.clock, p.log)
	return nil
}

// readFirstSheet reads the sheet to propose in a new fleet, or returns nil if none is
// configured. The process does not start with an invalid sheet.
func (p *process) readFirstSheet() ([]byte, error) {
	file := p.values.String("first_sheet")
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read first sheet (setting first_sheet)")
	}
	if _, apiErr := sheet.ParseSheet(data, p.values.Int("sheet.max")); apiErr != nil {
		return nil, errors.Wrapf(apiErr, "parse first sheet %s (setting first_sheet)", file)
	}
	return data, nil
}
