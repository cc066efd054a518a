package daemon

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// boundSocket is a TCP socket that is bound but not listening yet. No other process can bind its
// address, and connections to it are refused.
type boundSocket struct {
	fd      int
	address string
}

// bindSocket binds a socket to an address of the form IP:port. Port 0 selects a free port.
func bindSocket(address string) (*boundSocket, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parsing the address: %w", err)
	}
	family, sockaddr := syscall.AF_INET6, syscall.Sockaddr(&syscall.SockaddrInet6{Port: int(addrPort.Port()), Addr: addrPort.Addr().As16()})
	if addrPort.Addr().Is4() {
		family, sockaddr = syscall.AF_INET, &syscall.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("opening a socket: %w", err)
	}
	s := &boundSocket{fd: fd}
	if err := s.bind(addrPort, sockaddr); err != nil {
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("binding %s: %w", address, err)
	}
	return s, nil
}

func (s *boundSocket) bind(addrPort netip.AddrPort, sockaddr syscall.Sockaddr) error {
	// With SO_REUSEADDR, a fixed port can be bound again right after a restart. For
	// port 0 it stays off, so that the selected port is not shared with another socket.
	reuse := 0
	if addrPort.Port() != 0 {
		reuse = 1
	}
	if err := syscall.SetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, reuse); err != nil {
		return err
	}
	if err := syscall.Bind(s.fd, sockaddr); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(s.fd)
	if err != nil {
		return err
	}
	port := 0
	switch bound := bound.(type) {
	case *syscall.SockaddrInet4:
		port = bound.Port
	case *syscall.SockaddrInet6:
		port = bound.Port
	}
	s.address = netip.AddrPortFrom(addrPort.Addr(), uint16(port)).String()
	return nil
}

// listen starts listening on the socket and returns its listener. It must be called only once.
func (s *boundSocket) listen() (net.Listener, error) {
	// Connections of this process must not prevent the next one from binding the port.
	if err := syscall.SetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, fmt.Errorf("setting SO_REUSEADDR on %s: %w", s.address, err)
	}
	if err := syscall.Listen(s.fd, syscall.SOMAXCONN); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", s.address, err)
	}
	file := os.NewFile(uintptr(s.fd), s.address)
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", s.address, err)
	}
	return listener, nil
}
