package daemon

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// boundSocket is an address that is bound but not listened on yet: nobody else
// can take it, and connections to it are refused.
type boundSocket struct {
	fd      int
	address string
}

// bindSocket binds an IP address with a port; port 0 takes a free one.
func bindSocket(address string) (*boundSocket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("reading the address: %w", err)
	}
	family, name := syscall.AF_INET6, syscall.Sockaddr(&syscall.SockaddrInet6{Port: int(parsed.Port()), Addr: parsed.Addr().As16()})
	if parsed.Addr().Is4() {
		family, name = syscall.AF_INET, &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("opening a socket: %w", err)
	}
	r := &boundSocket{fd: fd}
	if err := r.bind(parsed, name); err != nil {
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("binding %s: %w", address, err)
	}
	return r, nil
}

func (r *boundSocket) bind(wanted netip.AddrPort, name syscall.Sockaddr) error {
	// A fixed port must be had again right after a restart. A free one must not
	// be shared, and is not, without the option.
	reuse := 0
	if wanted.Port() != 0 {
		reuse = 1
	}
	if err := syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, reuse); err != nil {
		return err
	}
	if err := syscall.Bind(r.fd, name); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(r.fd)
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
	r.address = netip.AddrPortFrom(wanted.Addr(), uint16(port)).String()
	return nil
}

// listen turns the reservation into a listener. It is called once.
func (r *boundSocket) listen() (net.Listener, error) {
	// Its connections must not keep the port from the next start.
	if err := syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, fmt.Errorf("setting up %s: %w", r.address, err)
	}
	if err := syscall.Listen(r.fd, syscall.SOMAXCONN); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", r.address, err)
	}
	file := os.NewFile(uintptr(r.fd), r.address)
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", r.address, err)
	}
	return listener, nil
}
