package direct

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// A process may hold a configuration that is outdated: the current one is on its way, or the process is cut off. Each
// response of the store to a reader shows which configuration was the newest one at that time. Readers pass this on as
// confirmations, and so does every process that receives one.

// configurationStatus is whether the configuration that a process holds may be outdated.
type configurationStatus int

const (
	// configurationCurrent means that the store had no later configuration within the change bound.
	configurationCurrent configurationStatus = iota
	// configurationBehind means that the store has a later configuration.
	configurationBehind
	// configurationUnconfirmed means that the store may have had a later configuration for longer than the change bound.
	configurationUnconfirmed
)

// refusalReason returns the reason for which a request is refused that the held configuration does not allow.
func (s configurationStatus) refusalReason() string {
	if s == configurationBehind {
		return "configuration-behind"
	}
	return "configuration-unconfirmed"
}

const (
	// confirmationUncertainty is how much earlier than estimated the store may have made the response of a confirmation:
	// the transit times of its messages, and that of a response that did not wait until its due time.
	confirmationUncertainty = 500 * time.Millisecond
	// confirmationStepDivisor and urgentStepDivisor divide the change bound. The first gives how much newer a confirmation
	// must be to be passed on with the next message, the second how much newer to be sent before the next heartbeat.
	confirmationStepDivisor = 8
	urgentStepDivisor       = 4
	// confirmationRetention is the number of change bounds for which the last response of a reader is kept, so that it is
	// not received again as a later one. No process passes on a confirmation that is older than one change bound.
	confirmationRetention = 10
	// maxIdleReaders is the number of readers up to which none is discarded.
	maxIdleReaders = 64
	// noUrgentStep is an urgent step that no confirmation reaches.
	noUrgentStep = time.Duration(math.MaxInt64)
)

// confirmation is what a response of the store shows: the configuration that was the newest one at a time.
type confirmation struct {
	// reader identifies the process that received the response, and response numbers its responses. Both are 0 if unknown.
	reader   uint32
	response uint64
	// version is the version of the configuration.
	version uint64
	// at is when the store made the response, on the clock of this process.
	at time.Time
}

// takenResponse is the latest response of a reader of which a confirmation was received.
type takenResponse struct {
	response uint64
	at       time.Time
}

// confirmations holds the latest confirmation that a process has. It is not safe for concurrent use.
type confirmations struct {
	// bound is the time within which a change must be in force.
	bound time.Duration
	// reader identifies this process, and responses is the number of its own responses.
	reader    uint32
	responses uint64
	latest    confirmation
	// taken holds the latest response of each reader. Each one counts once: processes that pass on the same response to
	// each other would otherwise add the transit time to its estimated time again and again.
	taken map[uint32]takenResponse
	// aheadOrdered is the highest Watermarks.Ordered of processes that send no confirmations, as of aheadAt.
	aheadOrdered uint64
	aheadAt      time.Time
}

func newConfirmations(bound time.Duration) confirmations {
	return confirmations{bound: bound, reader: rand.Uint32() | 1, taken: make(map[uint32]takenResponse)}
}

// noteResponse adds a response that this process received and applied.
func (c *confirmations) noteResponse(version uint64, madeAt, now time.Time) {
	c.responses++
	c.take(&confirmation{reader: c.reader, response: c.responses, version: version, at: madeAt}, now)
}

// take adds a confirmation.
func (c *confirmations) take(received *confirmation, now time.Time) {
	if now.Sub(received.at) >= c.bound {
		return
	}
	if received.reader != 0 {
		if c.taken[received.reader].response >= received.response {
			return
		}
		c.taken[received.reader] = takenResponse{received.response, received.at}
		c.discardIdle(now)
	}
	if received.replaces(&c.latest) {
		c.latest = *received
	}
}

// replaces reports whether a confirmation replaces another one. One with a later version always does. One with an earlier
// version shows that the store came back from a copy, unless the two were read at about the same time.
func (c *confirmation) replaces(known *confirmation) bool {
	switch {
	case c.version > known.version:
		return true
	case c.version < known.version:
		return c.at.After(known.at.Add(confirmationUncertainty))
	}
	return c.at.After(known.at)
}

