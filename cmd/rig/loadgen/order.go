package loadgen

import (
	"fmt"
	"net/http"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

// Order is an order that may be sent several times under one ID.
type Order struct {
	history.Order
	Body OrderBody
	Key  int // number of the checked key that it sets; 0 for none
}

// OrderBody is the body of an order. An order has the fields of its verb.
type OrderBody struct {
	Base    *uint64  `json:"base,omitempty"` // put and patch
	Changes []Change `json:"changes,omitempty"`
	Zone    string   `json:"locality,omitempty"` // evacuate and restore
	ID      string   `json:"order_id"`
	Sheet   any      `json:"sheet,omitempty"` // put: a Sheet, or an invalid one
}

// Change is one change of a patch: the value at a path of the sheet.
type Change struct {
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// endpoint is where orders of a verb are sent.
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

// newOrder returns an order with an ID of its own.
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

// setKey notes the checked key that an order sets.
func (o *Order) setKey(key int) {
	o.Key = key
	if key > 0 {
		o.SheetMarker = fmt.Sprint(key)
	}
}

// Put returns an order that replaces the sheet; key is the sheet's checked key.
func (o *Operators) Put(operator string, base uint64, sheet Sheet, key int) *Order {
	order := o.newOrder(operator, history.VerbPut, OrderBody{
		Base:  &base,
		Sheet: sheet,
	})
	order.setKey(key)
	return order
}

// Change returns an order that sets the next checked key, with further changes.
func (o *Operators) Change(operator string, base uint64, further ...Change) *Order {
	key := o.NextKey()
	rotation := Change{
		Path:  "tenants." + checkedTenant + ".keys",
		Value: []string{fleet.HashKey(CheckedKey(key))},
	}
	order := o.newOrder(operator, history.VerbPatch, OrderBody{
		Base:    &base,
		Changes: append([]Change{rotation}, further...),
	})
	order.setKey(key)
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
