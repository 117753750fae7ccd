package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readerSize = 4 << 10
	// straysMost is how many whole answers to earlier requests are passed over
	// in the place where an answer is due.
	straysMost = 2
	// strayBytes bounds the body of an answer that is passed over.
	strayBytes = 1 << 20
)

var (
	errStray    = errors.New("an answer that belongs to no request in flight")
	errNoAnswer = errors.New("the connection ended before an answer")
)

// conn is one connection. Its reader goroutine owns what is read until it has
// handed an answer's header over; then the answer's user reads the body, and
// gives the reading back through the exchange.
type conn struct {
	raw        net.Conn
	bounded    *io.LimitedReader
	reader     *bufio.Reader
	headerMax  int64
	asks       chan *exchange
	gone       chan struct{} // closed when the reader has ended
	silent     func()        // told when the far machine stopped to acknowledge at rest
	once       sync.Once
	restsUntil time.Time
}

// exchange is one request on a connection and the answer to it.
type exchange struct {
	method  string
	matches func(status int, header http.Header) bool
	result  chan result
	next    chan bool // whether the connection may carry another request
}

type result struct {
	response *http.Response
	failure  *Failure
}

func newExchange(request *Request) *exchange {
	return &exchange{method: request.Method, matches: request.Matches, result: make(chan result, 1), next: make(chan bool, 1)}
}

func newConn(raw net.Conn, headerMax int64, silent func()) *conn {
	bounded := &io.LimitedReader{R: raw, N: headerMax}
	c := &conn{raw: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readerSize), headerMax: headerMax, silent: silent,
		asks: make(chan *exchange, 1), gone: make(chan struct{})}
	go c.read()
	return c
}

func (c *conn) close() { c.once.Do(func() { _ = c.raw.Close() }) }

func (c *conn) ended() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// read hands each answer to the exchange that asked for it. What comes while
// none is asked for, bytes or the end, ends the connection.
func (c *conn) read() {
	defer close(c.gone)
	defer c.close()
	for {
		c.bounded.N = c.headerMax
		_, err := c.reader.Peek(1)
		select {
		case ex := <-c.asks:
			if !c.answer(ex, err) {
				return
			}
		default:
			if errors.Is(err, syscall.ETIMEDOUT) {
				c.silent()
			}
			return
		}
	}
}

// answer reads the header of the answer to an exchange, and waits until its
// body was read. It tells whether the connection may go on.
func (c *conn) answer(ex *exchange, err error) bool {
	if err != nil {
		kind := Lost
		if errors.Is(err, syscall.ETIMEDOUT) {
			kind = Silent
		}
		ex.result <- result{failure: &Failure{Kind: kind, Sent: true, Cause: errNoAnswer}}
		return false
	}
	response, failure := c.header(ex)
	if failure != nil {
		ex.result <- result{failure: failure}
		return false
	}
	c.bounded.N = 1<<63 - 1
	ex.result <- result{response: response}
	return <-ex.next
}

// header reads until the header of the answer that matches. Interim answers
// are passed over, and so are whole answers to requests that were given up.
func (c *conn) header(ex *exchange) (*http.Response, *Failure) {
	for strays := 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: ex.method})
		if err != nil {
			return nil, &Failure{Kind: Garbled, Sent: true, Cause: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if ex.matches == nil || ex.matches(response.StatusCode, response.Header) {
			return response, nil
		}
		if strays++; strays > straysMost || !c.passOver(response) {
			return nil, &Failure{Kind: Garbled, Sent: true, Cause: errStray}
		}
	}
}

// passOver reads a stray answer to its end, where its end can be told.
func (c *conn) passOver(stray *http.Response) bool {
	if stray.Close {
		return false
	}
	c.bounded.N = strayBytes
	_, err := io.Copy(io.Discard, stray.Body)
	_ = stray.Body.Close()
	c.bounded.N = c.headerMax
	return err == nil
}

// await waits for the answer to an exchange.
func (c *conn) await(ctx context.Context, ex *exchange) (*http.Response, *Failure) {
	var got result
	select {
	case got = <-ex.result:
	case <-c.gone:
		select {
		case got = <-ex.result:
		default:
			got.failure = &Failure{Kind: Lost, Sent: true, Cause: errNoAnswer}
		}
	}
	if got.failure != nil && ctx.Err() != nil {
		return nil, sent(ctx, Withdrawn, ctx.Err())
	}
	return got.response, got.failure
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write writes a whole request at once.
func (c *conn) write(request *Request) error {
	buffer := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(buffer)
	buffer.Reset()
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	if err := request.Header.Write(buffer); err != nil {
		return err
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(request.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	_, err := c.raw.Write(buffer.Bytes())
	return err
}
