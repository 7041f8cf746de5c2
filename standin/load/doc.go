// Package load sends traffic to a local fleet and checks every answer against
// the executions that the stand-in backend servers counted.
//
// Arrivals are open-loop: each request is due at a planned time, and its latency
// is measured from that time. A slow fleet therefore neither delays the arrivals
// nor hides its latency.
package load
