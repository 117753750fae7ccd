package sheet

import (
	"strconv"
	"unicode/utf8"

	"stepwick/internal/apierror"
)

// MaxOrderID bounds an order's id in bytes.
const MaxOrderID = 256

// Limits bounds an order's body in bytes. Setting, where it is given, checks a
// run-time setting's name and value before an order is proposed.
type Limits struct {
	Bytes   int
	Setting func(name, value string) error
}

var (
	changesShape = &shape{kind: isList, code: apierror.InvalidChange, each: &shape{kind: isRecord,
		fields: map[string]*shape{"path": text, "value": whole, "delete": truth}}}

	removalShape = &shape{kind: isRecord, fields: map[string]*shape{"routes": texts, "services": texts, "tenants": texts}}

	orderShapes = map[string]*shape{
		VerbPut: {kind: isRecord, fields: map[string]*shape{"order_id": text, "base": number, "sheet": sheetShape,
			"revision": number, "base_revision": number}},
		VerbPatch: {kind: isRecord, fields: map[string]*shape{"order_id": text, "base": number, "changes": changesShape}},
		VerbMerge: {kind: isRecord, fields: map[string]*shape{"order_id": text, "base": number,
			"revision": number, "base_revision": number, "upsert": sheetShape, "remove": removalShape}},
		VerbEvacuate: {kind: isRecord, fields: map[string]*shape{"order_id": text, "locality": text}},
		VerbRestore:  {kind: isRecord, fields: map[string]*shape{"order_id": text, "locality": text}},
		VerbRemove:   {kind: isRecord, fields: map[string]*shape{"order_id": text, "names": texts}},
	}
)

type orderBody struct {
	OrderID  string   `json:"order_id"`
	Base     *uint64  `json:"base"`
	Revision uint64   `json:"revision"`
	OnRev    uint64   `json:"base_revision"`
	Sheet    *Sheet   `json:"sheet"`
	Upsert   *Sheet   `json:"upsert"`
	Remove   Removal  `json:"remove"`
	Changes  []Change `json:"changes"`
	Zone     string   `json:"locality"`
	Names    []string `json:"names"`
}

// ParseOrder reads the JSON body of an operator's put, patch, evacuate, restore
// or remove and checks all of it that needs no state:
//
//	put      {"order_id":"…","base":17,"sheet":{…}}
//	merge    {"order_id":"…","base":17,"upsert":{…},"remove":{"routes":["r-1"]}}
//	patch    {"order_id":"…","base":17,"changes":[{"path":"weights.chat.lagos","value":30}]}
//	evacuate {"order_id":"…","zone":"lagos/a"}, and so restore
//	remove   {"order_id":"…","names":["node-4"]}
//
// A put or patch without an order id goes by its digest, over operator, verb,
// base and content, which is the same for any spelling of the same content. A
// put or merge may number its sheet: "revision":9,"base_revision":7 in place of
// the base.
func ParseOrder(verb, operator string, body []byte, limits Limits, atMS int64) (Command, *apierror.Error) {
	want, known := orderShapes[verb]
	if !known {
		return nil, apierror.Errorf(apierror.UnknownPath, "no order %s", strconv.Quote(clip(verb)))
	}
	if len(body) > limits.Bytes {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(body), limits.Bytes)
	}
	var b orderBody
	if apiErr := parse(body, want, apierror.BadField, &b); apiErr != nil {
		return nil, apiErr
	}
	if len(b.OrderID) > MaxOrderID || !utf8.ValidString(b.OrderID) {
		return nil, apierror.Errorf(apierror.BadField, "order_id: over %d bytes", MaxOrderID)
	}
	order := Order{OrderID: b.OrderID, Operator: operator, AtMS: atMS}
	order.Revision, order.BaseRevision = b.Revision, b.OnRev
	if (verb == VerbPut || verb == VerbPatch || verb == VerbMerge) && b.Revision == 0 {
		if b.Base == nil {
			return nil, apierror.Errorf(apierror.MissingField, "base: the sheet's epoch that the order is built on")
		}
		order.Base = *b.Base
	}
	return b.command(verb, order, limits)
}

func (b orderBody) command(verb string, order Order, limits Limits) (Command, *apierror.Error) {
	switch verb {
	case VerbPut:
		if b.Sheet == nil {
			return nil, apierror.Errorf(apierror.MissingField, "sheet")
		}
		if apiErr := b.Sheet.Check(); apiErr != nil {
			return nil, apiErr
		}
		if apiErr := b.Sheet.checkRunTime(limits); apiErr != nil {
			return nil, apiErr
		}
		c := PutSheet{Order: order, Sheet: b.Sheet}
		c.Order = c.seal()
		return c, nil
	case VerbMerge:
		c := MergeSheet{Order: order, Upsert: b.Upsert, Remove: b.Remove}
		if b.Upsert != nil {
			if apiErr := b.Upsert.checkRunTime(limits); apiErr != nil {
				return nil, apiErr
			}
		}
		c.Order = c.seal()
		return c, nil
	case VerbPatch:
		if len(b.Changes) == 0 {
			return nil, apierror.Errorf(apierror.MissingField, "changes")
		}
		if apiErr := checkChanges(b.Changes, limits); apiErr != nil {
			return nil, apiErr
		}
		c := PatchSheet{Order: order, Changes: b.Changes}
		c.Order = c.seal()
		return c, nil
	case VerbRemove:
		if len(b.Names) == 0 {
			return nil, apierror.Errorf(apierror.MissingField, "names")
		}
		c := RemoveMembers{Order: order, Names: b.Names, By: order.Operator}
		c.Order = c.seal()
		return c, nil
	}
	if b.Zone == "" {
		return nil, apierror.Errorf(apierror.MissingField, "locality")
	}
	if !ValidZoneName(b.Zone) {
		return nil, apierror.Errorf(apierror.UnknownZone, "%s is neither a region nor region/zone", strconv.Quote(clip(b.Zone)))
	}
	if verb == VerbEvacuate {
		c := Evacuate{Order: order, Zone: b.Zone}
		c.Order = c.seal()
		return c, nil
	}
	c := Restore{Order: order, Zone: b.Zone}
	c.Order = c.seal()
	return c, nil
}

func (s *Sheet) checkRunTime(limits Limits) *apierror.Error {
	if limits.Setting == nil {
		return nil
	}
	var broken rules
	for _, name := range sortedNames(s.Settings) {
		if err := limits.Setting(name, s.Settings[name]); err != nil {
			broken.add("settings.%s: %v", name, err)
		}
	}
	return broken.fault(apierror.InvalidSheet)
}

func checkChanges(changes []Change, limits Limits) *apierror.Error {
	if len(changes) > MaxChanges {
		return apierror.Errorf(apierror.InvalidChange, "%d changes; the bound is %d", len(changes), MaxChanges)
	}
	var broken rules
	for _, change := range changes {
		c, apiErr := splitPath(change.Path)
		if apiErr != nil {
			broken.add("%s", apiErr.Detail)
			continue
		}
		if change.Delete != (len(change.Value) == 0) {
			broken.add("%s: give either a value or delete", clip(change.Path))
			continue
		}
		if c.table != "settings" || change.Delete || limits.Setting == nil {
			continue
		}
		var value string
		why := typed(change.Value, text, &value)
		if why == "" {
			if err := limits.Setting(c.row, value); err != nil {
				why = err.Error()
			}
		}
		if why != "" {
			broken.add("%s: %s", clip(change.Path), why)
		}
	}
	return broken.fault(apierror.InvalidChange)
}
