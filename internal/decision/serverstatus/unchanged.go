package serverstatus

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/wire"
)

// Digest identifies a set of reports of one watcher, in whatever order they are
// added. It lets a watcher state that nothing changed without repeating it.
type Digest uint64

// Add adds a report to the set; one on a server that is gone is no part of it.
func (d *Digest) Add(report *wire.Report) {
	if report.GetStatus().GetState() == wire.ServerState_SERVER_STATE_GONE {
		return
	}
	key := binary.LittleEndian.AppendUint64([]byte(report.GetServer()), report.GetCounter())
	*d += Digest(xxhash.Sum64(key))
}

// ConfirmUnchanged takes a watcher's statement that its reports are unchanged,
// which renews their instant, and returns their servers. Where other reports of the
// watcher are stored than those meant, it changes nothing and known is false. now
// is fleet time.
func (r *ReportStore) ConfirmUnchanged(unchanged *wire.Unchanged, now time.Time) (servers []string, known bool) {
	var stored Digest
	for server, entry := range r.servers {
		if dated, found := entry.reports[unchanged.GetWatcher()]; found && isMeant(dated.report, unchanged) {
			stored.Add(dated.report)
			servers = append(servers, server)
		}
	}
	if uint64(stored) != unchanged.GetDigest() || len(servers) == 0 {
		return nil, false
	}
	atMS := r.boundedAtMS(unchanged.GetAtMs(), now)
	r.recordListed(unchanged.Watcher, atMS)
	for _, server := range servers {
		reports := r.servers[server].reports
		dated := reports[unchanged.Watcher]
		dated.atMS = max(dated.atMS, atMS)
		reports[unchanged.Watcher] = dated
		r.outdated[server] = true
	}
	return servers, true
}

// isMeant reports whether a report is among those that a statement may be about.
func isMeant(report *wire.Report, unchanged *wire.Unchanged) bool {
	return report.Incarnation == unchanged.GetIncarnation() && report.Status.State != wire.ServerState_SERVER_STATE_GONE
}
