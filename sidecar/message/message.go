// Package message defines the types of a client's request and its answer inside a
// sidecar.
package message

import (
	"net/http"
	"time"

	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/sidecar/memory"
)

// MaxBody is the maximum size of the body of a request or an answer in bytes. Bodies
// are limited because they are held in memory until they are complete.
const MaxBody = 6 << 20

// Request is a completely received request of a client.
type Request struct {
	// Attempt is the client's identifier of the request, or empty if the client gave
	// none.
	Attempt string
	Method  string
	// Target is the path and the query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AnswerMemory counts the memory of the answer until it is written.
	AnswerMemory *memory.Hold
	Route        *routing.Route
	// Organisation is the organisation whose key the client sent, or nil.
	Organisation *organisation.Organisation
	// HasOrganisations is set if the configuration has organisations.
	HasOrganisations bool
	// ConfigVersion is the version of the configuration that contains the route.
	ConfigVersion uint64
	// Service is the destination chosen by the route's traffic split.
	Service string
	// Received is the time when the first byte was read.
	Received time.Time
	// Deadline is the earlier of the client's deadline and the end of the route's
	// timeout.
	Deadline time.Time
	// TargetTime is Received plus the route's target latency.
	TargetTime time.Time
}

// Answer is a complete answer to a client.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// FromFleet is set if the fleet itself produced the answer, not an instance.
	FromFleet bool
}
