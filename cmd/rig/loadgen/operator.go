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

// Sheet is a sheet as operators write it.
type Sheet struct {
	Services map[string]map[string]any     `json:"services"`
	Weights  map[string]map[string]float64 `json:"weights"`
	Tenants  map[string]SheetTenant        `json:"tenants"`
	Settings map[string]string             `json:"settings,omitempty"`
}

// SheetTenant is a row of the tenants.
type SheetTenant struct {
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst,omitempty"`
	Home  string   `json:"home,omitempty"`
	Keys  []string `json:"keys,omitempty"`
}

// ProbeKey is the key number k of the tenant "probe"; each sheet has one.
func ProbeKey(k int) string { return fmt.Sprintf("probe-key-%d", k) }

// FirstSheet is the sheet of the first deployment with probe key k.
func FirstSheet(f *fleet.Fleet, tenants []Tenant, k int) Sheet {
	s := Sheet{Services: map[string]map[string]any{}, Weights: map[string]map[string]float64{}, Tenants: map[string]SheetTenant{}}
	regions := map[string]float64{}
	for _, p := range f.Spec.Models {
		regions[p.Region]++
	}
	webs := map[string]float64{}
	for _, p := range f.Spec.Webs {
		webs[p.Region]++
	}
	for _, name := range f.Spec.Services.Model {
		s.Services[name], s.Weights[name] = map[string]any{"kind": "model"}, regions
	}
	for _, name := range f.Spec.Services.Web {
		s.Services[name], s.Weights[name] = map[string]any{"kind": "web", "plain_tokens": 50}, webs
	}
	for _, t := range tenants {
		s.Tenants[t.Name] = SheetTenant{Rate: t.Rate, Burst: t.Burst, Home: t.Home, Keys: []string{fleet.Hash(t.Key)}}
	}
	s.Tenants["probe"] = SheetTenant{Rate: 50000, Burst: 100000, Keys: []string{fleet.Hash(ProbeKey(k))}}
	return s
}

// Control is what operators do; it numbers their orders and probe keys.
type Control struct {
	Fleet   *fleet.Fleet
	Book    *history.Recorder
	prefix  string
	serial  atomic.Int64
	key     atomic.Int64
	newest  atomic.Int64 // newest probe key acknowledged
	version atomic.Uint64
	Wait    time.Duration // for one answer; 0 means 8 s
}

// NewControl returns operators of a fleet.
func NewControl(f *fleet.Fleet, seed uint64) *Control {
	return &Control{Fleet: f, Book: f.Book, prefix: fmt.Sprintf("o%d", seed), Wait: 8 * time.Second}
}

// Settings makes an order that sets run-time settings.
func (c *Control) Settings(operator string, base uint64, values map[string]string) *Order {
	var more []map[string]any
	for name, value := range values {
		more = append(more, map[string]any{"path": "settings." + name, "value": value})
	}
	return c.Change(operator, base, more...)
}

// NextKey gives a probe key number that no sheet had.
func (c *Control) NextKey() int { return int(c.key.Add(1)) }

// Newest is the probe key of the newest acknowledged sheet, and its sheet version.
func (c *Control) Newest() (key int, version uint64) { return int(c.newest.Load()), c.version.Load() }

// Order is an order that may be sent several times under one id.
type Order struct {
	history.Order
	Body map[string]any
	Key  int // probe key that it brings; 0 for none
}

// Make fills in an order's id. Verbs: put, patch, evacuate, restore, remove.
func (c *Control) Make(operator, verb string, base uint64, body map[string]any, key int) *Order {
	id := fmt.Sprintf("%s-%d", c.prefix, c.serial.Add(1))
	body["order_id"] = id
	if verb == "put" || verb == "patch" {
		body["base"] = base
	}
	mark := ""
	if key > 0 {
		mark = fmt.Sprint(key)
	}
	return &Order{Order: history.Order{ID: id, Operator: operator, Verb: verb, Base: base, SheetMarker: mark}, Body: body, Key: key}
}

// Put makes an order with a whole sheet.
func (c *Control) Put(operator string, base uint64, sheet Sheet, key int) *Order {
	return c.Make(operator, "put", base, map[string]any{"sheet": sheet}, key)
}

// Change makes an order that gives the probe tenant a new key, with more changes.
func (c *Control) Change(operator string, base uint64, more ...map[string]any) *Order {
	key := c.NextKey()
	changes := append([]map[string]any{{"path": "tenants.probe.keys", "value": []string{fleet.Hash(ProbeKey(key))}}}, more...)
	return c.Make(operator, "patch", base, map[string]any{"changes": changes}, key)
}

// Evacuate makes an order that empties a zone; Restore takes it back.
func (c *Control) Evacuate(operator, zone string) *Order {
	o := c.Make(operator, "evacuate", 0, map[string]any{"locality": zone}, 0)
	o.Target = zone
	return o
}

// Restore makes an order that takes a zone back.
func (c *Control) Restore(operator, zone string) *Order {
	o := c.Make(operator, "restore", 0, map[string]any{"locality": zone}, 0)
	o.Target = zone
	return o
}

