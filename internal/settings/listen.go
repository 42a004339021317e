package settings

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// CheckListen checks that the addresses in the settings are available by listening on them briefly.
// If an address cannot be used, the error includes a remedy.
func CheckListen(s *pb.Settings) error {
	listener, err := net.Listen("tcp", s.GetListen().GetHttp())
	if err != nil {
		return ListenError("listen.http", s.GetListen().GetHttp(), err)
	}
	defer listener.Close()
	conn, err := net.ListenPacket("udp", s.GetListen().GetPeer())
	if err != nil {
		return ListenError("listen.peer", s.GetListen().GetPeer(), err)
	}
	return conn.Close()
}

// ListenError wraps an error of net.Listen or net.ListenPacket with the settings key, the address and, if one is known, a
// remedy.
func ListenError(key, address string, err error) error {
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return fmt.Errorf("%s: address %s is in use by another process; end that process (ss -lntup shows it) or change %s: %w", key, address, key, err)
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return fmt.Errorf("%s: address %s does not belong to this machine; correct the IP address: %w", key, address, err)
	case errors.Is(err, syscall.EACCES):
		return fmt.Errorf("%s: no permission to listen on %s; use a port above 1023: %w", key, address, err)
	}
	return fmt.Errorf("%s: cannot listen on %s: %w", key, address, err)
}
