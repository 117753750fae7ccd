package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// errProtocol is wrapped by the errors of an event stream that is malformed.
var errProtocol = errors.New("the event stream is malformed")

// readEvent returns the data of the next server-sent event of at most limit bytes,
// and skips comments. The error is io.EOF between two events, one that wraps
// errProtocol, or the reader's.
func readEvent(reader *bufio.Reader, limit int) ([]byte, error) {
	var data []byte
	for consumed := 0; consumed <= limit; {
		line, err := readLine(reader, limit)
		if err != nil {
			if errors.Is(err, io.EOF) && (len(line) > 0 || data != nil) {
				return nil, errors.Wrap(errProtocol, "it ends inside an event")
			}
			return nil, err
		}
		consumed += len(line) + 1
		switch {
		case len(line) == 0 && data != nil:
			return data, nil
		case len(line) == 0, line[0] == ':':
		case bytes.HasPrefix(line, []byte("data:")) && data == nil:
			data = append([]byte{}, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		case bytes.HasPrefix(line, []byte("event:")):
			return nil, errors.Wrapf(errProtocol, "the server sent %.64q", line)
		default:
			return nil, errors.Wrapf(errProtocol, "it has the line %.64q", line)
		}
	}
	return nil, errors.Wrapf(errProtocol, "an event is over %d bytes", limit)
}

// readLine returns the next line without its end. With an error of the reader it
// returns what it has read of the line.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errors.Wrapf(errProtocol, "a line is over %d bytes", limit)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return line, err
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}
