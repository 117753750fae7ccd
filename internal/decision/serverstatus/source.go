package serverstatus

import "strings"

// Source is where a report's status comes from.
type Source string

// Sources of reports.
const (
	// SourceList is the platform's list of servers.
	SourceList Source = "list"
	// SourceServer is the server's own status endpoint.
	SourceServer Source = "own"
	// SourceMerged is the status that a core merged from all of its reports and
	// published in their place.
	SourceMerged Source = "fold"
)

const sourceSeparator = "/"

// WatcherID returns the id under which a process reports from a source. It is the
// watcher field of a report.
func WatcherID(process string, source Source) string {
	return process + sourceSeparator + string(source)
}

// ParseWatcherID returns the process and the source of a watcher id. An id without
// a source reports from the server itself.
func ParseWatcherID(id string) (process string, source Source) {
	for _, source := range []Source{SourceList, SourceMerged} {
		if process, found := strings.CutSuffix(id, sourceSeparator+string(source)); found {
			return process, source
		}
	}
	return strings.TrimSuffix(id, sourceSeparator+string(SourceServer)), SourceServer
}

// isFrom reports whether a watcher id reports from a source.
func isFrom(watcherID string, source Source) bool {
	_, parsed := ParseWatcherID(watcherID)
	return parsed == source
}
