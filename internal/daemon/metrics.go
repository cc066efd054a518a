package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/cinderslip/cinderslip/internal/metric"
)

// Metrics holds the metrics of one process. Each process has its own registry.
type Metrics struct {
	registry *prometheus.Registry

	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	ttfbSeconds    *prometheus.HistogramVec
	retries        *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	heartbeats     prometheus.Counter
	markedSilent   prometheus.Counter
	keyValueCalls  *prometheus.CounterVec
	keyValueErrors prometheus.Counter
	isPlanner      prometheus.Gauge
	planSeconds    prometheus.Histogram
	chunkBytes     *prometheus.CounterVec
	chunkFaults    *prometheus.CounterVec
	servedBytes    prometheus.Counter
	loadSeconds    prometheus.Histogram
	proxyRequests  *prometheus.CounterVec
}

// requestBuckets are histogram bounds in seconds, from a fast lookup to a long response.
var requestBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120}

// NewMetrics returns metrics with a registry that also contains the metrics of the
// operating system process and the Go runtime.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		requests:       metric.CounterVec("requests_total", "Requests by final outcome.", "service", "group", "outcome"),
		requestSeconds: metric.HistogramVec("request_seconds", "Time from arrival to the end of the answer.", requestBuckets, "service"),
		ttfbSeconds:    metric.HistogramVec("request_first_byte_seconds", "Time from arrival to the first byte of the answer.", requestBuckets, "service"),
		retries:        metric.CounterVec("request_retries_total", "Further tries of requests, by reason.", "reason"),
		refusals:       metric.CounterVec("request_refusals_total", "Requests refused as not run, by reason.", "reason"),
		heartbeats:     metric.Counter("heartbeats_received_total", "Heartbeats received."),
		markedSilent:   metric.Counter("boxes_marked_silent_total", "Boxes that this process marked silent."),
		keyValueCalls:  metric.CounterVec("key_value_calls_total", "Calls of the key-value service, by purpose.", "purpose"),
		keyValueErrors: metric.Counter("key_value_errors_total", "Reads of the key-value service that failed."),
		isPlanner:      metric.Gauge("planner", "1 while this process holds the planner's lease."),
		planSeconds:    prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metric.Namespace, Name: "plan_seconds", Help: "Time to compute a plan.", Buckets: requestBuckets}),
		chunkBytes:     metric.CounterVec("chunk_received_bytes_total", "Bytes of verified chunks received, by where from.", "from"),
		chunkFaults:    metric.CounterVec("chunk_faults_total", "Fetches of chunks that failed, by where from and fault.", "from", "fault"),
		servedBytes:    metric.Counter("chunk_served_bytes_total", "Bytes of chunks served to other agents."),
		loadSeconds:    prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metric.Namespace, Name: "copy_seconds", Help: "Time from an assignment to live.", Buckets: requestBuckets}),
		proxyRequests:  metric.CounterVec("gate_requests_total", "Requests that reached this agent, by what became of them.", "result"),
	}
	m.registry.MustRegister(
		m.requests, m.requestSeconds, m.ttfbSeconds, m.retries, m.refusals, m.heartbeats, m.markedSilent,
		m.keyValueCalls, m.keyValueErrors, m.isPlanner, m.planSeconds,
		m.chunkBytes, m.chunkFaults, m.servedBytes, m.loadSeconds, m.proxyRequests,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}
