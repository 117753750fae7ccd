package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// errProtocol is wrapped by errors that report a malformed event stream.
var errProtocol = errors.New("malformed event stream")

// readEvent returns the data of the next server-sent event, which may have at most
// limit bytes, and skips comment lines. The error is io.EOF if the stream ends
// between two events, wraps errProtocol if the stream is malformed, or comes from
// the reader.
func readEvent(reader *bufio.Reader, limit int) ([]byte, error) {
	var data []byte
	for consumed := 0; consumed <= limit; {
		line, err := readLine(reader, limit)
		if err != nil {
			if errors.Is(err, io.EOF) && (len(line) > 0 || data != nil) {
				return nil, errors.Wrap(errProtocol, "stream ended inside an event")
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
			return nil, errors.Wrapf(errProtocol, "unsupported event type in line %.64q", line)
		default:
			return nil, errors.Wrapf(errProtocol, "unexpected line %.64q", line)
		}
	}
	return nil, errors.Wrapf(errProtocol, "event exceeds %d bytes", limit)
}

// readLine returns the next line without its line terminator. If the reader fails,
// it returns the part of the line read so far along with the error.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errors.Wrapf(errProtocol, "line exceeds %d bytes", limit)
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
