package main

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens a listener for each server, or none if one fails. With shared addresses another initiator of this process
// may listen at them, too.
func (in *initiator) listen(ctx context.Context, shareAddresses bool) (map[string]net.Listener, error) {
	var config net.ListenConfig
	if shareAddresses {
		config.Control = setReusePort
	}
	listeners := map[string]net.Listener{}
	for addr := range in.servers {
		listener, err := config.Listen(ctx, "tcp", addr)
		if err != nil {
			closeAll(listeners)
			return nil, fmt.Errorf("listen: %w", err)
		}
		listeners[addr] = listener
	}
	return listeners, nil
}

// closeAll closes listeners that no client has been accepted from.
func closeAll(listeners map[string]net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close() // the error of the failed listen is the one to report
	}
}

// setReusePort lets several sockets listen at the same address, for net.ListenConfig.
func setReusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}
