package checker

import (
	"net/http"
	"sort"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

// checkRaces finds sheet versions with two acknowledged successors, and races in which
// every order was rejected because of a conflict.
func checkRaces(recording *history.Recording) findings {
	var evidence findings
	evidence.addSecondWinners(recording)
	evidence.addRacesWithoutWinner(recording)
	sort.Strings(evidence)
	return evidence
}

// addSecondWinners adds acknowledged orders whose base version is also that of another
// acknowledged order.
func (f *findings) addSecondWinners(recording *history.Recording) {
	winners := map[uint64]history.Order{} // by base version
	for _, order := range recording.Orders {
		if !isSheetOrder(order) || !order.Acknowledged() {
			continue
		}
		winner, ok := winners[order.Base]
		if ok && winner.ID != order.ID {
			f.addf("orders %s and %s, both on base %d, were both acknowledged (epochs %d and %d)",
				winner.ID, order.ID, order.Base, winner.Version, order.Version)
			continue
		}
		winners[order.Base] = order
	}
}

// addRacesWithoutWinner adds races in which every order was rejected because its base
// was no longer the current version.
func (f *findings) addRacesWithoutWinner(recording *history.Recording) {
	conflictsByRace := map[string]map[string]bool{} // race, order ID
	for _, order := range recording.Orders {
		if !isSheetOrder(order) || order.Race == "" {
			continue
		}
		orders := conflictsByRace[order.Race]
		if orders == nil {
			orders = map[string]bool{}
			conflictsByRace[order.Race] = orders
		}
		conflicted := order.Code == int(apierror.BaseConflict) && !order.AnswerLost
		orders[order.ID] = orders[order.ID] || conflicted
	}
	for race, orders := range conflictsByRace {
		if allTrue(orders) {
			f.addf("all %d orders of %s were rejected with a base conflict", len(orders), race)
		}
	}
}

func allTrue(values map[string]bool) bool {
	for _, value := range values {
		if !value {
			return false
		}
	}
	return true
}

// checkResentOrders finds orders that got different answers when they were resent, and
// rejected orders that were applied.
func checkResentOrders(recording *history.Recording) findings {
	var evidence findings
	accepted := map[string]history.Order{} // by order ID
	for _, order := range recording.Orders {
		if !order.Acknowledged() {
			continue
		}
		if first, ok := accepted[order.ID]; ok && first.Version != order.Version {
			evidence.addf("order %s was acknowledged as epoch %d and, when resent, as epoch %d", order.ID, first.Version, order.Version)
		}
		accepted[order.ID] = order
	}
	for _, order := range recording.Orders {
		if acknowledged, ok := accepted[order.ID]; ok && rejected(order) {
			evidence.addf("order %s was acknowledged as epoch %d, but rejected when resent at %s through %s with code %d",
				order.ID, acknowledged.Version, seconds(order.Sent), order.Front, order.Code)
		}
	}
	evidence.addRejectedButApplied(recording)
	return evidence
}

// addRejectedButApplied adds rejected orders whose sheet was read back.
func (f *findings) addRejectedButApplied(recording *history.Recording) {
	applied := map[string]bool{} // by sheet marker
	for _, read := range recording.ReadBacks {
		if read.Status == http.StatusOK && read.SheetMarker != "" {
			applied[read.SheetMarker] = true
		}
	}
	for _, order := range recording.Orders {
		if rejected(order) && order.SheetMarker != "" && applied[order.SheetMarker] {
			f.addf("order %s was rejected with code %d at %s, but its sheet was read back",
				order.ID, order.Code, seconds(order.Answered))
		}
	}
}

// rejected reports whether the operator received a rejection of the order.
func rejected(order history.Order) bool {
	clientError := order.Status >= http.StatusBadRequest && order.Status < http.StatusInternalServerError
	return !order.AnswerLost && clientError
}
