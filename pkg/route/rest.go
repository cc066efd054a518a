package route

import (
	"errors"
	"time"
)

// ErrLeaving reports a place on a server that has said meanwhile that it will end.
var ErrLeaving = errors.New("the server has said that it leaves")

// Check returns why nothing may be sent to the server any more, as it has said something of itself since the
// place was had; nil if it may. To open a connection alone may take some hundred milliseconds.
func (r *Reservation) Check(time.Time) error {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving[r.Server.ID] {
		return ErrLeaving
	}
	return nil
}
