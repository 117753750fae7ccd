package serverstatus

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/wire"
)

// Digest identifies a set of reports of one watcher, independently of the order in
// which they are added. It allows a watcher to confirm that its reports are unchanged
// without sending them again.
type Digest uint64

// AddReport adds a report to the digest, unless its server is gone.
func (d *Digest) AddReport(report *wire.Report) {
	if report.GetStatus().GetState() == wire.ServerState_SERVER_STATE_GONE {
		return
	}
	key := binary.LittleEndian.AppendUint64([]byte(report.GetServer()), report.GetCounter())
	*d += Digest(xxhash.Sum64(key))
}

// ConfirmUnchanged applies a watcher's confirmation that its reports are unchanged: it
// updates their timestamps and returns their servers. If the digest of the reports that
// are stored of this incarnation of the watcher differs, or none is stored, it changes
// nothing and matches is false. now is fleet time.
func (r *ReportStore) ConfirmUnchanged(unchanged *wire.Unchanged, now time.Time) (servers []string, matches bool) {
	var storedDigest Digest
	for server, entry := range r.servers {
		if stored, ok := entry.reports[unchanged.GetWatcher()]; ok && isCoveredBy(stored.report, unchanged) {
			storedDigest.AddReport(stored.report)
			servers = append(servers, server)
		}
	}
	if uint64(storedDigest) != unchanged.GetDigest() || len(servers) == 0 {
		return nil, false
	}
	timestampMS := r.boundTimestampMS(unchanged.GetAtMs(), now)
	r.recordListObservation(unchanged.Watcher, timestampMS)
	for _, server := range servers {
		reports := r.servers[server].reports
		stored := reports[unchanged.Watcher]
		stored.timestampMS = max(stored.timestampMS, timestampMS)
		reports[unchanged.Watcher] = stored
		r.needsMerge[server] = true
	}
	return servers, true
}

// isCoveredBy reports whether a report of the watcher belongs to the set whose digest
// the confirmation contains.
func isCoveredBy(report *wire.Report, unchanged *wire.Unchanged) bool {
	return report.Incarnation == unchanged.GetIncarnation() && report.Status.State != wire.ServerState_SERVER_STATE_GONE
}
