package client

import (
	"errors"
	"net"
)

// isDialError reports whether err occurred while a connection was being opened, so that nothing was sent on it.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
