package backend

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// sendGuardKey is the context key for the sendGuard of an attempt.
type sendGuardKey struct{}

// States of a sendGuard. It leaves sendUndecided once and never changes again.
const (
	sendUndecided uint32 = iota
	sendStarted
	sendPrevented
)

// sendGuard decides once whether the request of an attempt may be written to its
// connection. Once sending is prevented, nothing is ever written, no matter how late
// a dial returns or a blocked writer continues. It is safe for concurrent use.
type sendGuard struct {
	state     atomic.Uint32
	checkSend func() *apierror.Error
	// rejection is the error with which checkSend forbade sending, or nil.
	rejection atomic.Pointer[apierror.Error]
}

// newSendGuard returns a guard that permits sending if the deadline has not passed
// and Attempt.Allow does not forbid it.
func (a *Attempt) newSendGuard() *sendGuard {
	return &sendGuard{checkSend: func() *apierror.Error {
		if !a.Now().Before(a.Deadline) {
			return apierror.Errorf(apierror.DeadlineExceeded, "the deadline passed before the request was sent")
		}
		if a.CheckSend != nil {
			return a.CheckSend()
		}
		return nil
	}}
}

// allowWrite reports whether the request may be written. The first call decides if
// sending has not been prevented before.
func (g *sendGuard) allowWrite() bool {
	if state := g.state.Load(); state != sendUndecided {
		return state == sendStarted
	}
	if apiErr := g.callCheckSend(); apiErr != nil {
		// Store the error before the state, so that a goroutine which sees
		// sendPrevented also sees the error.
		g.rejection.Store(apiErr)
		g.state.CompareAndSwap(sendUndecided, sendPrevented)
		return false
	}
	return g.state.CompareAndSwap(sendUndecided, sendStarted)
}

// callCheckSend calls checkSend and converts a panic to an error: it runs on a
// goroutine of the transport, where a panic would terminate the process.
func (g *sendGuard) callCheckSend() (apiErr *apierror.Error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			apiErr = apierror.Errorf(apierror.Internal, "panic in the check before sending the request: %v", panicked)
		}
	}()
	return g.checkSend()
}

// prevent prevents sending unless it has started, and reports whether no part of the
// request has been or will be written.
func (g *sendGuard) prevent() bool {
	g.state.CompareAndSwap(sendUndecided, sendPrevented)
	return g.state.Load() == sendPrevented
}

var errSendPrevented = errors.New("write to server: sending the request was prevented")

// guardedConn is the connection of an attempt. It passes on writes only if the guard
// permits sending.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write writes data to the connection. It fails with errSendPrevented if sending was
// prevented.
func (c *guardedConn) Write(data []byte) (int, error) {
	if !c.guard.allowWrite() {
		return 0, errSendPrevented
	}
	return c.Conn.Write(data)
}
