package statemachine

import (
	"strconv"
	"unicode/utf8"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"
)

// MaxOrderID bounds an order's id in bytes.
const MaxOrderID = 256

// OrderLimits bounds what an order may contain.
type OrderLimits struct {
	// MaxBytes bounds the order's body.
	MaxBytes int
	// ValidateSetting checks a run-time setting's name and value; nil accepts
	// all.
	ValidateSetting sheet.SettingValidator
}

// orderSchemas has the form of each order's body, by verb.
var orderSchemas = map[string]*strictjson.Schema{
	sheet.VerbPut: strictjson.Record(strictjson.Fields{
		"order_id":      strictjson.String,
		"base":          strictjson.Number,
		"sheet":         sheet.Schema,
		"revision":      strictjson.Number,
		"base_revision": strictjson.Number,
	}),
	sheet.VerbPatch: strictjson.Record(strictjson.Fields{
		"order_id": strictjson.String,
		"base":     strictjson.Number,
		"changes":  sheet.ChangesSchema,
	}),
	sheet.VerbMerge: strictjson.Record(strictjson.Fields{
		"order_id":      strictjson.String,
		"base":          strictjson.Number,
		"revision":      strictjson.Number,
		"base_revision": strictjson.Number,
		"upsert":        sheet.Schema,
		"remove":        sheet.RemovalSchema,
	}),
	sheet.VerbEvacuate: zoneOrderSchema,
	sheet.VerbRestore:  zoneOrderSchema,
	VerbRemoveMembers: strictjson.Record(strictjson.Fields{
		"order_id": strictjson.String,
		"names":    strictjson.StringList,
	}),
}

// zoneOrderSchema is the form of an order that concerns a region or zone.
var zoneOrderSchema = strictjson.Record(strictjson.Fields{
	"order_id": strictjson.String,
	"locality": strictjson.String,
})

// orderBody has the fields of all orders' bodies.
type orderBody struct {
	OrderID      string         `json:"order_id"`
	Base         *uint64        `json:"base"`
	Revision     uint64         `json:"revision"`
	BaseRevision uint64         `json:"base_revision"`
	Sheet        *sheet.Sheet   `json:"sheet"`
	Upsert       *sheet.Sheet   `json:"upsert"`
	Remove       sheet.Removal  `json:"remove"`
	Changes      []sheet.Change `json:"changes"`
	Zone         string         `json:"locality"`
	Names        []string       `json:"names"`
}

// ParseOrder reads the JSON body of an operator's order and checks all of it
// that needs no state. Times are in Unix milliseconds. The bodies are:
//
//	put      {"order_id":"…","base":17,"sheet":{…}}
//	merge    {"order_id":"…","base":17,"upsert":{…},"remove":{"routes":["r-1"]}}
//	patch    {"order_id":"…","base":17,"changes":[{"path":"weights.chat.lagos","value":30}]}
//	evacuate {"order_id":"…","locality":"lagos/a"}, and so restore
//	remove   {"order_id":"…","names":["node-4"]}
//
// A put, merge or patch without an order id takes its digest as its id, which is
// over operator, verb, base and content and is the same for any spelling of the
// same content. A put or merge may number its sheet, with
// "revision":9,"base_revision":7 in place of the base.
func ParseOrder(verb, operator string, body []byte, limits OrderLimits, atMS int64) (Command, *apierror.Error) {
	schema, known := orderSchemas[verb]
	if !known {
		return nil, apierror.Errorf(apierror.UnknownPath, "no order %s", strconv.Quote(strictjson.Excerpt(verb)))
	}
	if len(body) > limits.MaxBytes {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(body), limits.MaxBytes)
	}
	var fields orderBody
	if apiErr := strictjson.Decode(body, schema, apierror.BadField, &fields); apiErr != nil {
		return nil, apiErr
	}
	if len(fields.OrderID) > MaxOrderID || !utf8.ValidString(fields.OrderID) {
		return nil, apierror.Errorf(apierror.BadField, "order_id: over %d bytes", MaxOrderID)
	}
	order := Order{
		OrderID:      fields.OrderID,
		Operator:     operator,
		Revision:     fields.Revision,
		BaseRevision: fields.BaseRevision,
		AtMS:         atMS,
	}
	if changesSheet(verb) && fields.Revision == 0 {
		if fields.Base == nil {
			return nil, apierror.Errorf(apierror.MissingField, "base: the sheet's epoch that the order is built on")
		}
		order.Base = *fields.Base
	}
	command, apiErr := fields.command(verb, order, limits.ValidateSetting)
	if apiErr != nil {
		return nil, apiErr
	}
	return withOrderDigest(command), nil
}

// command builds the command of the verb, which is a key of orderSchemas.
func (b orderBody) command(verb string, order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	switch verb {
	case sheet.VerbPut:
		return b.put(order, validate)
	case sheet.VerbMerge:
		return b.merge(order, validate)
	case sheet.VerbPatch:
		return b.patch(order, validate)
	case VerbRemoveMembers:
		return b.removeMembers(order)
	}
	if b.Zone == "" {
		return nil, apierror.Errorf(apierror.MissingField, "locality")
	}
	if apiErr := checkZone(b.Zone); apiErr != nil {
		return nil, apiErr
	}
	if verb == sheet.VerbEvacuate {
		return Evacuate{Order: order, Zone: b.Zone}, nil
	}
	return Restore{Order: order, Zone: b.Zone}, nil
}

func (b orderBody) put(order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	if b.Sheet == nil {
		return nil, apierror.Errorf(apierror.MissingField, "sheet")
	}
	if apiErr := b.Sheet.Check(); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := b.Sheet.CheckSettings(validate); apiErr != nil {
		return nil, apiErr
	}
	return PutSheet{Order: order, Sheet: b.Sheet}, nil
}

func (b orderBody) merge(order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	// The merged sheet as a whole can be checked only against the state.
	if b.Upsert != nil {
		if apiErr := b.Upsert.CheckSettings(validate); apiErr != nil {
			return nil, apiErr
		}
	}
	return MergeSheet{Order: order, Upsert: b.Upsert, Remove: b.Remove}, nil
}

func (b orderBody) patch(order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	if len(b.Changes) == 0 {
		return nil, apierror.Errorf(apierror.MissingField, "changes")
	}
	if apiErr := sheet.CheckChanges(b.Changes, validate); apiErr != nil {
		return nil, apiErr
	}
	return PatchSheet{Order: order, Changes: b.Changes}, nil
}

func (b orderBody) removeMembers(order Order) (orderCommand, *apierror.Error) {
	if len(b.Names) == 0 {
		return nil, apierror.Errorf(apierror.MissingField, "names")
	}
	return RemoveMembers{Order: order, Names: b.Names, ProposedBy: order.Operator}, nil
}
