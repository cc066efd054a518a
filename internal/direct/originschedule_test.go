package direct

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const scheduleVersionBound = 10 * time.Second

// scheduleTarget returns a target with versions 2 and 3, published 2 s apart, the newer one now. All servers run version 1.
func scheduleTarget(now time.Time) *target {
	server := fleet.Server{ID: "a", Address: "10.0.0.1:80", Models: []fleet.LoadedModel{{Name: "m", Version: 1}}}
	return &target{
		model: "m", engine: &fleet.Engine{Chunks: 64, ChunkSize: 1 << 15}, origin: fleet.Service{OriginMbps: 6}, servers: []fleet.Server{server},
		published: fleet.PublishedVersions{
			{Version: 1}, {Version: 2, PublishedAt: now.Add(-2 * time.Second), Observed: true}, {Version: 3, PublishedAt: now, Observed: true},
		},
	}
}

func newTestOriginSchedule() (*originSchedule, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	return &originSchedule{clock: clock, log: zerolog.Nop(), metrics: NewMetrics()}, clock
}

// Guards against agents that start after the older version was published and do not fetch their chunks of it.
func TestAgentThatStartsLateFetchesOlderVersionFirst(t *testing.T) {
	o, clock := newTestOriginSchedule()
	o.setTarget(scheduleTarget(clock.Now()), scheduleVersionBound)
	require.Equal(t, []fleet.WeightsVersion{2}, o.before(3))
	schedule, ok := o.version(3)
	require.True(t, ok)
	require.True(t, schedule.IsDeferred)
	o.setComplete(2)
	schedule, _ = o.version(3)
	require.False(t, schedule.IsDeferred)
	clock.Advance(scheduleVersionBound)
	require.Empty(t, o.before(3), "the origin has sent both versions")
}

// Guards against a schedule that waits for a version that the origin does not serve any more.
func TestVersionThatOriginNoLongerServesIsNotScheduled(t *testing.T) {
	o, clock := newTestOriginSchedule()
	desired := scheduleTarget(clock.Now())
	clock.Advance(2 * time.Second)
	desired.published = append(desired.published, fleet.PublishedVersion{Version: 4, PublishedAt: clock.Now(), Observed: true})
	o.setTarget(desired, scheduleVersionBound)
	_, ok := o.version(2)
	require.False(t, ok)
	require.Equal(t, []fleet.WeightsVersion{3}, o.before(4))
}

func TestOnlyUnansweredFetchesBeginOutage(t *testing.T) {
	lost := errors.New("connection refused")
	cases := []struct {
		name    string
		results []error
		want    bool
	}{
		{"two failures", []error{lost, lost}, true},
		{"one failure", []error{lost}, false},
		{"success between", []error{lost, nil, lost}, false},
		{"wrong bytes", []error{lost, weights.ErrDigestMismatch, lost}, false},
		{"canceled", []error{lost, context.Canceled}, false},
		{"not published", []error{lost, provider.ErrNotPublished}, false},
		{"backoff", []error{lost, &provider.BackoffError{Delay: time.Second}}, false},
		{"returned", []error{lost, lost, nil}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, clock := newTestOriginSchedule()
			o.setTarget(scheduleTarget(clock.Now()), scheduleVersionBound)
			for _, err := range c.results {
				o.recordResult(err)
			}
			schedule, ok := o.version(3)
			require.True(t, ok)
			require.Equal(t, c.want, schedule.OriginUnavailable)
		})
	}
}

// Without a known rate of the origin's link the downloads of several versions are independent.
func TestUnknownRateHasNoSchedule(t *testing.T) {
	o, clock := newTestOriginSchedule()
	desired := scheduleTarget(clock.Now())
	desired.origin.OriginMbps = 0
	o.setTarget(desired, scheduleVersionBound)
	o.recordResult(errors.New("connection refused"))
	o.recordShortage(3, &weights.Shortage{Stalled: true})
	_, ok := o.version(3)
	require.False(t, ok)
	require.Empty(t, o.before(3))
}
