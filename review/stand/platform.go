//go:build review

package main

import (
	"net"
	"syscall"
	"time"
)

// bounds are the figures of a sheet that the settings of a process and the cases use.
type bounds struct {
	contactMs, drainMs, configApplyMs, versionMs, retryBudgetExtra int
}

// The bounds of the deployments.
var (
	hatakeiBounds    = bounds{contactMs: 3000, drainMs: 2000, configApplyMs: 2000, versionMs: 8000, retryBudgetExtra: 100}
	hatakeiNowBounds = bounds{contactMs: 4000, drainMs: 3000, configApplyMs: 3000, versionMs: 9700, retryBudgetExtra: 234}
	matrikelBounds   = bounds{contactMs: 4000, drainMs: 3000, configApplyMs: 3000, versionMs: 10300, retryBudgetExtra: 252}
)

// settle waits after the start of the entry boxes until they count as in touch, and a little longer.
func (d *deployment) settle() {
	time.Sleep(time.Duration(d.bounds.contactMs)*time.Millisecond + time.Second)
}

// limits are the Limits of the configurations.
var limits = map[string]any{"MaxBodyBytes": 1 << 20, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}

const (
	// segmentBytes is the size of a TCP segment on Ethernet, which a client on loopback asks for. With the segments of
	// loopback, of 64 KB, the socket buffers of an entry box hold megabytes for each client.
	segmentBytes = 1448
	// windowBytes is the receive buffer of a client that is slow to read.
	windowBytes = 16 << 10
)

// dial connects a client.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// dialSlow connects a client whose socket takes little before the client reads it.
func dialSlow(address string) (net.Conn, error) { return dialWindow(address, windowBytes) }

// dialWindow connects a client with a receive buffer of a size.
func dialWindow(address string, window int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return dialer.Dial("tcp", address)
}
