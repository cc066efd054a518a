package direct

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

const (
	// followRetry is the wait before a box that could not be followed is tried
	// again. After a loss of power everything waits for it; an attempt costs little, as a
	// port that nothing listens on is told at once.
	followRetry = 50 * time.Millisecond
	// forgetAfter is after how long without contact an entry box is forgotten
	// that the settings do not name.
	forgetAfter = 20 * time.Second
	// leastReaders is how many entry boxes read the store at least, and one does in
	// each region; the others hear from them.
	leastReaders = 2
	// storeAway is after how long without an answer of the store a reader no
	// longer counts: it is longer than one watch, and a call in place of one that is overdue.
	storeAway = watchWait + overdueAfter + probeShortest + statusHeartbeat
)

// EntryBoxes follows the other entry boxes.
type EntryBoxes struct {
	self   wire.EntryStatus
	status *Status
	facts  *Facts
	peers  *daemon.Peers
	clock  clockwork.Clock
	log    zerolog.Logger
	duties *kernel.Duties
	seeds  []string
	// told is called with what another box has in flight and is asked for; see Front.
	told func(box member.BoxID, load route.Load, demands route.Demands, whole bool, now time.Time)

	// pull reads what another entry box has come to know since the last time.
	pull func(ctx context.Context, from member.Address) error

	mu    sync.Mutex
	boxes map[string]EntryBox
	// pulled is how far the facts of each box were read.
	pulled map[member.Address]state.Cursor
}

// startPeers follows the other entry boxes.
func (p *Process) startPeers() error {
	e := &EntryBoxes{
		status: p.status, facts: p.facts, peers: p.peers, clock: p.options.Clock, log: p.options.Log,
		duties: kernel.NewDuties(), seeds: p.settings.Peers.Entries, boxes: make(map[string]EntryBox), pulled: make(map[member.Address]state.Cursor),
		told: p.front.PeerTold,
	}
	e.self.Box, e.self.Region, e.self.Peers = p.settings.Box, p.settings.Region, p.settings.Listen.Peers
	e.pull = e.readFacts
	p.front.entries.Store(e)
	e.duties.Go(e.followAll)
	e.duties.Go(e.repair)
	p.facts.ReadStore(p.options.Platform.Facts, e.isReader, e.probePause)
	return p.kernel.Register(e)
}

// String returns the service's name.
func (e *EntryBoxes) String() string { return "entry-boxes" }

// Stop ends following.
func (e *EntryBoxes) Stop(ctx context.Context) error { return e.duties.Stop(ctx) }

