package port

import (
	"context"
	"time"

	"stepwick/internal/wire"
)

// ServerSource reads which servers there are and what they say of themselves.
type ServerSource interface {
	// List reads the whole list. What is returned must not be changed.
	List(ctx context.Context) (Listing, error)
	// Status asks a server for its own status.
	Status(ctx context.Context, name, address string) (*wire.ServerStatus, Reach, error)
}

// Listing is a list of servers. Bad names the entries that could not be read
// with the reason of each: they are neither listed nor gone. Cold tells how
// much longer servers stay cold; those that it does not name are not.
type Listing struct {
	Servers []*wire.ServerStatus
	Bad     map[string]string
	Cold    map[string]time.Duration
	Calls   int // that it took to read the list; 0 counts as one
}

// Reach tells how a server took the question for its status.
type Reach int

// Reaches. Garbled is an answer that can't be read; Silent covers everything
// else that is neither an answer nor a refused connection.
const (
	Answers Reach = iota
	Refuses
	Silent
	Garbled
)
