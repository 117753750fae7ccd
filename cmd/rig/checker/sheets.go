package checker

import (
	"net/http"
	"slices"
	"sort"

	"stepwick/cmd/rig/history"
)

// checkReadBacks finds sheets that were read back older than acknowledged, or
// with other content.
func checkReadBacks(recording *history.Recording) findings {
	var found findings
	versions := acknowledgedMarkers(recording)
	for _, read := range recording.ReadBacks {
		if read.Status != http.StatusOK {
			continue
		}
		newest := newestAcknowledged(recording, read.Sent)
		version, known := versions[read.SheetMarker]
		switch {
		case read.Version < newest.Version:
			found.add("read back through %s at %s: sheet epoch %d, but %d (order %s) was acknowledged at %s",
				read.Front, seconds(read.Sent), read.Version, newest.Version, newest.ID, seconds(newest.Answered))
		case read.Version == newest.Version && newest.SheetMarker != "" && read.SheetMarker != newest.SheetMarker:
			found.add("read back through %s at %s: sheet epoch %d has mark %q, order %s put %q there",
				read.Front, seconds(read.Sent), read.Version, read.SheetMarker, newest.ID, newest.SheetMarker)
		case known && version != read.Version && version < newest.Version:
			found.add("read back through %s at %s: sheet epoch %d holds mark %s of epoch %d",
				read.Front, seconds(read.Sent), read.Version, read.SheetMarker, version)
		}
	}
	return found
}

// changesSheet reports whether an order replaces or changes the sheet.
func changesSheet(order history.Order) bool {
	return order.Verb == history.VerbPut || order.Verb == history.VerbPatch
}

// acknowledgedMarkers returns the sheet version of each acknowledged marker.
func acknowledgedMarkers(recording *history.Recording) map[string]uint64 {
	versions := map[string]uint64{}
	for _, order := range recording.Orders {
		if order.Acknowledged() && changesSheet(order) && order.SheetMarker != "" {
			versions[order.SheetMarker] = order.Version
		}
	}
	return versions
}

// newestAcknowledged returns the order of the newest sheet that was acknowledged
// before an instant.
func newestAcknowledged(recording *history.Recording, before history.Instant) history.Order {
	var newest history.Order
	for _, order := range recording.Orders {
		if order.Acknowledged() && changesSheet(order) && order.Answered < before && order.Version > newest.Version {
			newest = order
		}
	}
	return newest
}

// checkSheetLag finds nodes that used an older sheet, or didn't know the newest,
// too long after an acknowledgement.
func checkSheetLag(recording *history.Recording) findings {
	var found findings
	rotations := acknowledgedRotations(recording)
	superseded := map[int]history.Instant{}
	for key, rotation := range rotations {
		if next, ok := firstNewer(recording, rotation); ok {
			superseded[key] = next.Acknowledged
		}
	}
	for _, check := range recording.KeyChecks {
		rotation, ok := rotations[check.Key]
		if !ok {
			continue
		}
		if supersededAt, over := superseded[check.Key]; over && check.Accepted() && check.Sent >= supersededAt+MaxSheetLag {
			found.add("%s passed probe key %d (epoch %d) at %s; a newer sheet was acknowledged at %s, %s before",
				check.Front, check.Key, rotation.Version, seconds(check.Sent), seconds(supersededAt), seconds(check.Sent-supersededAt))
		}
		if check.RejectedAsUnknown() && check.Sent >= rotation.Acknowledged+MaxSheetLag && !newerSent(recording, rotation, check.Done) {
			found.add("%s did not know probe key %d (epoch %d) at %s; its sheet was acknowledged at %s, %s before",
				check.Front, check.Key, rotation.Version, seconds(check.Sent), seconds(rotation.Acknowledged), seconds(check.Sent-rotation.Acknowledged))
		}
	}
	return found
}

// acknowledgedRotations returns the acknowledged key rotations by key.
func acknowledgedRotations(recording *history.Recording) map[int]history.KeyRotation {
	rotations := map[int]history.KeyRotation{}
	for _, rotation := range recording.KeyRotations {
		if rotation.Acknowledged > 0 {
			rotations[rotation.Key] = rotation
		}
	}
	return rotations
}

// firstNewer returns the earliest acknowledged rotation to a newer sheet.
func firstNewer(recording *history.Recording, than history.KeyRotation) (first history.KeyRotation, ok bool) {
	for _, rotation := range recording.KeyRotations {
		newer := rotation.Acknowledged > 0 && rotation.Version > than.Version
		if newer && (!ok || rotation.Acknowledged < first.Acknowledged) {
			first = rotation
			ok = true
		}
	}
	return first, ok
}

// newerSent reports whether another sheet that may be newer was sent by an instant.
func newerSent(recording *history.Recording, than history.KeyRotation, by history.Instant) bool {
	return slices.ContainsFunc(recording.KeyRotations, func(other history.KeyRotation) bool {
		mayBeNewer := other.Acknowledged == 0 || other.Version > than.Version
		return other.Key != than.Key && other.Sent <= by && mayBeNewer
	})
}

// observedVersion is a sheet version that a node used, and when that was seen.
type observedVersion struct {
	version uint64
	done    history.Instant
}

// checkVersionOrder finds nodes that used an older sheet after a newer one.
func checkVersionOrder(recording *history.Recording) findings {
	var found findings
	rotations := acknowledgedRotations(recording)
	observed := map[string][]observedVersion{} // by node, versions rising
	checks := slices.Clone(recording.KeyChecks)
	sort.Slice(checks, func(i, j int) bool { return checks[i].Sent < checks[j].Sent })
	for _, check := range checks {
		rotation, ok := rotations[check.Key]
		if !ok || !check.Accepted() {
			continue
		}
		earlier := observed[check.Front]
		newer := slices.IndexFunc(earlier, func(before observedVersion) bool {
			return before.version > rotation.Version && before.done <= check.Sent
		})
		if newer >= 0 {
			found.add("%s ruled by epoch %d at %s and by epoch %d again at %s", check.Front,
				earlier[newer].version, seconds(earlier[newer].done), rotation.Version, seconds(check.Sent))
		}
		if len(earlier) == 0 || earlier[len(earlier)-1].version < rotation.Version {
			observed[check.Front] = append(earlier, observedVersion{rotation.Version, check.Done})
		}
	}
	return found
}

// checkInvalidSheets finds invalid sheets that were accepted.
func checkInvalidSheets(recording *history.Recording) findings {
	var found findings
	for _, order := range recording.Orders {
		if order.Invalid && order.Acknowledged() {
			found.add("order %s has an invalid sheet and was acknowledged at %s as epoch %d",
				order.ID, seconds(order.Answered), order.Version)
		}
	}
	return found
}

// checkRevokedKeys finds keys that work too long after a sheet without them was
// acknowledged.
func checkRevokedKeys(recording *history.Recording) findings {
	var found findings
	rotations := acknowledgedRotations(recording)
	for _, check := range recording.KeyChecks {
		rotation, ok := rotations[check.Key]
		if !ok || !check.Accepted() {
			continue
		}
		if next, over := firstNewer(recording, rotation); over && check.Sent >= next.Acknowledged+MaxRevocationLag {
			found.add("%s passed probe key %d at %s; epoch %d that revoked it was acknowledged at %s",
				check.Front, check.Key, seconds(check.Sent), next.Version, seconds(next.Acknowledged))
		}
	}
	return found
}
