// Package load sends traffic to a local fleet and checks every answer against
// the executions that the stand-in backend servers counted.
//
// Arrivals are open-loop: each request has a time at which it is due, and its
// latency counts from then, so that a slow fleet cannot slow the arrivals down
// and hide its latency.
package load
