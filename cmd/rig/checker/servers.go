package checker

import (
	"strings"

	"stepwick/cmd/rig/history"
)

// slotsFactor bounds the requests in flight at a warm server, as a multiple of
// its slots.
const slotsFactor = 2

// checkDraining finds servers that got requests long after they were listed as
// draining; the first request of each.
func checkDraining(recording *history.Recording) findings {
	var found findings
	changesByServer := map[string][]history.ListingChange{}
	for _, change := range recording.ListingChanges {
		changesByServer[change.Server] = append(changesByServer[change.Server], change)
	}
	reported := map[string]bool{}
	for _, run := range recording.Runs {
		listed := listingAt(changesByServer[run.Server], run.Arrived)
		key := run.Server + seconds(listed.At)
		if !takesNoRequests(listed) || run.Arrived <= listed.At+MaxDrainLag || reported[key] {
			continue
		}
		reported[key] = true
		found.add("request %s reached %s at %s, %s after it showed as %s",
			run.Token, run.Server, seconds(run.Arrived), seconds(run.Arrived-listed.At), listed.State)
	}
	return found
}

// listingAt returns the change that put a server into its state of that instant.
// From draining to leaving counts as no change: the time runs from the first.
func listingAt(changes []history.ListingChange, at history.Instant) history.ListingChange {
	var last history.ListingChange
	for _, change := range changes {
		if change.At > at {
			break
		}
		if !takesNoRequests(last) || !takesNoRequests(change) {
			last = change
		}
	}
	return last
}

func takesNoRequests(listed history.ListingChange) bool {
	return listed.State == history.StateDraining || listed.State == history.StateLeaving
}

// checkEvacuations finds evacuated zones that got requests; the first request of
// each evacuation.
func checkEvacuations(recording *history.Recording) findings {
	var found findings
	for _, order := range recording.Orders {
		if order.Verb != history.VerbEvacuate || !order.Acknowledged() {
			continue
		}
		until := restoredAt(recording, order)
		for _, run := range recording.Runs {
			evacuated := inZone(recording.Zones[run.Server], order.Target)
			if evacuated && run.Arrived > order.Answered+MaxEvacuationLag && run.Arrived < until {
				found.add("request %s reached %s in %s at %s, %s after the evacuation was acknowledged",
					run.Token, run.Server, order.Target, seconds(run.Arrived), seconds(run.Arrived-order.Answered))
				break
			}
		}
	}
	return found
}

// restoredAt returns when the first order to restore an evacuated zone was sent,
// or the end of the recording.
func restoredAt(recording *history.Recording, evacuation history.Order) history.Instant {
	until := recording.End
	for _, order := range recording.Orders {
		if order.Verb == history.VerbRestore && order.Target == evacuation.Target && order.Sent > evacuation.Answered {
			until = min(until, order.Sent)
		}
	}
	return until
}

// inZone reports whether a zone is the target or lies in it (a region).
func inZone(zone, target string) bool {
	return zone == target || strings.HasPrefix(zone, target+"/")
}

// checkInFlight finds model servers with too many requests at a time; the first
// case of each server and kind of bound.
func checkInFlight(recording *history.Recording) findings {
	var found findings
	reported := map[string]bool{}
	for _, run := range recording.Runs {
		if run.Kind != history.KindModel {
			continue
		}
		bound := slotsFactor * run.Slots
		description := "a server that was left"
		if run.WarmingUp {
			bound = min(bound, SlowStartInFlight+SlowStartGrowth*run.Answered)
			description = "a cold server"
		}
		if run.InFlight <= bound || reported[run.Server+description] {
			continue
		}
		reported[run.Server+description] = true
		found.add("%s, %s, had %d requests at %s after %d answers; the bound is %d",
			description, run.Server, run.InFlight, seconds(run.Arrived), run.Answered, bound)
	}
	return found
}
