package backend

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// sendGuardKey is the context key of an attempt's sendGuard.
type sendGuardKey struct{}

// States of a sendGuard. The first change is final.
const (
	sendUndecided uint32 = iota
	sendStarted
	sendPrevented
)

// sendGuard decides once whether an attempt's request is written to its
// connection. Once sending is prevented, nothing is ever written, however late a
// dial returns or a writer continues. It may be used from any goroutine.
type sendGuard struct {
	state atomic.Uint32
	allow func() *apierror.Error
	// rejection is why allow prevented the sending; nil for another reason.
	rejection atomic.Pointer[apierror.Error]
}

// newSendGuard returns a guard that allows sending before the deadline while
// Attempt.Allow does.
func (a *Attempt) newSendGuard() *sendGuard {
	return &sendGuard{allow: func() *apierror.Error {
		if !a.Now().Before(a.Deadline) {
			return apierror.Errorf(apierror.DeadlinePassed, "the deadline passed before the request was sent")
		}
		if a.Allow != nil {
			return a.Allow()
		}
		return nil
	}}
}

// allowWrite reports whether the request may be written, and decides that on the
// first call.
func (g *sendGuard) allowWrite() bool {
	if state := g.state.Load(); state != sendUndecided {
		return state == sendStarted
	}
	if apiErr := g.callAllow(); apiErr != nil {
		// The reason is stored first, for whoever sees the state.
		g.rejection.Store(apiErr)
		g.state.CompareAndSwap(sendUndecided, sendPrevented)
		return false
	}
	return g.state.CompareAndSwap(sendUndecided, sendStarted)
}

// callAllow converts a panic of allow to an error: it runs on a goroutine of the
// transport, where a panic would end the process.
func (g *sendGuard) callAllow() (apiErr *apierror.Error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			apiErr = apierror.Errorf(apierror.Internal, "a panic before the request was sent: %v", panicked)
		}
	}()
	return g.allow()
}

// prevent prevents the sending, and reports whether nothing was or will be sent.
func (g *sendGuard) prevent() bool {
	g.state.CompareAndSwap(sendUndecided, sendPrevented)
	return g.state.Load() == sendPrevented
}

var errSendForbidden = errors.New("the request may no longer be sent")

// guardedConn is an attempt's connection. It is written to only while the guard
// allows it.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write writes data, or fails if sending was prevented.
func (c *guardedConn) Write(data []byte) (int, error) {
	if !c.guard.allowWrite() {
		return 0, errSendForbidden
	}
	return c.Conn.Write(data)
}
