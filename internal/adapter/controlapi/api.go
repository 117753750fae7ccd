package controlapi

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
)

// Orders carries operators' orders and reads to a core.
type Orders interface {
	Order(ctx kernel.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
}

// Inspector answers questions from what this process holds, with a JSON body.
type Inspector interface {
	Inspect(ctx kernel.Context, what, argument string) (kernel.Code, []byte)
}

// Config of the API. Operators are NAME:SHA256HEX each. SheetMax bounds the body
// of a put or patch in bytes, BodyTimeout its arrival. OrderWait bounds a call
// at the cores, which are told to answer a sixteenth sooner. OrdersMax and
// ReadsMax bound the calls under way. Setting checks run-time settings.
type Config struct {
	From        string
	Operators   []string
	SheetMax    int64
	BodyTimeout kernel.Duration
	OrderWait   kernel.Duration
	OrdersMax   int
	ReadsMax    int
	Setting     func(name, value string) error
	NewID       func() string
}

// API answers operators below /v1/control/.
type API struct {
	config    Config
	operators []operator
	orders    Orders
	inspector Inspector
	clock     kernel.Clock
	log       events.Log
	ordering  chan struct{}
	reading   chan struct{}
}

type operator struct {
	name string
	hash [sha256.Size]byte
}

// New returns the API. It panics on an entry of the operators that the settings
// should have refused.
func New(config Config, orders Orders, inspector Inspector, clock kernel.Clock, log events.Log) *API {
	config.SheetMax = or(config.SheetMax, 16<<20)
	config.BodyTimeout = or(config.BodyTimeout, 5*kernel.Second)
	config.OrderWait = or(config.OrderWait, 8*kernel.Second)
	config.OrdersMax = or(config.OrdersMax, 16)
	config.ReadsMax = or(config.ReadsMax, 64)
	if config.NewID == nil {
		config.NewID = newID
	}
	a := &API{config: config, orders: orders, inspector: inspector, clock: clock, log: log,
		ordering: make(chan struct{}, config.OrdersMax), reading: make(chan struct{}, config.ReadsMax)}
	for i, entry := range config.Operators {
		a.operators = append(a.operators, mustOperator(i, entry))
	}
	return a
}

func or[T int | int64 | kernel.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

func mustOperator(i int, entry string) operator {
	name, text, _ := strings.Cut(entry, ":")
	o := operator{name: name}
	raw, err := hex.DecodeString(text)
	if name == "" || err != nil || copy(o.hash[:], raw) != sha256.Size || len(raw) != sha256.Size {
		panic(errors.Errorf("operator %d is not NAME:SHA256HEX", i+1))
	}
	return o
}

func newID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return "order-" + hex.EncodeToString(raw[:])
}

type exchange struct {
	api      *API
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	call     *Call
	operator string
	argument string
	body     []byte
}

// answer is a result code and its JSON body.
type answer struct {
	code       kernel.Code
	retryAfter kernel.Duration
	body       []byte
}

// ServeHTTP answers one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{api: a, w: w, r: r, control: http.NewResponseController(w)}
	_ = x.control.SetWriteDeadline(in(a.config.BodyTimeout + a.config.OrderWait + a.config.BodyTimeout))
	result, fault := x.serve()
	if fault != nil {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		result = refused(fault, "")
	}
	x.write(result)
}

func (x *exchange) serve() (answer, *kernel.Fault) {
	if x.r.ContentLength != 0 {
		_ = x.control.SetReadDeadline(in(x.api.config.BodyTimeout))
	}
	call, argument, fault := find(x.r.Method, x.r.URL.Path)
	if fault != nil {
		if fault.Code == kernel.BadMethod {
			x.w.Header().Set("Allow", argument)
		}
		return answer{}, fault
	}
	x.call, x.argument = call, argument
	if fault := x.authorize(); fault != nil {
		return answer{}, fault
	}
	if fault := x.query(); fault != nil {
		return answer{}, fault
	}
	slots := x.api.reading
	if call.Body != NoBody {
		slots = x.api.ordering
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return answer{}, kernel.Refuse(kernel.QueueFull, "%d calls are under way", cap(slots)).After(kernel.Second)
	}
	if fault := x.readBody(); fault != nil {
		return answer{}, fault
	}
	return call.handle(x), nil
}

