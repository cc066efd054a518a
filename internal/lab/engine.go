package lab

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/virtual"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// job is one request at a server.
type job struct {
	prompt, answer int
	// unread and unwritten are the tokens that are left.
	unread, unwritten int
	untold            int
	// event is called at each event, ended once: with whole set after the last token.
	event func()
	ended func(whole bool)
	gone  bool
}

// engine is a model server.
type engine struct {
	Engine

	id     fleet.ServerID
	region int
	// boxes are the entry boxes of its cell.
	boxes   []*box
	line    *virtual.Timeline
	running []*job
	queue   []*job
	// up is false while it is down, open while it takes new requests.
	up, open bool
	// turnsAway is set while it takes nothing and asks for rest, if that is not 0.
	turnsAway bool
	rest      time.Duration
	// limited is set while the server has a rate limit.
	limited *limitRecord
	// resting are the rests that boxes have been asked for.
	resting map[*box]restAsked
	slow    float64
	passing bool
	// life changes when the server goes down, so that planned passes lapse.
	life int
}

// restAsked is a rest that a server has asked a box for: it wants nothing from the box between two moments.
type restAsked struct{ from, until time.Time }

// restGrace is how long after a server has asked for rest what is on its way may still come.
const restGrace = 500 * time.Millisecond

// turnAway asks a box for rest.
func (e *engine) turnAway(b *box) {
	if e.rest == 0 {
		return
	}
	if e.resting == nil {
		e.resting = make(map[*box]restAsked)
	}
	now := e.line.Now()
	e.resting[b] = restAsked{from: now.Add(restGrace), until: now.Add(e.rest)}
}

// noteRest counts a request that comes within a rest that its box was asked for.
func (e *engine) noteRest(b *box, result *Result) {
	asked, ok := e.resting[b]
	if now := e.line.Now(); ok && now.After(asked.from) && now.Before(asked.until) {
		result.WithinRest++
	}
}

// submit takes a request; false if there is no room or the server is closed.
func (e *engine) submit(j *job) bool {
	if !e.up || !e.open || len(e.running)+len(e.queue) >= e.Slots+e.Queue {
		return false
	}
	j.unread, j.unwritten, j.untold = j.prompt, j.answer, 0
	e.queue = append(e.queue, j)
	e.wake()
	return true
}

// cancel drops a request whose caller has left.
func (e *engine) cancel(j *job) { j.gone = true }

func (e *engine) wake() {
	if e.passing || !e.up {
		return
	}
	e.passing = true
	e.pass()
}

// pass plays one pass over all that is there: a piece of the prompts that are unread
// and a stride of token steps for those that write.
func (e *engine) pass() {
	e.admit()
	if len(e.running) == 0 {
		e.passing = false
		return
	}
	writers, read := e.plan()
	taken := time.Duration(float64(read) / e.ReadPerSecond * float64(time.Second))
	if writers > 0 {
		taken += time.Duration(e.Stride) * (e.Step + time.Duration(writers)*e.StepPerRequest)
	}
	life := e.life
	e.line.AfterFunc(time.Duration(float64(taken)*e.slow), func() {
		if life == e.life {
			e.passed()
			e.pass()
		}
	})
}

// admit lets waiting requests into the batch.
func (e *engine) admit() {
	keep := e.running[:0]
	for _, j := range e.running {
		if !j.gone {
			keep = append(keep, j)
		}
	}
	e.running = keep
	for len(e.queue) > 0 && len(e.running) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.gone {
			e.running = append(e.running, j)
		}
	}
}

// plan reads a piece of the prompts, the earliest first, and returns how many requests
// write and how many tokens are read in the pass.
func (e *engine) plan() (writers, read int) {
	for _, j := range e.running {
		if j.unread == 0 {
			writers++
			continue
		}
		piece := min(j.unread, e.ReadAtOnce*e.Stride-read)
		j.unread -= piece
		read += piece
		if j.unread == 0 {
			// The first token comes at the end of this pass.
			j.untold = -1
		}
	}
	return writers, read
}

// passed tells what the pass has made.
func (e *engine) passed() {
	ended := e.running[:0]
	var whole []*job
	for _, j := range e.running {
		if j.gone {
			continue
		}
		if e.write(j); j.unwritten > 0 {
			ended = append(ended, j)
			continue
		}
		whole = append(whole, j)
	}
	e.running = ended
	for _, j := range whole {
		j.event()
		j.ended(true)
	}
}

// write plays the stride of one request.
func (e *engine) write(j *job) {
	switch {
	case j.untold < 0:
		j.unwritten--
		j.untold = 0
		e.line.AfterFunc(e.First, func() { j.tell() })
	case j.unread == 0:
		tokens := min(e.Stride, j.unwritten)
		j.unwritten -= tokens
		if j.untold += tokens; j.untold >= e.EventTokens && j.unwritten > 0 {
			j.untold = 0
			j.event()
		}
	}
}

func (j *job) tell() {
	if !j.gone {
		j.event()
	}
}

// stop ends all that runs and waits here.
func (e *engine) stop() {
	e.life++
	e.passing = false
	cut := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	for _, j := range cut {
		if !j.gone {
			j.gone = true
			j.ended(false)
		}
	}
}
