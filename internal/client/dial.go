package client

import (
	"errors"
	"net"
)

// isDialError reports whether err happened before a connection existed, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
