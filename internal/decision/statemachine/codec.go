package statemachine

import (
	"encoding/json"
	"strconv"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"

	"github.com/pkg/errors"
)

// envelope is the stored form of a command.
type envelope struct {
	Verb string          `json:"verb"`
	Body json.RawMessage `json:"body"`
}

// decoders has the decoder of each command's body, by verb.
var decoders = map[string]func(body json.RawMessage) (Command, error){
	sheet.VerbPut:      decodeAs[PutSheet],
	sheet.VerbPatch:    decodeAs[PatchSheet],
	sheet.VerbMerge:    decodeAs[MergeSheet],
	sheet.VerbEvacuate: decodeAs[Evacuate],
	sheet.VerbRestore:  decodeAs[Restore],
	VerbAddMembers:     decodeAs[AddMembers],
	VerbRemoveMembers:  decodeAs[RemoveMembers],
	VerbCommitRoster:   decodeAs[CommitRoster],
	VerbAcquireRole:    decodeAs[AcquireRole],
	VerbNoop:           decodeNoop,
}

// Encode returns the command's bytes, with the digest of an order in them. It
// panics on a command that JSON can't represent, such as one with a weight that
// is not finite; the sheet's checks reject those before a command is encoded.
func Encode(command Command) []byte {
	if order, ok := command.(orderCommand); ok {
		command = withOrderDigest(order)
	}
	body, err := json.Marshal(command)
	if err != nil {
		panic(errors.Wrap(err, "encode command"))
	}
	const envelopeBytes = 32
	data := make([]byte, 0, len(body)+envelopeBytes)
	data = append(data, `{"verb":"`...)
	data = append(data, command.Verb()...)
	data = append(data, `","body":`...)
	data = append(data, body...)
	return append(data, '}')
}

// Decode reads what Encode wrote.
func Decode(data []byte) (Command, error) {
	var stored envelope
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	decode, known := decoders[stored.Verb]
	if !known {
		return nil, errors.Errorf("decode command: no verb %s", strconv.Quote(strictjson.Excerpt(stored.Verb)))
	}
	return decode(stored.Body)
}

func decodeAs[C Command](body json.RawMessage) (Command, error) {
	var command C
	if err := json.Unmarshal(body, &command); err != nil {
		return nil, errors.Wrapf(err, "decode %s", command.Verb())
	}
	return command, nil
}

// decodeNoop ignores the body: a no-op has no content.
func decodeNoop(json.RawMessage) (Command, error) { return Noop{}, nil }
