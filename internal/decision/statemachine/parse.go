package statemachine

import (
	"strconv"
	"unicode/utf8"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"
)

// MaxOrderIDBytes bounds the length of an order's id.
const MaxOrderIDBytes = 256

// OrderLimits restricts the orders that ParseOrder accepts.
type OrderLimits struct {
	// MaxBytes bounds the size of the order's body.
	MaxBytes int
	// ValidateSetting checks the name and value of a run-time setting. If it is
	// nil, all settings are accepted.
	ValidateSetting sheet.SettingValidator
}

// orderSchemas maps each verb to the schema of its order's body.
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
		"base":     strictjson.Number,
		"names":    strictjson.StringList,
	}),
}

// zoneOrderSchema is the schema of an order on a region or zone.
var zoneOrderSchema = strictjson.Record(strictjson.Fields{
	"order_id": strictjson.String,
	"base":     strictjson.Number,
	"locality": strictjson.String,
})

// orderBody is the union of the fields of all orders' bodies.
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

// ParseOrder decodes the JSON body of an operator's order and performs all checks
// that don't depend on the state. receivedAtMS is the time of arrival in Unix
// milliseconds. The bodies are:
//
//	put      {"order_id":"…","base":17,"sheet":{…}}
//	merge    {"order_id":"…","base":17,"upsert":{…},"remove":{"routes":["r-1"]}}
//	patch    {"order_id":"…","base":17,"changes":[{"path":"weights.chat.lagos","value":30}]}
//	evacuate {"order_id":"…","base":17,"locality":"lagos/a"}
//	restore  {"order_id":"…","base":17,"locality":"lagos/a"}
//	remove   {"order_id":"…","base":17,"names":["node-4"]}
//
// A put, merge or patch without an order id takes its digest as its id. The digest
// covers operator, verb, base and content, and does not depend on the order of
// fields or on white space in the body. A put or merge may give
// "revision":9,"base_revision":7 instead of the base. The base of an evacuate, restore
// or remove is optional.
func ParseOrder(verb, operator string, body []byte, limits OrderLimits, receivedAtMS int64) (Command, *apierror.Error) {
	schema, ok := orderSchemas[verb]
	if !ok {
		return nil, apierror.Errorf(apierror.UnknownPath, "no order %s", strconv.Quote(strictjson.Excerpt(verb)))
	}
	if len(body) > limits.MaxBytes {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(body), limits.MaxBytes)
	}
	var fields orderBody
	if apiErr := strictjson.Decode(body, schema, apierror.BadField, &fields); apiErr != nil {
		return nil, apiErr
	}
	if len(fields.OrderID) > MaxOrderIDBytes || !utf8.ValidString(fields.OrderID) {
		return nil, apierror.Errorf(apierror.BadField, "order_id: got %d bytes, want valid UTF-8 of at most %d bytes", len(fields.OrderID), MaxOrderIDBytes)
	}
	order := Order{
		OrderID:      fields.OrderID,
		Operator:     operator,
		Revision:     fields.Revision,
		BaseRevision: fields.BaseRevision,
		ReceivedAtMS: receivedAtMS,
	}
	if changesSheet(verb) && fields.Revision == 0 && fields.Base == nil {
		return nil, apierror.Errorf(apierror.MissingField, "base: the sheet's epoch that the order is built on")
	}
	if fields.Base != nil && fields.Revision == 0 {
		order.Base = *fields.Base
	}
	command, apiErr := fields.newCommand(verb, order, limits.ValidateSetting)
	if apiErr != nil {
		return nil, apiErr
	}
	return withOrderDigest(command), nil
}

// newCommand builds the command for the verb, which must be a key of
// orderSchemas.
func (b orderBody) newCommand(verb string, order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	switch verb {
	case sheet.VerbPut:
		return b.putCommand(order, validate)
	case sheet.VerbMerge:
		return b.mergeCommand(order, validate)
	case sheet.VerbPatch:
		return b.patchCommand(order, validate)
	case VerbRemoveMembers:
		return b.removeMembersCommand(order)
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

func (b orderBody) putCommand(order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
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

func (b orderBody) mergeCommand(order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	// The merged sheet can be validated only once the state is known, in Apply.
	if b.Upsert != nil {
		if apiErr := b.Upsert.CheckSettings(validate); apiErr != nil {
			return nil, apiErr
		}
	}
	return MergeSheet{Order: order, Upsert: b.Upsert, Remove: b.Remove}, nil
}

func (b orderBody) patchCommand(order Order, validate sheet.SettingValidator) (orderCommand, *apierror.Error) {
	if len(b.Changes) == 0 {
		return nil, apierror.Errorf(apierror.MissingField, "changes")
	}
	if apiErr := sheet.CheckChanges(b.Changes, validate); apiErr != nil {
		return nil, apiErr
	}
	return PatchSheet{Order: order, Changes: b.Changes}, nil
}

func (b orderBody) removeMembersCommand(order Order) (orderCommand, *apierror.Error) {
	if len(b.Names) == 0 {
		return nil, apierror.Errorf(apierror.MissingField, "names")
	}
	return RemoveMembers{Order: order, Names: b.Names, ProposedBy: order.Operator}, nil
}
