// Package message holds the types of a request and its answer inside a sidecar.
package message

import (
	"net/http"
	"time"

	"cassiarack.example/lib/decision/routing"
)

// MaxBody bounds the body of a request or an answer in bytes, as both are held
// in memory until they are complete.
const MaxBody = 6 << 20

// Request is a complete request of a client.
type Request struct {
	// Attempt is the client's identifier; empty if the client gave none.
	Attempt string
	Method  string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	Route  *routing.Route
	// ConfigVersion is the version of the configuration that gave the route.
	ConfigVersion uint64
	// Service is the destination that the split chose.
	Service string
	// Received is when the first byte was read.
	Received time.Time
	// Deadline is when the client or the route's timeout ends the wait.
	Deadline time.Time
	// Target latency ends at TargetTime.
	TargetTime time.Time
}

// Answer is a complete answer to a client.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// FromFleet tells that the fleet answers, not an instance.
	FromFleet bool
}
