package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the counts of one process. Each process has a registry of its own.
type Metrics struct {
	registry *prometheus.Registry

	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	firstByte      *prometheus.HistogramVec
	retries        *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	heartbeats     prometheus.Counter
	silent         prometheus.Counter
	keyValueCalls  *prometheus.CounterVec
	keyValueErrors prometheus.Counter
	planner        prometheus.Gauge
	planSeconds    prometheus.Histogram
	chunkBytes     *prometheus.CounterVec
	chunkFaults    *prometheus.CounterVec
	servedBytes    prometheus.Counter
	copySeconds    prometheus.Histogram
	gateRequests   *prometheus.CounterVec
}

// requestBuckets reach from a fast lookup to a long answer, in seconds.
var requestBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120}

// NewMetrics returns metrics with a registry that also holds those of the
// process and the Go runtime.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		requests:       counters("requests_total", "Requests by final outcome.", "service", "group", "outcome"),
		requestSeconds: histograms("request_seconds", "Time from arrival to the end of the answer.", "service"),
		firstByte:      histograms("request_first_byte_seconds", "Time from arrival to the first byte of the answer.", "service"),
		retries:        counters("request_retries_total", "Further tries of requests, by reason.", "reason"),
		refusals:       counters("request_refusals_total", "Requests refused as not run, by reason.", "reason"),
		heartbeats:     counter("heartbeats_received_total", "Heartbeats received."),
		silent:         counter("boxes_marked_silent_total", "Boxes that this process marked silent."),
		keyValueCalls:  counters("key_value_calls_total", "Calls of the key-value service, by purpose.", "purpose"),
		keyValueErrors: counter("key_value_errors_total", "Reads of the key-value service that failed."),
		planner:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "planner", Help: "1 while this process holds the planner's lease."}),
		planSeconds:    prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "plan_seconds", Help: "Time to compute a plan.", Buckets: requestBuckets}),
		chunkBytes:     counters("chunk_received_bytes_total", "Bytes of verified chunks received, by where from.", "from"),
		chunkFaults:    counters("chunk_faults_total", "Fetches of chunks that failed, by where from and fault.", "from", "fault"),
		servedBytes:    counter("chunk_served_bytes_total", "Bytes of chunks served to other agents."),
		copySeconds:    prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "copy_seconds", Help: "Time from an assignment to live.", Buckets: requestBuckets}),
		gateRequests:   counters("gate_requests_total", "Requests that reached this agent, by what became of them.", "result"),
	}
	m.registry.MustRegister(
		m.requests, m.requestSeconds, m.firstByte, m.retries, m.refusals, m.heartbeats, m.silent,
		m.keyValueCalls, m.keyValueErrors, m.planner, m.planSeconds,
		m.chunkBytes, m.chunkFaults, m.servedBytes, m.copySeconds, m.gateRequests,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

const namespace = "cinderslip"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: requestBuckets,
	}, labels)
}