// authorize finds the operator by a key, comparing it with every one's in
// constant time.
func (x *exchange) authorize() *kernel.Fault {
	given := x.r.Header.Values("Authorization")
	key, bearer := "", false
	if len(given) == 1 {
		key, bearer = strings.CutPrefix(given[0], "Bearer ")
	}
	if key = strings.TrimSpace(key); !bearer || key == "" {
		return kernel.Refuse(kernel.MissingKey, "send one Authorization: Bearer OPERATOR-KEY")
	}
	hash := sha256.Sum256([]byte(key))
	for _, o := range x.api.operators {
		if subtle.ConstantTimeCompare(o.hash[:], hash[:]) == 1 {
			x.operator = o.name
		}
	}
	if x.operator == "" {
		x.api.log.Emit(events.OperatorRefused, "from", x.r.RemoteAddr, "path", x.call.Path)
		return kernel.Refuse(kernel.OperatorUnknown, "")
	}
	return nil
}

func (x *exchange) query() *kernel.Fault {
	for name, values := range x.r.URL.Query() {
		if name != x.call.Query || len(values) != 1 {
			return kernel.Refuse(kernel.BadField, "the query's %.40q is unknown or given twice", name)
		}
		x.argument = values[0]
	}
	return nil
}

// readBody reads at most the call's bound within the bound of time.
func (x *exchange) readBody() *kernel.Fault {
	if x.call.Body == NoBody {
		if x.r.ContentLength != 0 {
			return kernel.Refuse(kernel.BadField, "the call takes no body")
		}
		return nil
	}
	bound, tooLarge := int64(smallBody), kernel.BodyTooLarge
	if x.call.Body == SheetBody {
		bound, tooLarge = x.api.config.SheetMax, kernel.SheetTooLarge
	}
	if x.r.ContentLength > bound {
		return kernel.Refuse(tooLarge, "%d bytes; the bound is %d", x.r.ContentLength, bound)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, bound))
	var over *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &over):
		return kernel.Refuse(tooLarge, "the bound is %d bytes", bound)
	case errors.As(err, &network) && network.Timeout():
		return kernel.Refuse(kernel.SlowBody, "the body did not arrive within %s", x.api.config.BodyTimeout)
	case err != nil:
		return kernel.Refuse(kernel.BadJSON, "the body is not whole")
	}
	x.body = body
	_ = x.control.SetReadDeadline(kernel.Time{})
	return nil
}

func (x *exchange) relayed(id string, code kernel.Code, took kernel.Duration) {
	x.api.log.Emit(events.OrderRelayed, "order", id, "verb", x.call.Verb, "operator", x.operator, "code", code, "took", took)
}

func (x *exchange) write(a answer) {
	if a.retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatInt(int64((a.retryAfter+kernel.Second-1)/kernel.Second), 10))
	}
	kernel.Reply(x.w, a.code.Row().Status, json.RawMessage(a.body))
	_ = x.control.Flush()
	_ = x.control.SetWriteDeadline(kernel.Time{})
}

// refused is the answer of a fault, with the order's id where there is one, so
// that the order can be sent again under it.
func refused(fault *kernel.Fault, id string) answer {
	body := struct {
		kernel.FaultBody
		OrderID string `json:"order_id,omitempty"`
	}{fault.Body(""), id}
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte("null")
	}
	return answer{code: fault.Code, retryAfter: fault.RetryAfter, body: data}
}

// answered is the answer that a core gave. A core's JSON is passed on whole,
// with the code in front where it gave none.
func answered(resp *wire.OrderResponse, id string) answer {
	code := kernel.Code(resp.Code)
	if code != kernel.OK {
		var told kernel.FaultBody
		if json.Unmarshal(resp.Body, &told) != nil || told.Code != code {
			return refused(&kernel.Fault{Code: code}, id)
		}
		return answer{code: code, retryAfter: kernel.Duration(told.RetryAfterMS) * kernel.Millisecond, body: resp.Body}
	}
	if len(resp.Body) < 2 || resp.Body[0] != '{' {
		return refused(kernel.Refuse(kernel.Internal, "the core's answer has no body"), id)
	}
	body := append([]byte(`{"code":0`), resp.Body[1:]...)
	if resp.Body[1] != '}' {
		body = append([]byte(`{"code":0,`), resp.Body[1:]...)
	}
	return answer{code: code, body: body}
}

// withID returns an order's body with its id in it.
func withID(body []byte, id string) ([]byte, *kernel.Fault) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, kernel.Refuse(kernel.BadJSON, "%v", err)
	}
	var given string
	if json.Unmarshal(fields["order_id"], &given) == nil && given == id {
		return body, nil
	}
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, kernel.AsFault(err)
	}
	fields["order_id"] = quoted
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, kernel.AsFault(err)
	}
	return data, nil
}

func in(d kernel.Duration) kernel.Time { return kernel.System().Now().Add(d) }
