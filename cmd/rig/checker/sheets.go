package checker

import (
	"net/http"
	"slices"
	"sort"

	"stepwick/cmd/rig/history"
)

// checkReadBacks finds sheets read back that are older than the newest acknowledged
// one, or whose content differs from that of their version.
func checkReadBacks(recording *history.Recording) findings {
	var evidence findings
	versions := acknowledgedMarkers(recording)
	for _, read := range recording.ReadBacks {
		if read.Status != http.StatusOK {
			continue
		}
		newest := newestAcknowledged(recording, read.Sent)
		version, isAcknowledged := versions[read.SheetMarker]
		switch {
		case read.Version < newest.Version:
			evidence.addf("read back through %s at %s: sheet epoch %d, but %d (order %s) was acknowledged at %s",
				read.Front, seconds(read.Sent), read.Version, newest.Version, newest.ID, seconds(newest.Answered))
		case read.Version == newest.Version && newest.SheetMarker != "" && read.SheetMarker != newest.SheetMarker:
			evidence.addf("read back through %s at %s: sheet epoch %d has mark %q, order %s set mark %q",
				read.Front, seconds(read.Sent), read.Version, read.SheetMarker, newest.ID, newest.SheetMarker)
		case isAcknowledged && version != read.Version && version < newest.Version:
			evidence.addf("read back through %s at %s: sheet epoch %d has mark %s of epoch %d",
				read.Front, seconds(read.Sent), read.Version, read.SheetMarker, version)
		}
	}
	return evidence
}

// isSheetOrder reports whether an order replaces or changes the sheet.
func isSheetOrder(order history.Order) bool {
	return order.Verb == history.VerbPut || order.Verb == history.VerbPatch
}

// acknowledgedMarkers returns the sheet version of each acknowledged marker.
func acknowledgedMarkers(recording *history.Recording) map[string]uint64 {
	versions := map[string]uint64{}
	for _, order := range recording.Orders {
		if order.Acknowledged() && isSheetOrder(order) && order.SheetMarker != "" {
			versions[order.SheetMarker] = order.Version
		}
	}
	return versions
}

// newestAcknowledged returns the order with the highest sheet version of those
// acknowledged before an instant.
func newestAcknowledged(recording *history.Recording, before history.Instant) history.Order {
	var newest history.Order
	for _, order := range recording.Orders {
		if order.Acknowledged() && isSheetOrder(order) && order.Answered < before && order.Version > newest.Version {
			newest = order
		}
	}
	return newest
}

// checkSheetLag finds nodes that used a superseded sheet, or rejected the key of the
// newest, later than MaxSheetLag after the acknowledgement.
func checkSheetLag(recording *history.Recording) findings {
	var evidence findings
	rotations := acknowledgedRotations(recording)
	superseded := map[int]history.Instant{}
	for key, rotation := range rotations {
		if next, ok := firstNewerRotation(recording, rotation); ok {
			superseded[key] = next.Acknowledged
		}
	}
	for _, check := range recording.KeyChecks {
		rotation, ok := rotations[check.Key]
		if !ok {
			continue
		}
		if supersededAt, over := superseded[check.Key]; over && check.Accepted() && check.Sent >= supersededAt+MaxSheetLag {
			evidence.addf("%s accepted probe key %d (epoch %d) at %s; a newer sheet was acknowledged at %s, %s earlier",
				check.Front, check.Key, rotation.Version, seconds(check.Sent), seconds(supersededAt), seconds(check.Sent-supersededAt))
		}
		if check.RejectedAsUnknown() && check.Sent >= rotation.Acknowledged+MaxSheetLag && !newerSheetSent(recording, rotation, check.Done) {
			evidence.addf("%s rejected probe key %d (epoch %d) as unknown at %s; its sheet was acknowledged at %s, %s earlier",
				check.Front, check.Key, rotation.Version, seconds(check.Sent), seconds(rotation.Acknowledged), seconds(check.Sent-rotation.Acknowledged))
		}
	}
	return evidence
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

// firstNewerRotation returns the rotation to a newer sheet that was acknowledged first.
func firstNewerRotation(recording *history.Recording, than history.KeyRotation) (first history.KeyRotation, ok bool) {
	for _, rotation := range recording.KeyRotations {
		newer := rotation.Acknowledged > 0 && rotation.Version > than.Version
		if newer && (!ok || rotation.Acknowledged < first.Acknowledged) {
			first = rotation
			ok = true
		}
	}
	return first, ok
}

// newerSheetSent reports whether another sheet that may be newer had been sent by an
// instant. A sheet without an acknowledgement has no known version and may be newer.
func newerSheetSent(recording *history.Recording, than history.KeyRotation, by history.Instant) bool {
	return slices.ContainsFunc(recording.KeyRotations, func(other history.KeyRotation) bool {
		mayBeNewer := other.Acknowledged == 0 || other.Version > than.Version
		return other.Key != than.Key && other.Sent <= by && mayBeNewer
	})
}

// observedVersion is a sheet version that a node used, and the time of the observation.
type observedVersion struct {
	version    uint64
	observedAt history.Instant
}

// checkVersionOrder finds nodes that went back to an older sheet after using a newer one.
func checkVersionOrder(recording *history.Recording) findings {
	var evidence findings
	rotations := acknowledgedRotations(recording)
	observed := map[string][]observedVersion{} // by node, in ascending order of versions
	checks := slices.Clone(recording.KeyChecks)
	sort.Slice(checks, func(i, j int) bool { return checks[i].Sent < checks[j].Sent })
	for _, check := range checks {
		rotation, ok := rotations[check.Key]
		if !ok || !check.Accepted() {
			continue
		}
		earlier := observed[check.Front]
		newer := slices.IndexFunc(earlier, func(before observedVersion) bool {
			return before.version > rotation.Version && before.observedAt <= check.Sent
		})
		if newer >= 0 {
			evidence.addf("%s used epoch %d at %s and went back to epoch %d at %s", check.Front,
				earlier[newer].version, seconds(earlier[newer].observedAt), rotation.Version, seconds(check.Sent))
		}
		if len(earlier) == 0 || earlier[len(earlier)-1].version < rotation.Version {
			observed[check.Front] = append(earlier, observedVersion{rotation.Version, check.Done})
		}
	}
	return evidence
}

// checkInvalidSheets finds invalid sheets that were acknowledged.
func checkInvalidSheets(recording *history.Recording) findings {
	var evidence findings
	for _, order := range recording.Orders {
		if order.Invalid && order.Acknowledged() {
			evidence.addf("order %s has an invalid sheet and was acknowledged at %s as epoch %d",
				order.ID, seconds(order.Answered), order.Version)
		}
	}
	return evidence
}

// checkRevokedKeys finds keys accepted later than MaxRevocationLag after a sheet that
// revokes them was acknowledged.
func checkRevokedKeys(recording *history.Recording) findings {
	var evidence findings
	rotations := acknowledgedRotations(recording)
	for _, check := range recording.KeyChecks {
		rotation, ok := rotations[check.Key]
		if !ok || !check.Accepted() {
			continue
		}
		if next, over := firstNewerRotation(recording, rotation); over && check.Sent >= next.Acknowledged+MaxRevocationLag {
			evidence.addf("%s accepted probe key %d at %s; epoch %d, which revoked it, was acknowledged at %s",
				check.Front, check.Key, seconds(check.Sent), next.Version, seconds(next.Acknowledged))
		}
	}
	return evidence
}
