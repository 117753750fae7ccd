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

// decoders maps each verb to the decoder of its command's body.
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

// Encode returns the stored form of a command. For an operator's order it fills
// in the digest first. Encode panics on a command that JSON can't represent, such
// as one with a non-finite weight; the sheet's validation rejects those earlier.
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

// Decode is the inverse of Encode. It returns an error for malformed JSON or an
// unknown verb.
func Decode(data []byte) (Command, error) {
	var stored envelope
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	decode, ok := decoders[stored.Verb]
	if !ok {
		return nil, errors.Errorf("decode command: unknown verb %s", strconv.Quote(strictjson.Excerpt(stored.Verb)))
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
