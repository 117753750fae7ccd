package serverstatus

import "strings"

// Source identifies where the status in a report was obtained.
type Source string

// Sources of reports.
const (
	// SourceList is the platform's list of servers.
	SourceList Source = "list"
	// SourceServer is the server's own status endpoint.
	SourceServer Source = "own"
	// SourceMerged is the status that a core merged from all reports it stores and
	// publishes in their place.
	SourceMerged Source = "fold"
)

const sourceSeparator = "/"

// WatcherID returns the id under which a process reports from a source. Reports carry
// it in their Watcher field.
func WatcherID(process string, source Source) string {
	return process + sourceSeparator + string(source)
}

// ParseWatcherID returns the process and the source of a watcher id. The source of an
// id without a known source suffix is SourceServer.
func ParseWatcherID(id string) (process string, source Source) {
	for _, source := range []Source{SourceList, SourceMerged} {
		if process, found := strings.CutSuffix(id, sourceSeparator+string(source)); found {
			return process, source
		}
	}
	return strings.TrimSuffix(id, sourceSeparator+string(SourceServer)), SourceServer
}

// isFromSource reports whether a watcher id belongs to a source.
func isFromSource(watcherID string, source Source) bool {
	_, parsed := ParseWatcherID(watcherID)
	return parsed == source
}