var routes = map[string][2]string{"put": {http.MethodPut, "/v1/control/sheet"}, "patch": {http.MethodPatch, "/v1/control/sheet"},
	"evacuate": {http.MethodPost, "/v1/control/evacuate"}, "restore": {http.MethodPost, "/v1/control/restore"}, "remove": {http.MethodPost, "/v1/control/members/remove"}}

// Send sends an order once through a node. With lose set the operator breaks
// the connection after that span and sees no answer.
func (c *Control) Send(o *Order, node *fleet.Node, lose time.Duration) history.Order {
	text, _ := json.Marshal(o.Body)
	route := routes[o.Verb]
	req, _ := http.NewRequest(route[0], "http://"+node.Caller+route[1], bytes.NewReader(text))
	req.Header.Set("Authorization", "Bearer "+fleet.Operators[o.Operator])
	req.Header.Set("Content-Type", "application/json")
	sent := o.Order
	sent.Front, sent.Sent = node.Name, c.Book.Now()
	if o.Key > 0 {
		c.keyMark(o.Key, sent.Sent, 0, 0)
	}
	wait := c.Wait
	if lose > 0 {
		wait = lose
	}
	status, data, err := Ask(req, node.Caller, wait)
	sent.Answered = c.Book.Now()
	if lose > 0 || err != nil {
		sent.AnswerLost = true
		if err != nil {
			sent.Detail = err.Error()
		}
	} else {
		var body struct {
			Code         int    `json:"code"`
			Detail       string `json:"detail"`
			Version      uint64 `json:"epoch"`
			SheetVersion uint64 `json:"sheet_epoch"`
			InForce      bool   `json:"in_force"`
		}
		_ = json.Unmarshal(data, &body)
		sent.Status, sent.Code, sent.Version, sent.InForce, sent.Detail = status, body.Code, body.Version, body.InForce, body.Detail
		if sent.Acknowledged() && o.Key > 0 {
			c.keyMark(o.Key, sent.Sent, sent.Answered, sent.Version)
			for {
				e := c.version.Load()
				if sent.Version <= e {
					break
				}
				if c.version.CompareAndSwap(e, sent.Version) {
					c.newest.Store(int64(o.Key))
					break
				}
			}
		}
	}
	c.Book.Update(func(l *history.Recording) { l.Orders = append(l.Orders, sent) })
	return sent
}

func (c *Control) keyMark(key int, sent, acked history.Instant, version uint64) {
	c.Book.Update(func(l *history.Recording) {
		for i := range l.KeyRotations {
			if l.KeyRotations[i].Key == key {
				if acked > 0 && l.KeyRotations[i].Acknowledged == 0 {
					l.KeyRotations[i].Acknowledged, l.KeyRotations[i].Version = acked, version
				}
				return
			}
		}
		l.KeyRotations = append(l.KeyRotations, history.KeyRotation{Key: key, Sent: sent, Acknowledged: acked, Version: version})
	})
}

// Settled tells whether an answer ends an order for good.
func Settled(o history.Order) bool {
	return !o.AnswerLost && (o.Acknowledged() || o.Status >= 400 && o.Status < 500)
}

// Push sends an order through one node after another until it is settled.
func (c *Control) Push(ctx context.Context, o *Order, nodes []*fleet.Node) (last history.Order) {
	for i := 0; ctx.Err() == nil; i++ {
		last = c.Send(o, nodes[i%len(nodes)], 0)
		if Settled(last) || !owner.Sleep(ctx, 200*time.Millisecond) {
			return last
		}
	}
	return last
}

// Read reads the sheet back through a node.
func (c *Control) Read(node *fleet.Node, final bool) (history.ReadBack, Sheet) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+node.Caller+"/v1/control/sheet", nil)
	req.Header.Set("Authorization", "Bearer "+fleet.Operators["ade"])
	back := history.ReadBack{Front: node.Name, Sent: c.Book.Now(), Final: final}
	status, data, err := Ask(req, node.Caller, c.Wait)
	back.Answered = c.Book.Now()
	var body struct {
		Code         int    `json:"code"`
		Version      uint64 `json:"epoch"`
		SheetVersion uint64 `json:"sheet_epoch"`
		Sheet        Sheet  `json:"sheet"`
	}
	if err == nil {
		_ = json.Unmarshal(data, &body)
		back.Status, back.Code, back.Version = status, body.Code, body.SheetVersion
		if keys := body.Sheet.Tenants["probe"].Keys; len(keys) == 1 {
			for k := int(c.key.Load()); k >= 0; k-- {
				if fleet.Hash(ProbeKey(k)) == keys[0] {
					back.SheetMarker = fmt.Sprint(k)
					break
				}
			}
		}
	}
	c.Book.Update(func(l *history.Recording) { l.ReadBacks = append(l.ReadBacks, back) })
	return back, body.Sheet
}

// Base asks through one node after another for the sheet's version.
func (c *Control) Base(ctx context.Context, nodes []*fleet.Node) (uint64, bool) {
	for i := 0; ctx.Err() == nil; i++ {
		if back, _ := c.Read(nodes[i%len(nodes)], false); back.Status == http.StatusOK {
			return back.Version, true
		}
		owner.Sleep(ctx, 200*time.Millisecond)
	}
	return 0, false
}
