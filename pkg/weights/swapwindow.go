package weights

import "time"

// SwapWindow schedules the weight swap of one server. The servers of a service swap one after another, so
// capacity stays available.
type SwapWindow struct {
	// Published is when the newer version was published, Cutoff when the older weights on the server may no
	// longer start requests.
	Published, Cutoff time.Time
	// Position is the server's zero-based position in the swap order, Servers the number of servers.
	Position, Servers int
}

const (
	// firstSwapFraction is the fraction of the time from publication to cutoff after which the first server
	// swaps. Earlier, hardly any download is complete.
	firstSwapFraction = 0.31
	// swapDuration is how long a swap takes a server out of service.
	swapDuration = 900 * time.Millisecond
	// cutoffMargin is the time from the end of the last swap to the cutoff. Requests sent shortly before the
	// cutoff have to start before it.
	cutoffMargin = time.Second
	// lateSpreadFraction is the fraction of the remaining time that is used to spread the servers with late
	// downloads, which complete after the scheduled swap.
	lateSpreadFraction = 0.6
)

// Start returns when the server swaps, given the time at which its download completes.
func (w SwapWindow) Start(downloaded time.Time) time.Time {
	first := w.Published.Add(time.Duration(firstSwapFraction * float64(w.Cutoff.Sub(w.Published))))
	last := w.Cutoff.Add(-cutoffMargin - swapDuration)
	if !last.After(first) {
		return downloaded
	}
	scheduled := w.spread(first, last, 1)
	if !downloaded.After(scheduled) {
		return scheduled
	}
	if !last.After(downloaded) {
		return downloaded
	}
	return w.spread(downloaded, last, lateSpreadFraction)
}

// spread returns the start for the server's position when all servers are spread evenly over a fraction of
// the time between from and to.
func (w SwapWindow) spread(from, to time.Time, fraction float64) time.Time {
	return from.Add(time.Duration(fraction * float64(to.Sub(from)) * float64(w.Position) / float64(max(1, w.Servers))))
}
