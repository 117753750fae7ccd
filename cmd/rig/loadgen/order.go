package loadgen

import (
	"fmt"
	"net/http"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

// Order is an order that may be sent several times with the same ID.
type Order struct {
	history.Order
	Body OrderBody
	Key  int // number of the checked key that it sets; 0 for none
}

// OrderBody is the request body of an order. Only the fields of its verb are set.
type OrderBody struct {
	Base    *uint64  `json:"base,omitempty"` // put and patch
	Changes []Change `json:"changes,omitempty"`
	Zone    string   `json:"locality,omitempty"` // evacuate and restore
	ID      string   `json:"order_id"`
	Sheet   any      `json:"sheet,omitempty"` // put: a Sheet, or an invalid one
}

// Change is one change of a patch: the new value at a path of the sheet.
type Change struct {
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// endpoint is the HTTP method and path for orders of a verb.
type endpoint struct {
	method string
	path   string
}

var endpoints = map[string]endpoint{
	history.VerbPut:      {http.MethodPut, "/v1/control/sheet"},
	history.VerbPatch:    {http.MethodPatch, "/v1/control/sheet"},
	history.VerbEvacuate: {http.MethodPost, "/v1/control/evacuate"},
	history.VerbRestore:  {http.MethodPost, "/v1/control/restore"},
}

// newOrder returns an order with a new ID.
func (o *Operators) newOrder(operator, verb string, body OrderBody) *Order {
	body.ID = fmt.Sprintf("%s-%d", o.idPrefix, o.serial.Add(1))
	order := &Order{
		Order: history.Order{
			ID:       body.ID,
			Operator: operator,
			Verb:     verb,
		},
		Body: body,
	}
	if body.Base != nil {
		order.Base = *body.Base
	}
	return order
}

// setCheckedKey sets the number of the checked key that the order's sheet contains, and
// the sheet marker of the same value.
func (o *Order) setCheckedKey(key int) {
	o.Key = key
	if key > 0 {
		o.SheetMarker = fmt.Sprint(key)
	}
}

// Put returns an order that replaces the sheet; key is the number of the sheet's checked
// key.
func (o *Operators) Put(operator string, base uint64, sheet Sheet, key int) *Order {
	order := o.newOrder(operator, history.VerbPut, OrderBody{
		Base:  &base,
		Sheet: sheet,
	})
	order.setCheckedKey(key)
	return order
}

// Patch returns a patch order that sets the next checked key and makes other changes.
func (o *Operators) Patch(operator string, base uint64, otherChanges ...Change) *Order {
	key := o.NextKey()
	rotation := Change{
		Path:  "tenants." + checkedTenant + ".keys",
		Value: []string{fleet.HashKey(CheckedKey(key))},
	}
	order := o.newOrder(operator, history.VerbPatch, OrderBody{
		Base:    &base,
		Changes: append([]Change{rotation}, otherChanges...),
	})
	order.setCheckedKey(key)
	return order
}

// Evacuate returns an order that evacuates a zone.
func (o *Operators) Evacuate(operator, zone string) *Order {
	return o.newZoneOrder(operator, history.VerbEvacuate, zone)
}

// Restore returns an order that ends the evacuation of a zone.
func (o *Operators) Restore(operator, zone string) *Order {
	return o.newZoneOrder(operator, history.VerbRestore, zone)
}

func (o *Operators) newZoneOrder(operator, verb, zone string) *Order {
	order := o.newOrder(operator, verb, OrderBody{Zone: zone})
	order.Target = zone
	return order
}
