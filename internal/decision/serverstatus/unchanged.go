package serverstatus

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/wire"
)

// Digest identifies a set of reports of one watcher, in whatever order they are
// added. It lets a watcher say that nothing has changed without repeating it.
type Digest uint64

// Add puts a report into the set; one of a server that is gone is no part of it.
func (d *Digest) Add(report *wire.Report) {
	if report.GetStatus().GetState() == wire.ServerState_SERVER_STATE_GONE {
		return
	}
	key := binary.LittleEndian.AppendUint64([]byte(report.GetServer()), report.GetCounter())
	*d += Digest(xxhash.Sum64(key))
}

// ConfirmUnchanged takes the word of a watcher that its reports still stand, and returns
// their servers. It is not known, and changes nothing, where other reports of
// the watcher are held than those it means.
func (r *ReportStore) ConfirmUnchanged(unchanged *wire.Unchanged, now time.Time) (servers []string, known bool) {
	var held Digest
	for server, e := range r.servers {
		if s, found := e.sightings[unchanged.GetWatcher()]; found && stands(s.report, unchanged) {
			held.Add(s.report)
			servers = append(servers, server)
		}
	}
	if uint64(held) != unchanged.GetDigest() || len(servers) == 0 {
		return nil, false
	}
	at := r.believed(unchanged.GetAtMs(), now)
	if _, sight := ParseWatcherID(unchanged.Watcher); sight == SourceList {
		r.listedAt = max(r.listedAt, at)
	}
	for _, server := range servers {
		sightings := r.servers[server].sightings
		s := sightings[unchanged.Watcher]
		s.at = max(s.at, at)
		sightings[unchanged.Watcher] = s
		r.dirty[server] = true
	}
	return servers, true
}

func stands(report *wire.Report, unchanged *wire.Unchanged) bool {
	return report.Incarnation == unchanged.GetIncarnation() && report.Status.State != wire.ServerState_SERVER_STATE_GONE
}

// believed bounds a watcher's fleet time, which may be ahead of this process's.
func (r *ReportStore) believed(at int64, now time.Time) int64 {
	if nowMS := now.UnixMilli(); at > nowMS+r.cfg.MaxClockSkew.Milliseconds() {
		return nowMS
	}
	return at
}
