// Package lab simulates a deployment in virtual time: callers, entry boxes, links, servers that run requests in
// batches, and faults. The routing decisions are not simulated: each entry box runs the dispatcher of package route
// that runs in production, and receives the reports of the other boxes with a delay, as in production. A change of
// routing can therefore be evaluated within seconds on deployments of any size, and tests can detect an overload that
// persists after its cause has ended.
//
// The result depends only on the deployment, the faults and the seed.
//
// # Usage
//
//	faults := []lab.Fault{{Kind: lab.FaultBurst, At: 10 * time.Second, Factor: 2, Duration: 3 * time.Second}}
//	result := lab.Run(&deployment, faults, 1)
//	fmt.Println(result.Score(), result.Between(20*time.Second, 30*time.Second))
package lab

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// Deployment describes the simulated boxes, servers, links and callers.
type Deployment struct {
	Regions []Region
	// Cells is the number of cells of the boxes and servers; 0 for the number that member.CellCount returns, which is
	// used in production.
	Cells  int
	Engine Engine
	Kinds  []RequestKind
	// RegionDelay is the one-way delay of a message between two regions, BoxDelay within a region, and CallerDelay
	// between a caller and an entry box.
	RegionDelay time.Duration
	BoxDelay    time.Duration
	CallerDelay time.Duration
	// ReportInterval is the interval at which an entry box reports its requests in flight to the others, if they have
	// changed.
	ReportInterval time.Duration
	// RemoteReportInterval is the minimum interval of periodic reports to other regions; it has no effect below
	// ReportInterval.
	RemoteReportInterval time.Duration
	// MaxAttempts is the maximum number of servers that one request is sent to.
	MaxAttempts int
	// Retries limits the retries of all entry boxes together; no limit if its window is 0.
	Retries route.RetryLimits
	// LoadSteps are the changes of the traffic over time, sorted by time. Before the first, the level is 1.
	LoadSteps []LoadStep
	// Organisations are the relative arrival rates of the organisations that callers belong to; empty if callers belong
	// to none.
	Organisations []float64
	// Duration is how long new callers arrive.
	Duration time.Duration
}

// hasSeveralPriorities reports whether the request kinds have different priorities.
func (d *Deployment) hasSeveralPriorities() bool {
	return slices.ContainsFunc(d.Kinds, func(kind RequestKind) bool { return kind.Priority != d.Kinds[0].Priority })
}

// Region is a region with its numbers of entry boxes and servers.
type Region struct {
	Boxes, Servers int
	// Share is the fraction of all callers that are in the region.
	Share float64
}

// LoadStep sets the traffic from a time on, as a multiple of each kind's PerSecond.
type LoadStep struct {
	At    time.Duration
	Level float64
}

// Engine describes a server that runs requests in batches.
type Engine struct {
	// Slots is how many requests run concurrently, Queue how many more the server accepts and queues.
	Slots, Queue int
	// StepTime is the duration of one token step. Each request in the decode phase adds StepTimePerRequest to it.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepsBetweenPrefills is the number of token steps in a pass.
	StepsBetweenPrefills int
	// PrefillTokensPerSecond is the prefill rate, PrefillChunkTokens the maximum number of prompt tokens processed per
	// token step.
	PrefillTokensPerSecond float64
	PrefillChunkTokens     int
	// EventTokens is the number of tokens in one event of a response.
	EventTokens int
	// FirstTokenDelay is an additional delay of the first token.
	FirstTokenDelay time.Duration
}

// RequestKind describes one kind of request.
type RequestKind struct {
	Name string
	// PerSecond is the arrival rate in all regions together at level 1.
	PerSecond float64
	// Prompt and Response are the mean numbers of tokens. PromptSpread and ResponseSpread are the standard deviations
	// of their natural logarithms.
	Prompt, PromptSpread     float64
	Response, ResponseSpread float64
	Priority                 int
	// Objective is the time to first byte, counted from the first attempt, within which a response is in time.
	Objective time.Duration
	// MaxEventGap is the largest gap between two events with which a response is still in time.
	MaxEventGap time.Duration
	// Deadline is when a caller disconnects, counted from its first attempt.
	Deadline time.Duration
	// CallerTimeout is the time without an event after which a caller disconnects.
	CallerTimeout time.Duration
	// Retries is the maximum number of retries of a caller.
	Retries int
	// Value is the value of a response in time, LateValue that of a late one, for a prompt of mean length.
	Value, LateValue float64
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultSwap makes each affected server swap its weights, which takes it out of service for Duration.
	FaultSwap FaultKind = "swap"
	// FaultServersDown makes servers crash; they restart after Duration.
	FaultServersDown FaultKind = "servers-down"
	// FaultServersSlow makes servers slower by Factor for Duration.
	FaultServersSlow FaultKind = "servers-slow"
	// FaultServersSilent makes servers process and send nothing for Duration. They go on afterwards with the same
	// requests.
	FaultServersSilent FaultKind = "servers-silent"
	// FaultBoxesDown kills entry boxes; they restart after Duration.
	FaultBoxesDown FaultKind = "boxes-down"
	// FaultBoxesPartitioned disconnects entry boxes from all others for Duration. Their connections to callers and
	// servers stay up.
	FaultBoxesPartitioned FaultKind = "boxes-cut"
	// FaultServersRejecting makes servers reject all requests for Duration. Each rejection requests a backoff of
	// RetryAfter, or none if that is 0.
	FaultServersRejecting FaultKind = "servers-rest"
	// FaultServersFailing makes servers fail a part of their requests, given by Factor, for Duration.
	FaultServersFailing FaultKind = "servers-failing"
	// FaultServersLimited makes servers advertise a rate limit for Duration.
	FaultServersLimited FaultKind = "servers-limited"
	// FaultServersCold makes servers cold for Duration, with a cold rate of Limit. Each box receives notice of it after
	// up to coldNoticeDelay.
	FaultServersCold FaultKind = "servers-cold"
	// FaultPartCrashes gives Share of the requests that arrive within Duration a part of their prompts that crashes each
	// server which generates the first token of a response to it. No two of these requests have the same content. They
	// count for no outcome.
	FaultPartCrashes FaultKind = "part-crashes"
	// FaultBurst multiplies the traffic by Factor for Duration: that of the request kind RequestKind, or of all if it is
	// empty.
	FaultBurst FaultKind = "burst"
)

// Fault is a fault injected into a simulation.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	// Share is the fraction of the servers, entry boxes or requests that are affected, chosen at random.
	Share float64
	// Duration is how long the fault lasts at each affected server or box.
	Duration time.Duration
	// Spread is the period after At over which the starts of the fault are evenly distributed.
	Spread time.Duration
	// RetryAfter is the backoff that rejecting servers request.
	RetryAfter time.Duration
	// Limit is the rate limit or the cold rate of each affected server, in requests per second.
	Limit float64
	// RequestKind is the name of the request kind that a burst is limited to.
	RequestKind string
	// Factor multiplies the traffic of a burst or the time that slow servers take. It is the part of the requests that
	// failing servers fail.
	Factor float64
}
