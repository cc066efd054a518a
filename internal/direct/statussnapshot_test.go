package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// statusFixture is a status server whose state a test sets between two snapshots.
type statusFixture struct {
	*StatusServer
	callers route.RejectedCallers
	// evaluations counts the calls of rejectedCallers: one for each snapshot, and one for each message that is determined
	// for a follower of the load, whether it is sent or not.
	evaluations atomic.Int64

	inUse       route.Load
	waiting     route.Demands
	respondedAt time.Time
}

func newStatusFixture() *statusFixture {
	clock, log, metrics := clockwork.NewRealClock(), zerolog.Nop(), NewMetrics()
	own := member.Record{Box: "entry-0", Role: member.RoleEntry, Region: "region-0", Peers: "entry-0:1", Status: member.StatusUp}
	f := &statusFixture{respondedAt: time.Now()}
	f.StatusServer = &StatusServer{
		clock: clock, fleetState: NewFleetState(clock, log, metrics), membership: NewMembership(own, clock, log), tasks: kernel.NewTaskGroup(),
		suspects: newSuspectRequests(clock, log, metrics),
		load:     func() route.Load { return f.inUse }, demands: func() route.Demands { return f.waiting },
		readers: func() []*wire.StoreReader {
			return []*wire.StoreReader{{Box: "entry-0", AgeMilliseconds: uint64(time.Since(f.respondedAt).Milliseconds())}}
		},
		rejectedCallers: func(cursor uint64, to route.RelayDimension) ([]route.RejectedCaller, uint64) {
			f.evaluations.Add(1)
			return f.callers.Since(cursor, to)
		},
		done: make(chan struct{}), limitedSendSignal: make(chan struct{}, 1),
	}
	f.refresh()
	return f
}

// follow starts a stream that ends with the test.
func (f *statusFixture) follow(tb testing.TB, request *wire.FollowRequest) *statusRecorder {
	recorder := &statusRecorder{ctx: tb.Context()}
	go func() { _ = f.Entry(request, recorder) }()
	return recorder
}

// statusRecorder is a stream that records its messages.
type statusRecorder struct {
	drpc.Stream
	ctx context.Context //nolint:containedctx // a stream has a context

	mu       sync.Mutex
	messages []string
}

// Context implements drpc.Stream.
func (r *statusRecorder) Context() context.Context { return r.ctx }

// Send implements wire.DRPCFleet_EntryStream.
func (r *statusRecorder) Send(status *wire.EntryStatus) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, describeStatus(status))
	return nil
}

// take returns the messages since the last call.
func (r *statusRecorder) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	messages := r.messages
	r.messages = nil
	return messages
}

// describeStatus returns a message as a text that does not depend on the order of maps.
func describeStatus(status *wire.EntryStatus) string {
	sorted := proto.CloneOf(status)
	slices.SortFunc(sorted.InFlight, func(a, b *wire.InFlight) int { return strings.Compare(a.Server, b.Server) })
	slices.SortFunc(sorted.Demands, func(a, b *wire.ServiceDemand) int { return strings.Compare(a.Service, b.Service) })
	slices.SortFunc(sorted.RateLimits, func(a, b *wire.RateLimit) int { return strings.Compare(a.Server, b.Server) })
	return sorted.String()
}

// allSnapshotsStream determines the messages to a follower from each snapshot in turn.
type allSnapshotsStream struct {
	server  *StatusServer
	request *wire.FollowRequest
	remote  bool
	cursor  statusCursor
	records memberCursor
}

func (f *statusFixture) newAllSnapshotsStream(request *wire.FollowRequest) *allSnapshotsStream {
	return &allSnapshotsStream{
		server: f.StatusServer, request: request, remote: request.Region != "region-0",
		cursor:  statusCursor{fullStatus: f.fullStatus, openedAt: time.Now()},
		records: memberCursor{membership: f.membership, all: request.Members},
	}
}

// next returns the messages of the latest snapshot: none or one.
func (s *allSnapshotsStream) next() []string {
	snapshot, cursor := s.server.snapshot, &s.cursor
	urgent := cursor.sentAt.IsZero() || snapshot.ages != cursor.summary.ages || snapshot.suspects != cursor.summary.suspects ||
		s.request.Load && snapshot.limitedSends != cursor.summary.limitedSends
	if !urgent && snapshot.takenAt.Sub(cursor.sentAt) < s.server.interval(s.remote)-statusInterval/2 {
		return nil
	}
	if status := s.server.nextMessage(s.request, cursor, &s.records, snapshot, s.remote); status != nil {
		return []string{describeStatus(status)}
	}
	return nil
}

// changeKinds is the number of kinds of changes.
const changeKinds = 14

