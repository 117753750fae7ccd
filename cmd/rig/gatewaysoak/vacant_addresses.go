package gatewaysoak

import (
	"io"
	"net"

	"stepwick/platform/standin"
)

// vacantAddresses answers on the addresses of a machine whose processes have ended, as the
// manner has it: silently, by resets, or not at all, so that connections are refused.
type vacantAddresses struct {
	listeners []net.Listener
}

// occupy opens listeners on the addresses of a machine for clients and the operator.
func occupy(machine standin.Machine, manner cutManner) (*vacantAddresses, error) {
	vacant := &vacantAddresses{}
	if manner == cutRefuse {
		return vacant, nil
	}
	fronts := []standin.Front{machine.Frontend(), machine.Readiness(), machine.Directory()}
	if machine.HasCore {
		fronts = append(fronts, machine.Control())
	}
	for _, front := range fronts {
		listener, err := listen(front.Address)
		if err != nil {
			vacant.close()
			return nil, err
		}
		vacant.listeners = append(vacant.listeners, listener)
		go acceptVacant(listener, manner)
	}
	return vacant, nil
}

// acceptVacant accepts connections until the listener is closed. It resets them at once or
// reads them without an answer until their clients give up.
func acceptVacant(listener net.Listener, manner cutManner) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if manner == cutReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
}

func (v *vacantAddresses) close() {
	for _, listener := range v.listeners {
		_ = listener.Close()
	}
}