// followAll starts a duty for each entry box that becomes known.
func (e *EntryBoxes) followAll(ctx context.Context) {
	following := make(map[string]bool)
	ended := make(chan string)
	for {
		known, added := e.status.Entries()
		for _, entry := range known {
			if following[entry] {
				continue
			}
			following[entry] = true
			e.duties.Go(func(ctx context.Context) {
				e.follow(ctx, entry)
				select {
				case ended <- entry:
				case <-ctx.Done():
				}
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-added:
		case entry := <-ended:
			delete(following, entry)
		}
	}
}

// follow keeps one entry box's status until it has been away for long.
func (e *EntryBoxes) follow(ctx context.Context, entry string) {
	heard := e.clock.Now()
	connected := false
	for ctx.Err() == nil {
		err := followStream(ctx, e.clock, func(ctx context.Context) (func() error, error) {
			conn, err := e.peers.Dial(ctx, member.Address(entry))
			if err != nil {
				return nil, err
			}
			stream, err := wire.NewDRPCFleetClient(conn).
				Entry(ctx, &wire.FollowRequest{Box: e.self.Box, Peers: e.self.Peers, Region: e.self.Region})
			if err != nil {
				return nil, err
			}
			return func() error {
				status, err := stream.Recv()
				if err != nil {
					return err
				}
				heard = e.clock.Now()
				if !connected {
					connected = true
					e.log.Info().Str("dependency", "entry").Str("box", status.Box).Str("address", entry).Msg("dependency regained")
				}
				e.take(entry, status)
				return nil
			}, nil
		})
		if connected && ctx.Err() == nil {
			connected = false
			e.log.Warn().Str("dependency", "entry").Str("address", entry).Err(err).Msg("dependency lost")
			e.drop(entry)
		}
		if e.clock.Since(heard) > forgetAfter && !slices.Contains(e.seeds, entry) {
			e.status.RemoveEntry(entry)
			return
		}
		sleep(ctx, e.clock, followRetry)
	}
}

// followStream opens a stream and receives until it fails or falls silent. Each stream has a
// connection of its own: after one that fell silent, others that are kept may be silent too.
func followStream(ctx context.Context, clock clockwork.Clock, open func(ctx context.Context) (func() error, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := clock.AfterFunc(statusSilence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	receive, err := open(ctx)
	for err == nil {
		if err = receive(); err == nil {
			watchdog.Reset(statusSilence)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// errSilent reports a peer that said nothing for statusSilence.
var errSilent = errors.New("peer is silent")

// take takes a message of another box. What comes before its first whole one is of no
// use.
func (e *EntryBoxes) take(entry string, status *wire.EntryStatus) {
	now := e.clock.Now()
	box, before, ok := e.update(entry, status, now)
	if !ok {
		return
	}
	if before.Ready != box.Ready || before.Box == "" {
		e.log.Info().Str("box", string(box.Box)).Bool("ready", box.Ready).Bool("leaving", status.Leaving).Msg("entry box heard")
	}
	e.told(box.Box, loadOf(status.InFlight), demandsOf(status.Demands), !status.Partial, now)
	if !status.Partial {
		e.status.AddEntries(status.Entries)
		e.facts.LearnAges(agesFromWire(status.Ages), status.Box)
	}
}

// update keeps what a message tells of a box itself; ok is false if that is not known
// whole yet.
func (e *EntryBoxes) update(entry string, status *wire.EntryStatus, now time.Time) (box, before EntryBox, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, known := e.boxes[entry]
	switch {
	case !status.Partial:
		box = entryBoxOf(status, now)
	case known:
		box = before.updated(status, now)
	default:
		return EntryBox{}, EntryBox{}, false
	}
	e.boxes[entry] = box
	return box, before, true
}

func (e *EntryBoxes) drop(entry string) {
	e.mu.Lock()
	box, known := e.boxes[entry]
	delete(e.boxes, entry)
	e.mu.Unlock()
	if known {
		e.told(box.Box, nil, nil, true, e.clock.Now())
	}
}

// Boxes returns the entry boxes that were heard lately, without this one.
func (e *EntryBoxes) Boxes() []EntryBox {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	boxes := make([]EntryBox, 0, len(e.boxes))
	for _, box := range e.boxes {
		if now.Sub(box.Heard) < statusSilence {
			boxes = append(boxes, box)
		}
	}
	slices.SortFunc(boxes, func(a, b EntryBox) int { return strings.Compare(string(a.Box), string(b.Box)) })
	return boxes
}

// isReader reports whether this box reads the store: it does unless enough boxes
// go before it, in its region or, where it is the only one there, anywhere, and
// hear from the store.
func (e *EntryBoxes) isReader() bool {
	self := member.BoxID(e.self.Box)
	candidates := []member.BoxID{self}
	elsewhere := make(map[member.Region]bool)
	for _, box := range e.Boxes() {
		switch {
		case box.StoreAge < 0 || box.StoreAge >= storeAway:
		case string(box.Region) == e.self.Region:
			candidates = append(candidates, box.Box)
		default:
			elsewhere[box.Region] = true
		}
	}
	readers := max(1, leastReaders-len(elsewhere))
	return slices.Contains(member.Rank("reader/"+e.self.Region, candidates, readers), self)
}

// probePause is the time between two calls of the store while it is away.
func (e *EntryBoxes) probePause() time.Duration { return probePauseOf(1 + len(e.Boxes())) }
