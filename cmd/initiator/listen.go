package main

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens a listener for each server. If one fails, it closes the others and returns the error. With shareAddresses,
// another initiator in this process may listen on the same addresses.
func (in *initiator) listen(ctx context.Context, shareAddresses bool) (map[string]net.Listener, error) {
	var listenConfig net.ListenConfig
	if shareAddresses {
		listenConfig.Control = setReusePort
	}
	listeners := map[string]net.Listener{}
	for addr := range in.servers {
		listener, err := listenConfig.Listen(ctx, "tcp", addr)
		if err != nil {
			closeAll(listeners)
			return nil, fmt.Errorf("listen: %w", err)
		}
		listeners[addr] = listener
	}
	return listeners, nil
}

// closeAll closes listeners that have not accepted any client yet.
func closeAll(listeners map[string]net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close() // the error from the failed listen takes precedence
	}
}

// setReusePort sets SO_REUSEPORT, so that several sockets can listen on the same address. It is a net.ListenConfig.Control
// function.
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
