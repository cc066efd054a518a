// Package lab models a deployment in virtual time: callers, entry boxes, links, servers
// that run requests in batches, and faults. The decisions are not modelled: each entry
// box runs the dispatcher of package route that serves in production, and entry boxes
// know of each other late, as they do there. So a policy can be judged in a second, on
// deployments that nobody has yet, and an overload that does not end by itself is seen
// before it happens.
//
// A run depends on nothing but the deployment, the faults and the seed.
//
// # Usage
//
//	result := lab.Run(&deployment, []lab.Fault{{Kind: lab.FaultBurst, At: 10 * time.Second, Factor: 2, Down: 3 * time.Second}}, 1)
//	fmt.Println(result.Worth(), result.Between(20*time.Second, 30*time.Second))
package lab

import "time"

// Deployment is what is modelled: boxes, servers, links and callers.
type Deployment struct {
	Regions []Region
	// Cells is into how many cells the boxes and servers are divided; 0 for as many as such a
	// fleet has in production.
	Cells  int
	Engine Engine
	Kinds  []RequestKind
	// RegionDelay is the time of a message between two regions, BoxDelay within one,
	// CallerDelay between a caller and an entry box; all one way.
	RegionDelay time.Duration
	BoxDelay    time.Duration
	CallerDelay time.Duration
	// ReportInterval is how often an entry box tells the others what it has in flight.
	ReportInterval time.Duration
	// RemoteReportInterval is how often it tells those of other regions, if that is less often.
	RemoteReportInterval time.Duration
	// MaxAttempts is to how many servers one request may be sent.
	MaxAttempts int
	// LoadSteps is how the traffic changes in the course of time.
	LoadSteps []LoadStep
	// Duration is for how long callers ask.
	Duration time.Duration
}

// Region holds entry boxes and servers, and is asked for a part of the traffic.
type Region struct {
	Boxes, Servers int
	// Share is the part of all requests that come from here.
	Share float64
}

// LoadStep sets the traffic, as a part of the kinds' rates, from a moment on.
type LoadStep struct {
	At    time.Duration
	Level float64
}

// Engine is a server that runs requests in batches.
type Engine struct {
	// Slots is how many requests run at once, Queue how many more are let in.
	Slots, Queue int
	// StepTime is the time of one token step, StepTimePerRequest what each request adds that
	// writes.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepsBetweenPrefills is how many token steps are played in a pass.
	StepsBetweenPrefills int
	// PrefillTokensPerSecond is the rate at which prompts are read, PrefillChunkTokens how many tokens
	// are read in a step.
	PrefillTokensPerSecond float64
	PrefillChunkTokens     int
	// EventTokens is how many tokens are told at once.
	EventTokens int
	// FirstTokenDelay is added to the time to the first token.
	FirstTokenDelay time.Duration
}

// RequestKind is a kind of request.
type RequestKind struct {
	Name string
	// PerSecond is the rate of all regions together at level 1.
	PerSecond float64
	// Prompt and Answer are mean numbers of tokens, the spreads the standard deviations
	// of their logarithms.
	Prompt, PromptSpread     float64
	Response, ResponseSpread float64
	Priority                 int
	Objective                time.Duration
	MaxEventGap              time.Duration
	Deadline                 time.Duration
	// CallerTimeout is after how long without an event callers leave.
	CallerTimeout time.Duration
	// Retries is how often a caller comes back.
	Retries int
	// Value is what an answer in time earns, LateValue what a later one does.
	Value, LateValue float64
}

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	// FaultSwap takes servers out of service one after the other, each for Down.
	FaultSwap FaultKind = "swap"
	// FaultServersDown makes a part of the servers crash; they are back after Down.
	FaultServersDown FaultKind = "servers-down"
	// FaultServersSlow makes a part of the servers Factor times as slow for Down.
	FaultServersSlow FaultKind = "servers-slow"
	// FaultBoxesDown kills a part of the entry boxes; they are back after Down.
	FaultBoxesDown FaultKind = "boxes-down"
	// FaultBoxesPartitioned cuts a part of the entry boxes off from all others for Down; callers and
	// servers still reach them.
	FaultBoxesPartitioned FaultKind = "boxes-cut"
	// FaultServersRejecting lets a part of the servers turn all requests away for Down. Each time they ask the box for Rest,
	// or say nothing if that is 0.
	FaultServersRejecting FaultKind = "servers-rest"
	// FaultServersLimited makes a part of the servers advertise a rate limit for Down.
	FaultServersLimited FaultKind = "servers-limited"
	// FaultBurst multiplies the traffic by Factor for Down.
	FaultBurst FaultKind = "burst"
)

// Fault is something that goes wrong.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	// Share is the part of the servers or entry boxes that it strikes.
	Share float64
	// Duration is how long each of them is struck, Over the time over which they are struck
	// one after the other.
	Duration   time.Duration
	Spread     time.Duration
	RetryAfter time.Duration
	// Limit is the rate limit of each affected server, in requests per second.
	Limit  float64
	Factor float64
}
