package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
)

const (
	defaultAnswerTimeout = 8 * time.Second
	resendInterval       = 200 * time.Millisecond
	sheetReader          = "ade" // operator that reads the sheet
)

// Operators send orders to a fleet. They assign the numbers of orders and checked keys.
type Operators struct {
	Fleet         *fleet.Fleet
	Recorder      *history.Recorder
	AnswerTimeout time.Duration

	idPrefix      string        // of order IDs
	serial        atomic.Int64  // number of the last order or key check
	lastKey       atomic.Int64  // highest number of a checked key assigned
	newestKey     atomic.Int64  // checked key of the newest acknowledged sheet
	newestVersion atomic.Uint64 // version of that sheet
}

// NewOperators returns the operators of a fleet.
func NewOperators(f *fleet.Fleet, seed uint64) *Operators {
	return &Operators{
		Fleet:         f,
		Recorder:      f.Recorder,
		AnswerTimeout: defaultAnswerTimeout,
		idPrefix:      fmt.Sprintf("o%d", seed),
	}
}

// NextKey returns the number of a checked key that no sheet has used.
func (o *Operators) NextKey() int { return int(o.lastKey.Add(1)) }

// NewestKey returns the checked key of the newest acknowledged sheet, and the
// sheet's version.
func (o *Operators) NewestKey() (key int, version uint64) {
	return int(o.newestKey.Load()), o.newestVersion.Load()
}

// controlAnswer is the answer to an order or to a read of the sheet.
type controlAnswer struct {
	Code         int    `json:"code"`
	Detail       string `json:"detail"`
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	InForce      bool   `json:"in_force"`
	Sheet        Sheet  `json:"sheet"`
}

// Send sends an order once through a node and records it. If loseAfter is positive, the
// operator closes the connection after that time and ignores any answer.
func (o *Operators) Send(order *Order, node *fleet.Node, loseAfter time.Duration) history.Order {
	req := orderRequest(order, node)
	sent := order.Order
	sent.Front = node.Name
	sent.Sent = o.Recorder.Now()
	if order.Key > 0 {
		o.recordKeyRotation(history.KeyRotation{Key: order.Key, Sent: sent.Sent})
	}
	timeout := o.AnswerTimeout
	if loseAfter > 0 {
		timeout = loseAfter
	}
	status, data, err := exchange(req, node.CallerAddress, timeout)
	sent.Answered = o.Recorder.Now()
	if err != nil {
		sent.Detail = err.Error()
	}
	sent.AnswerLost = loseAfter > 0 || err != nil
	if !sent.AnswerLost {
		o.readOrderAnswer(order, &sent, status, data)
	}
	o.Recorder.Update(func(recording *history.Recording) {
		recording.Orders = append(recording.Orders, sent)
	})
	return sent
}

func orderRequest(order *Order, node *fleet.Node) *http.Request {
	data, _ := json.Marshal(order.Body)
	to := endpoints[order.Verb]
	req := newRequest(to.method, node.CallerAddress, to.path, bytes.NewReader(data))
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKeys[order.Operator])
	req.Header.Set("Content-Type", "application/json")
	return req
}

func (o *Operators) readOrderAnswer(order *Order, sent *history.Order, status int, data []byte) {
	var answer controlAnswer
	_ = json.Unmarshal(data, &answer)
	sent.Status = status
	sent.Code = answer.Code
	sent.Version = answer.Version
	sent.InForce = answer.InForce
	sent.Detail = answer.Detail
	if !sent.Acknowledged() || order.Key == 0 {
		return
	}
	o.recordKeyRotation(history.KeyRotation{
		Key:          order.Key,
		Sent:         sent.Sent,
		Acknowledged: sent.Answered,
		Version:      sent.Version,
	})
	o.updateNewestKey(order.Key, sent.Version)
}

// updateNewestKey sets the newest key if its sheet is newer than the present newest.
func (o *Operators) updateNewestKey(key int, version uint64) {
	for {
		current := o.newestVersion.Load()
		if version <= current {
			return
		}
		if o.newestVersion.CompareAndSwap(current, version) {
			o.newestKey.Store(int64(key))
			return
		}
	}
}

// recordKeyRotation records that a checked key was sent, or the first acknowledgement of
// its sheet.
func (o *Operators) recordKeyRotation(rotation history.KeyRotation) {
	o.Recorder.Update(func(recording *history.Recording) {
		for i := range recording.KeyRotations {
			recorded := &recording.KeyRotations[i]
			if recorded.Key != rotation.Key {
				continue
			}
			if rotation.Acknowledged > 0 && recorded.Acknowledged == 0 {
				recorded.Acknowledged = rotation.Acknowledged
				recorded.Version = rotation.Version
			}
			return
		}
		recording.KeyRotations = append(recording.KeyRotations, rotation)
	})
}

// IsFinal reports whether an order's answer is final: an acknowledgement or a client
// error.
func IsFinal(order history.Order) bool {
	clientError := order.Status >= http.StatusBadRequest && order.Status < http.StatusInternalServerError
	return !order.AnswerLost && (order.Acknowledged() || clientError)
}

// Submit sends an order through one node after another until its answer is final or ctx
// ends, and returns the last transmission.
func (o *Operators) Submit(ctx context.Context, order *Order, nodes []*fleet.Node) history.Order {
	var last history.Order
	for i := 0; ctx.Err() == nil; i++ {
		last = o.Send(order, nodes[i%len(nodes)], 0)
		if IsFinal(last) || !owner.Sleep(ctx, resendInterval) {
			return last
		}
	}
	return last
}

// ReadSheet reads the sheet through a node and records the read. A final read takes
// place after the end of traffic.
func (o *Operators) ReadSheet(node *fleet.Node, final bool) (history.ReadBack, Sheet) {
	req := newRequest(http.MethodGet, node.CallerAddress, "/v1/control/sheet", nil)
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKeys[sheetReader])
	read := history.ReadBack{
		Front: node.Name,
		Sent:  o.Recorder.Now(),
		Final: final,
	}
	status, data, err := exchange(req, node.CallerAddress, o.AnswerTimeout)
	read.Answered = o.Recorder.Now()
	var answer controlAnswer
	if err == nil {
		_ = json.Unmarshal(data, &answer)
		read.Status = status
		read.Code = answer.Code
		read.Version = answer.SheetVersion
		read.SheetMarker = o.markerOf(answer.Sheet)
	}
	o.Recorder.Update(func(recording *history.Recording) {
		recording.ReadBacks = append(recording.ReadBacks, read)
	})
	return read, answer.Sheet
}

// markerOf returns the number of a sheet's checked key; empty if the key is unknown.
func (o *Operators) markerOf(sheet Sheet) string {
	keys := sheet.Tenants[checkedTenant].Keys
	if len(keys) != 1 {
		return ""
	}
	for key := int(o.lastKey.Load()); key >= 0; key-- {
		if fleet.HashKey(CheckedKey(key)) == keys[0] {
			return fmt.Sprint(key)
		}
	}
	return ""
}

// SheetVersion reads the sheet's version through one node after another until one
// answers; false if ctx ends first.
func (o *Operators) SheetVersion(ctx context.Context, nodes []*fleet.Node) (uint64, bool) {
	for i := 0; ctx.Err() == nil; i++ {
		if read, _ := o.ReadSheet(nodes[i%len(nodes)], false); read.Status == http.StatusOK {
			return read.Version, true
		}
		owner.Sleep(ctx, resendInterval)
	}
	return 0, false
}
