// Package listen binds the addresses of a daemon. Its errors name the setting
// and tell an operator how to fix it.
package listen

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// Listener is a bound address.
type Listener = net.Listener

// TCP listens on address. key is the setting that holds the address; errors name
// it and say what to do.
func TCP(ctx context.Context, key string, address tomlfile.Address) (net.Listener, error) {
	return TCPText(ctx, key, address.String())
}

// TCPText is like TCP for an address in the form "IP:port".
func TCPText(ctx context.Context, key, address string) (Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err == nil {
		return listener, nil
	}
	return nil, errors.Errorf("%s: cannot listen on %s: %s", key, address, bindErrorReason(err))
}

func bindErrorReason(err error) string {
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return "address already in use, stop the process that holds it or set another port"
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return "no interface of this VM has that IP number"
	case errors.Is(err, syscall.EACCES):
		return "no permission, ports below 1024 need a privilege"
	default:
		return err.Error()
	}
}
