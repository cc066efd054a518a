package soak

import "time"

// The origin becomes unavailable while agents download one or several versions. All agents must load the newest version
// after it has returned.

const (
	// originInterval is the mean delay before the origin becomes unavailable, and maxOriginOutage the longest time for which
	// it is.
	originInterval  = 1500 * time.Millisecond
	maxOriginOutage = 1500 * time.Millisecond
	// maxVersionGap is the longest time between two versions, and between the last one and the start of the outage.
	maxVersionGap = 300 * time.Millisecond
	// maxVersions is the largest number of versions that are published before an outage.
	maxVersions = 3
)

// interruptOrigin publishes versions and makes the origin unavailable shortly afterwards, several times.
func (d *testDeployment) interruptOrigin(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(d.originRand.Int64N(int64(2 * originInterval))))
		for range 1 + d.originRand.IntN(maxVersions) {
			d.publishVersion()
			time.Sleep(time.Duration(d.originRand.Int64N(int64(maxVersionGap))))
		}
		outage := time.Duration(d.originRand.Int64N(int64(maxOriginOutage)))
		d.origin.SetUnavailable(true)
		time.Sleep(outage)
		d.origin.SetUnavailable(false)
	}
}
