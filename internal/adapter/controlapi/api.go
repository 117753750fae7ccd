package controlapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/wire"

	"github.com/pkg/errors"
)

// OrderClient forwards operators' orders and reads of the replicated state to a
// core.
type OrderClient interface {
	Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
}

// Inspector answers queries about this process from its own state.
type Inspector interface {
	// Inspect returns the JSON body of the response to a call. Verb is that of the
	// call, argument its parameter, or "" if it has none.
	Inspect(ctx context.Context, verb, argument string) (apierror.Code, []byte)
}

// Default values of Config.
const (
	defaultMaxSheetBytes = 16 << 20
	defaultBodyTimeout   = 5 * time.Second
	defaultOrderTimeout  = 8 * time.Second
	defaultMaxOrders     = 16
	defaultMaxReads      = 64
)

// Config configures an API. A number of zero or below means the default.
type Config struct {
	// NodeName is the name of this process, which it sends to cores with each call.
	NodeName string
	// Operators contains the hash of each operator's key, as NAME:SHA256HEX.
	Operators []string
	// MaxSheetBytes bounds the body of a put or patch. Default 16 MiB.
	MaxSheetBytes int64
	// BodyTimeout is the time-out for receiving a body. Default 5 s.
	BodyTimeout time.Duration
	// OrderTimeout is the time-out of a call to the cores. Default 8 s.
	OrderTimeout time.Duration
	// MaxOrders bounds the calls with a body that are in flight. Default 16.
	MaxOrders int
	// MaxReads bounds the calls without a body that are in flight. Default 64.
	MaxReads int
	// ValidateSetting validates a run-time setting; nil accepts all.
	ValidateSetting func(name, value string) error
	// NewOrderID returns an id for an order without one. By default it is random.
	NewOrderID func() string
}

// API serves the calls below /v1/control/. It is safe for concurrent use.
type API struct {
	config    Config
	operators []operator
	orders    OrderClient
	inspector Inspector
	clock     clock.Clock
	log       events.Log
	// orderSlots and readSlots are semaphores with one token for each call in flight:
	// orderSlots for calls with a body, readSlots for the others.
	orderSlots chan struct{}
	readSlots  chan struct{}
}

// operator is a person or program that may use the API.
type operator struct {
	name    string
	keyHash [sha256.Size]byte
}

// New returns an API. It panics on a malformed entry in Config.Operators, which is a
// programming error: the validation of the settings rejects these at start-up.
func New(config Config, orders OrderClient, inspector Inspector, clock clock.Clock, log events.Log) *API {
	config.MaxSheetBytes = positiveOr(config.MaxSheetBytes, defaultMaxSheetBytes)
	config.BodyTimeout = positiveOr(config.BodyTimeout, defaultBodyTimeout)
	config.OrderTimeout = positiveOr(config.OrderTimeout, defaultOrderTimeout)
	config.MaxOrders = positiveOr(config.MaxOrders, defaultMaxOrders)
	config.MaxReads = positiveOr(config.MaxReads, defaultMaxReads)
	if config.NewOrderID == nil {
		config.NewOrderID = randomOrderID
	}
	api := &API{
		config:     config,
		orders:     orders,
		inspector:  inspector,
		clock:      clock,
		log:        log,
		orderSlots: make(chan struct{}, config.MaxOrders),
		readSlots:  make(chan struct{}, config.MaxReads),
	}
	for i, entry := range config.Operators {
		api.operators = append(api.operators, mustParseOperator(i, entry))
	}
	return api
}

// positiveOr returns value if it is above zero, otherwise fallback.
func positiveOr[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// mustParseOperator parses the operator entry at an index. It panics if the entry is
// malformed; the message omits the entry, since it may contain a key.
func mustParseOperator(index int, entry string) operator {
	name, hexHash, _ := strings.Cut(entry, ":")
	parsed := operator{name: name}
	hash, err := hex.DecodeString(hexHash)
	if name == "" || err != nil || len(hash) != sha256.Size {
		panic(errors.Errorf("operator entry %d does not have the form NAME:SHA256HEX", index+1))
	}
	copy(parsed.keyHash[:], hash)
	return parsed
}

func randomOrderID() string {
	const idBytes = 12
	var random [idBytes]byte
	_, _ = rand.Read(random[:])
	return "order-" + hex.EncodeToString(random[:])
}

// ServeHTTP serves one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := &exchange{
		api:                a,
		w:                  w,
		r:                  r,
		responseController: http.NewResponseController(w),
	}
	_ = current.responseController.SetWriteDeadline(deadlineAfter(a.config.BodyTimeout + a.config.OrderTimeout + a.config.BodyTimeout))
	reply, apiErr := current.serve()
	if apiErr != nil {
		if r.ContentLength != 0 {
			// The body may not have been read to its end, so the connection can't be reused.
			w.Header().Set("Connection", "close")
		}
		reply = errorReply(apiErr, "")
	}
	current.write(reply)
}

// deadlineAfter returns a deadline for a connection. It uses the system clock, as
// connections do, instead of the API's clock.
func deadlineAfter(timeout time.Duration) time.Time { return clock.System().Now().Add(timeout) }