// change makes a random change of one kind.
func (f *statusFixture) change(kind int, random *rand.Rand) {
	server := fleet.ServerID(fmt.Sprintf("i-%d", random.IntN(3)))
	number := random.IntN(1000)
	switch kind {
	case 0:
		f.inUse = route.Load{server: {Requests: random.IntN(3)}}
	case 1:
		f.waiting = route.Demands{"llm": {Arrivals: random.IntN(5), Late: f.waiting["llm"].Late}}
	case 2:
		f.waiting = route.Demands{"llm": {Arrivals: f.waiting["llm"].Arrivals, Late: random.IntN(2)}}
	case 3:
		f.respondedAt = time.Now()
	case 4:
		f.SetReady(random.IntN(2) == 0)
	case 5:
		record := member.Record{Box: member.BoxID(fmt.Sprintf("entry-%d", 1+number%5)), Role: member.RoleEntry, Peers: "a:1", Incarnation: member.Incarnation(number)}
		if item, err := record.Item(); err == nil {
			f.membership.Merge([]state.Item{item}, "test")
		}
	case 6:
		f.suspects.Observe(route.Evidence{
			Attribute: route.AttributeID{byte(number % 4)}, Exited: route.ServerIncarnation{Server: server, Incarnation: member.Incarnation(number)}, At: time.Now(),
		}, "test")
	case 7:
		f.callers.Record(route.RejectedCaller{Fingerprint: route.Fingerprint(number), FirstRequestAt: time.Now(), TimeoutAt: time.Now().Add(time.Second)}, time.Now())
	case 8:
		f.callers.Merge([]route.RejectedCaller{{Fingerprint: route.Fingerprint(number), FirstRequestAt: time.Now(), TimeoutAt: time.Now().Add(time.Second)}}, 2, time.Now())
	case 9:
		f.fleetState.Apply([]fleet.Fact{{Key: fleet.DesiredKey("model"), Revision: fleet.Revision(number), Desired: &fleet.DesiredVersion{
			Model: "model", Version: fleet.WeightsVersion(number),
		}}}, "test")
	case 10:
		f.fleetState.MergeDepartures([]fleet.Departure{{Server: server, Incarnation: member.Incarnation(number)}}, "test")
	case 11:
		f.fleetState.MergeRateLimits([]*wire.RateLimit{{Server: string(server), Limited: true, PerSecond: float64(number)}}, "test")
	case 12:
		f.noteLimitedSend()
	case 13:
		own := f.membership.Own()
		own.Sequence++
		if item, err := own.Item(); err == nil {
			f.membership.Merge([]state.Item{item}, "test")
		}
	}
}

// Guards against messages that are sent late, changed or not at all because a stream is not woken.
func TestStatusStreamsSendWhatEachSnapshotRequires(t *testing.T) {
	for seed := range uint64(4 * changeKinds) {
		synctest.Test(t, func(t *testing.T) {
			random, f := rand.New(rand.NewPCG(seed, 1)), newStatusFixture()
			// Few kinds of changes at a time, because a message that one of them requires contains the others.
			kinds := []int{int(seed) % changeKinds, random.IntN(changeKinds)}
			f.remoteFollowers.Store(int64(random.IntN(60)))
			var recorders []*statusRecorder
			var references []*allSnapshotsStream
			for i := range 24 {
				request := &wire.FollowRequest{Box: fmt.Sprintf("entry-%d", i), Region: fmt.Sprintf("region-%d", i%2), Load: i%3 == 0, Members: i%4 < 2}
				if i%3 == 1 {
					request.Relay = uint32(1 + i%2)
				}
				recorders, references = append(recorders, f.follow(t, request)), append(references, f.newAllSnapshotsStream(request))
			}
			for step := range 250 {
				synctest.Wait()
				for i, reference := range references {
					require.Equal(t, reference.next(), recorders[i].take(), "seed %d, step %d, %v", seed, step, reference.request)
				}
				wait := statusInterval
				if random.IntN(8) == 0 {
					wait = urgentBatchDelay
				}
				time.Sleep(wait)
				for random.IntN(3) == 0 {
					f.change(kinds[random.IntN(len(kinds))], random)
				}
				f.refresh()
			}
		})
	}
}

// Guards against streams that are woken at each snapshot.
func TestUnchangedStatusIsDeterminedOnlyForHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers, snapshots = 30, 200
		f := newStatusFixture()
		f.waiting = route.Demands{"llm": {Arrivals: 1}}
		f.refresh()
		var recorders []*statusRecorder
		for i := range followers {
			recorders = append(recorders, f.follow(t, &wire.FollowRequest{Box: fmt.Sprintf("entry-%d", i), Region: "region-0", Load: true}))
		}
		synctest.Wait()
		f.evaluations.Store(0)
		for range snapshots {
			time.Sleep(statusInterval)
			// Arrivals are not urgent.
			f.respondedAt, f.waiting = time.Now(), route.Demands{"llm": {Arrivals: f.waiting["llm"].Arrivals + 1}}
			f.refresh()
			synctest.Wait()
		}
		const heartbeats = snapshots * statusInterval / statusHeartbeat
		require.EqualValues(t, followers*heartbeats+snapshots, f.evaluations.Load())
		for _, recorder := range recorders {
			require.Len(t, recorder.take(), int(1+heartbeats))
		}
	})
}
