package checker

import (
	"strings"

	"stepwick/cmd/rig/history"
)

// slotsFactor bounds the requests in flight at a warm server, as a multiple of
// its slots.
const slotsFactor = 2

// checkDraining finds the first request that arrived at a server later than MaxDrainLag
// after the platform listed it as draining or leaving.
func checkDraining(recording *history.Recording) findings {
	var evidence findings
	changesByServer := map[string][]history.ListingChange{}
	for _, change := range recording.ListingChanges {
		changesByServer[change.Server] = append(changesByServer[change.Server], change)
	}
	reported := map[string]bool{}
	for _, run := range recording.Runs {
		listed := listingAt(changesByServer[run.Server], run.Arrived)
		key := run.Server + seconds(listed.At)
		if !isDraining(listed) || run.Arrived <= listed.At+MaxDrainLag || reported[key] {
			continue
		}
		reported[key] = true
		evidence.addf("request %s reached %s at %s, %s after it was listed as %s",
			run.Token, run.Server, seconds(run.Arrived), seconds(run.Arrived-listed.At), listed.State)
	}
	return evidence
}

// listingAt returns the change by which a server got its state at the instant. A change
// from draining to leaving is ignored: the drain starts with the first of them.
func listingAt(changes []history.ListingChange, instant history.Instant) history.ListingChange {
	var last history.ListingChange
	for _, change := range changes {
		if change.At > instant {
			break
		}
		if !isDraining(last) || !isDraining(change) {
			last = change
		}
	}
	return last
}

func isDraining(listed history.ListingChange) bool {
	return listed.State == history.StateDraining || listed.State == history.StateLeaving
}

// checkEvacuations finds, for each evacuation, the first request that arrived in the
// zone later than MaxEvacuationLag after the acknowledgement.
func checkEvacuations(recording *history.Recording) findings {
	var evidence findings
	for _, order := range recording.Orders {
		if order.Verb != history.VerbEvacuate || !order.Acknowledged() {
			continue
		}
		until := restoredAt(recording, order)
		for _, run := range recording.Runs {
			evacuated := inZone(recording.Zones[run.Server], order.Target)
			if evacuated && run.Arrived > order.Answered+MaxEvacuationLag && run.Arrived < until {
				evidence.addf("request %s reached %s in %s at %s, %s after the evacuation was acknowledged",
					run.Token, run.Server, order.Target, seconds(run.Arrived), seconds(run.Arrived-order.Answered))
				break
			}
		}
	}
	return evidence
}

// restoredAt returns the time at which the first order to restore an evacuated zone
// was sent, or the end of the recording.
func restoredAt(recording *history.Recording, evacuation history.Order) history.Instant {
	until := recording.End
	for _, order := range recording.Orders {
		if order.Verb == history.VerbRestore && order.Target == evacuation.Target && order.Sent > evacuation.Answered {
			until = min(until, order.Sent)
		}
	}
	return until
}

// inZone reports whether the target is the zone itself or its region.
func inZone(zone, target string) bool {
	return zone == target || strings.HasPrefix(zone, target+"/")
}

// checkInFlight finds model servers with too many requests in flight: the first case
// for each server and kind of bound.
func checkInFlight(recording *history.Recording) findings {
	var evidence findings
	reported := map[string]bool{}
	for _, run := range recording.Runs {
		if run.Kind != history.KindModel {
			continue
		}
		bound := slotsFactor * run.Slots
		description := "a warm server"
		if run.WarmingUp {
			bound = min(bound, SlowStartInFlight+SlowStartGrowth*run.Answered)
			description = "a cold server"
		}
		if run.InFlight <= bound || reported[run.Server+description] {
			continue
		}
		reported[run.Server+description] = true
		evidence.addf("%s, %s, had %d requests in flight at %s after %d answers; the bound is %d",
			description, run.Server, run.InFlight, seconds(run.Arrived), run.Answered, bound)
	}
	return evidence
}
