package statemachine

import (
	"encoding/json"
	"strconv"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"

	"github.com/pkg/errors"
)

// OrderOf returns the order part of an operator's command, with its digest;
// false for commands that no operator sent.
func OrderOf(command Command) (Order, bool) {
	switch c := command.(type) {
	case PutSheet:
		return c.seal(), true
	case PatchSheet:
		return c.seal(), true
	case MergeSheet:
		return c.seal(), true
	case Evacuate:
		return c.seal(), true
	case Restore:
		return c.seal(), true
	case RemoveMembers:
		return c.seal(), c.Operator != ""
	}
	return Order{}, false
}

type envelope struct {
	Verb string          `json:"verb"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the command's bytes, with the digest of an order in them. It
// panics on a command that JSON can't hold, such as one with a weight that is
// not finite; Check refuses those first.
func Encode(command Command) []byte {
	switch c := command.(type) {
	case PutSheet:
		c.Order = c.seal()
		command = c
	case PatchSheet:
		c.Order = c.seal()
		command = c
	case MergeSheet:
		c.Order = c.seal()
		command = c
	case Evacuate:
		c.Order = c.seal()
		command = c
	case Restore:
		c.Order = c.seal()
		command = c
	case RemoveMembers:
		c.Order = c.seal()
		command = c
	}
	body, err := json.Marshal(command)
	if err != nil {
		panic(errors.Wrap(err, "encode command"))
	}
	data := make([]byte, 0, len(body)+32)
	data = append(data, `{"verb":"`...)
	data = append(data, command.Verb()...)
	data = append(data, `","body":`...)
	data = append(data, body...)
	return append(data, '}')
}

// Decode reads what Encode wrote.
func Decode(data []byte) (Command, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	switch e.Verb {
	case sheet.VerbPut:
		return decodeAs[PutSheet](e.Body)
	case sheet.VerbPatch:
		return decodeAs[PatchSheet](e.Body)
	case sheet.VerbMerge:
		return decodeAs[MergeSheet](e.Body)
	case sheet.VerbEvacuate:
		return decodeAs[Evacuate](e.Body)
	case sheet.VerbRestore:
		return decodeAs[Restore](e.Body)
	case VerbAdd:
		return decodeAs[AddMembers](e.Body)
	case VerbRemove:
		return decodeAs[RemoveMembers](e.Body)
	case VerbSettle:
		return decodeAs[SettleRoster](e.Body)
	case VerbDuty:
		return decodeAs[TakeDuty](e.Body)
	case VerbNoop:
		return Noop{}, nil
	}
	return nil, errors.Errorf("decode command: no verb %s", strconv.Quote(strictjson.Excerpt(e.Verb)))
}

func decodeAs[C Command](body json.RawMessage) (Command, error) {
	var c C
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrapf(err, "decode %s", c.Verb())
	}
	return c, nil
}
