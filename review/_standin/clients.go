package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	clientsPerZone    = 2
	clientPause       = 50 * time.Millisecond
	clientDeadline    = time.Second
	directoryTimeout  = time.Second
	directoryAttempts = 3
	host              = "press.example"
	apiKey            = "key-of-press"
)

// startClients starts clients in every zone. They stop when the context ends.
func (d *deployment) startClients(ctx context.Context) {
	for i := range zones {
		for number := range clientsPerZone {
			c := &client{
				deployment: d,
				name:       fmt.Sprintf("%s-%d", zones[i].name, number+1),
				zone:       i,
				http:       &http.Client{Timeout: clientDeadline + directoryTimeout},
			}
			go c.run(ctx)
		}
	}
}

// client sends one request after the other to fronts that the directory names.
type client struct {
	deployment *deployment
	name       string
	zone       int
	http       *http.Client
	addresses  []string
	expires    time.Time
}

func (c *client) run(ctx context.Context) {
	for number := 1; ctx.Err() == nil; number++ {
		if address := c.front(); address != "" {
			c.send(address, fmt.Sprintf("%s-%d", c.name, number))
		}
		time.Sleep(clientPause)
	}
}

// front returns the address of a front, chosen by chance among those of the last answer
// of the directory.
func (c *client) front() string {
	if time.Now().After(c.expires) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// resolve asks the directory, a node in the client's own zone first.
func (c *client) resolve() {
	for attempt := range directoryAttempts {
		asked := c.deployment.withCores()[(c.zone+attempt)%len(zones)]
		if addresses, ttl, ok := c.askDirectory(asked); ok {
			c.addresses = addresses
			c.expires = time.Now().Add(ttl)
			return
		}
	}
}

func (c *client) askDirectory(asked *machine) (addresses []string, ttl time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	query := url.Values{"name": {host}, "region": {zones[c.zone].region}, "zone": {zones[c.zone].name}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+asked.address(directoryPort)+"/-/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, false
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&body) != nil || len(body.Addresses) == 0 {
		return nil, 0, false
	}
	return body.Addresses, time.Duration(body.TTLS * float64(time.Second)), true
}

// send sends one request and records its answer.
func (c *client) send(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/map/tile", strings.NewReader("where is the outage"))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", fmt.Sprint(clientDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	c.deployment.record.add("sent      %s to %s", id, address)
	response, err := c.http.Do(request)
	if err != nil {
		c.deployment.record.add("answered  %s: no answer", id)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	c.deployment.record.add("answered  %s: %d", id, response.StatusCode)
}
