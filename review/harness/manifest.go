//go:build review

package main

import (
	"net/http"
	"time"
)

// modelDeadline is the deadline of requests to the model.
const modelDeadline = 6 * time.Second

// runManifest names a new version while the origin spoils one bit of one manifest.
func runManifest(d *deployment, trouble bool) (broken bool, err error) {
	return d.runSpoilt(trouble, 16*time.Second)
}

func (d *deployment) runSpoilt(trouble bool, duration time.Duration) (broken bool, err error) {
	d.putConfiguration()
	if err := d.startModels(4); err != nil {
		return false, err
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	load, err := newClients(d, func(*answer) {})
	if err != nil {
		return false, err
	}
	time.AfterFunc(2*time.Second, func() {
		if trouble {
			d.origin.mu.Lock()
			d.origin.spoilManifests = 1
			d.origin.mu.Unlock()
		}
		d.nameVersion(2)
	})
	load.run(http.MethodPost, streamPrefix+"2f", modelDeadline, 60*time.Millisecond, duration)
	broken = d.reportModels()
	if trouble && d.origin.spoilt == 0 {
		return broken, errNoTrouble
	}
	return broken, nil
}

// reportModels records what became of the model servers and returns whether one made tokens with layers that it must not
// use.
func (d *deployment) reportModels() (broken bool) {
	d.origin.mu.Lock()
	d.record.printf("origin: %d answers, %d of them spoilt", d.origin.answers, d.origin.spoilt)
	d.origin.mu.Unlock()
	for _, m := range d.models {
		m.mu.Lock()
		version, orders := m.version, m.orders
		m.mu.Unlock()
		d.record.printf("%s: holds version %d, %d orders, %d events made with layers whose pieces had faults", m.id, version, orders, m.bad())
		broken = broken || m.bad() > 0
	}
	return broken
}