// discardIdle discards readers without recent responses.
func (c *confirmations) discardIdle(now time.Time) {
	if len(c.taken) > maxIdleReaders {
		maps.DeleteFunc(c.taken, func(_ uint32, t takenResponse) bool { return now.Sub(t.at) >= confirmationRetention*c.bound })
	}
}

// status returns the status of a configuration, of a process with the given Watermarks.Ordered.
func (c *confirmations) status(version, ordered uint64, now time.Time) configurationStatus {
	switch {
	case now.Sub(c.latest.at) >= c.bound:
		return configurationUnconfirmed
	case version < c.latest.version, ordered < c.aheadOrdered && now.Sub(c.aheadAt) < statusTimeout:
		return configurationBehind
	}
	return configurationCurrent
}

// forReport returns the confirmation that is passed on, the zero value if there is none.
func (c *confirmations) forReport(now time.Time) confirmation {
	if c.latest.reader == 0 || now.Sub(c.latest.at) >= c.bound {
		return confirmation{}
	}
	return c.latest
}

// toWire returns the confirmation in a message that is made at a time.
func (c *confirmation) toWire(now time.Time) *wire.Confirmation {
	age := max(0, now.Sub(c.at)+time.Millisecond-1)
	return &wire.Confirmation{
		Reader: c.reader, Response: c.response, Configuration: c.version, AgeMilliseconds: uint64(age.Milliseconds()),
	}
}

// confirmationFromWire returns the confirmation in a message that was made at a time.
func confirmationFromWire(encoded *wire.Confirmation, sentAt time.Time) *confirmation {
	return &confirmation{
		reader: encoded.Reader, response: encoded.Response, version: encoded.Configuration,
		at: sentAt.Add(-time.Duration(encoded.AgeMilliseconds) * time.Millisecond),
	}
}

// isNewer reports whether a confirmation is to be passed on after another one: it has a later version, or is newer by at
// least a step.
func (c *confirmation) isNewer(sent *confirmation, step time.Duration) bool {
	return c.reader != 0 && (c.version > sent.version || c.at.Sub(sent.at) >= step)
}

// heldVersion returns the version of the configuration in a view, 0 if there is none.
func heldVersion(view *fleet.View) uint64 {
	if view.Configuration == nil {
		return 0
	}
	return view.Configuration.Version
}

// configurationStatus returns whether the configuration in the view may be outdated. A process without a configuration
// is unconfirmed or behind.
func (f *FleetState) configurationStatus() configurationStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmations.status(heldVersion(f.View()), f.mirror.Status().Ordered, f.clock.Now())
}

// ConfirmationAge returns the time since the latest confirmation of the store's newest configuration, or a negative value
// if there was none.
func (f *FleetState) ConfirmationAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmations.latest.at.IsZero() {
		return -1
	}
	return f.clock.Since(f.confirmations.latest.at)
}

// confirmation returns the confirmation that this process passes on.
func (f *FleetState) confirmation() confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmations.forReport(f.clock.Now())
}

// confirmConfiguration records that a response of the store, which it made at a time, is applied: the store had no later
// configuration than the one that is held.
func (f *FleetState) confirmConfiguration(madeAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.noteResponse(heldVersion(f.View()), madeAt, f.clock.Now())
}

// noteConfirmation records a confirmation that another process has passed on.
func (f *FleetState) noteConfirmation(received *confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.take(received, f.clock.Now())
}

// noteReportWithoutConfirmation records the report of a process that sends no confirmations: its watermarks, and when the
// store last responded to readers.
func (f *FleetState) noteReportWithoutConfirmation(reported Watermarks, responses []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, c := f.clock.Now(), &f.confirmations
	if reported.Ordered > f.mirror.Status().Ordered {
		if reported.Ordered >= c.aheadOrdered || now.Sub(c.aheadAt) >= statusTimeout {
			c.aheadOrdered, c.aheadAt = reported.Ordered, now
		}
		return
	}
	for _, at := range responses {
		c.take(&confirmation{version: heldVersion(f.View()), at: at}, now)
	}
}

// responseMadeAt returns when the store made a response. A response that waited for changes may have been made at any time
// until its due time.
func responseMadeAt(response *storeResponse, now time.Time) time.Time {
	switch {
	case response.snapshot:
		return response.started
	case now.Before(response.due):
		return now
	}
	return response.due
}
