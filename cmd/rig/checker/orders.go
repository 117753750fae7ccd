package checker

import (
	"net/http"
	"sort"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

// checkRaces finds races with two winners or with none.
func checkRaces(recording *history.Recording) findings {
	var found findings
	found.addSecondWinners(recording)
	found.addRacesWithoutWinner(recording)
	sort.Strings(found)
	return found
}

// addSecondWinners adds orders acknowledged on a base on which another one was.
func (f *findings) addSecondWinners(recording *history.Recording) {
	winners := map[uint64]history.Order{} // by base version
	for _, order := range recording.Orders {
		if !changesSheet(order) || !order.Acknowledged() {
			continue
		}
		winner, ok := winners[order.Base]
		if ok && winner.ID != order.ID {
			f.add("orders %s and %s, both on base %d, were told that they won (epochs %d and %d)",
				winner.ID, order.ID, order.Base, winner.Version, order.Version)
			continue
		}
		winners[order.Base] = order
	}
}

// addRacesWithoutWinner adds races of which each order was rejected because
// another had moved the base.
func (f *findings) addRacesWithoutWinner(recording *history.Recording) {
	beatenByRace := map[string]map[string]bool{} // race, order ID
	for _, order := range recording.Orders {
		if !changesSheet(order) || order.Race == "" {
			continue
		}
		orders := beatenByRace[order.Race]
		if orders == nil {
			orders = map[string]bool{}
			beatenByRace[order.Race] = orders
		}
		beaten := order.Code == int(apierror.BaseConflict) && !order.AnswerLost
		orders[order.ID] = orders[order.ID] || beaten
	}
	for race, orders := range beatenByRace {
		if allTrue(orders) {
			f.add("all %d operators of %s were told that another won", len(orders), race)
		}
	}
}

func allTrue(set map[string]bool) bool {
	for _, value := range set {
		if !value {
			return false
		}
	}
	return true
}

// checkResentOrders finds orders with two different answers.
func checkResentOrders(recording *history.Recording) findings {
	var found findings
	accepted := map[string]history.Order{} // by order ID
	for _, order := range recording.Orders {
		if !order.Acknowledged() {
			continue
		}
		if first, ok := accepted[order.ID]; ok && first.Version != order.Version {
			found.add("order %s was accepted as epoch %d and again as epoch %d", order.ID, first.Version, order.Version)
		}
		accepted[order.ID] = order
	}
	for _, order := range recording.Orders {
		if before, ok := accepted[order.ID]; ok && rejected(order) {
			found.add("order %s was accepted as epoch %d and, sent again at %s through %s, refused with code %d",
				order.ID, before.Version, seconds(order.Sent), order.Front, order.Code)
		}
	}
	found.addRejectedButApplied(recording)
	return found
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
			f.add("order %s was refused with code %d at %s, but its sheet was read back",
				order.ID, order.Code, seconds(order.Answered))
		}
	}
}

// rejected reports whether the operator received that the order is rejected.
func rejected(order history.Order) bool {
	clientError := order.Status >= http.StatusBadRequest && order.Status < http.StatusInternalServerError
	return !order.AnswerLost && clientError
}
