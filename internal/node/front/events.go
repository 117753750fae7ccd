package front

import "stepwick/internal/events"

// Events of the front.
var (
	RequestBroke = events.Event{Number: 3101, Name: "request_broke", Level: events.Error, Help: "A panic ended one request; the process and its other requests carried on."}
	OwnerBroke   = events.Event{Number: 3102, Name: "owner_broke", Level: events.Error, Help: "A panic ended an owner of traffic state, which was started again."}
	RouteBroke   = events.Event{Number: 3103, Name: "route_broke", Level: events.Error, Help: "A panic in the routing table ended one decision; its request was declined."}
)

// Catalogue lists the front's events in the order of their numbers.
var Catalogue = []events.Event{RequestBroke, OwnerBroke, RouteBroke}
