// Package metric creates the Prometheus metrics of all processes in one namespace.
//
// # Usage
//
//	requests := metric.CounterVec("requests_total", "Requests by outcome.", "outcome")
//	registry.MustRegister(requests)
package metric

import "github.com/prometheus/client_golang/prometheus"

// Namespace is the prefix of every metric name.
const Namespace = "cinderslip"

// Counter returns a counter.
func Counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help})
}

// CounterVec returns a counter with labels.
func CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

// HistogramVec returns a histogram with labels. The values in buckets are upper bounds.
func HistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: name, Help: help, Buckets: buckets,
	}, labels)
}

// Gauge returns a gauge.
func Gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help})
}

// GaugeVec returns a gauge with labels.
func GaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}
