package request

import (
	"time"

	"cassiarack.example/lib/ring"
)

// A body is sent in pieces of at most PieceSize bytes, of which PiecesInFlight
// are buffered. A body thus takes at most PieceSize times PiecesInFlight bytes of
// memory in each direction on each node.
const (
	PieceSize      = 32 << 10
	PiecesInFlight = 8
)

// Field is one header or trailer field.
type Field struct {
	Name, Value string
}

// Piece is a part of a body: data, the end of a complete body, or the error that
// truncated the body.
type Piece struct {
	// Data is the next part of the body.
	Data []byte
	// End is set on the last piece of a complete body.
	End bool
	// Trailers are the trailer fields. They are present only with End.
	Trailers []Field
	// Err is set on the last piece of a truncated body.
	Err error
}

// Pieces carries a body from the goroutine that receives it to the one that sends it.
type Pieces = ring.Ring[Piece]

// Head is the request line and headers of a request.
type Head struct {
	Method string
	// Target is the path and query as in the request line.
	Target string
	Host   string
	Fields []Field
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64
	// TrailerNames are the trailers that the request announces.
	TrailerNames []string
}

// Request is a request of a caller.
type Request struct {
	Head
	// Path is the path of the target, without the query.
	Path string
	// Organisation is the name of the customer, or empty.
	Organisation string
	// IdempotencyKey is the value of the Idempotency-Key header, or empty.
	IdempotencyKey string
	// Deadline is the time at which the caller stops waiting for an answer.
	Deadline time.Time
	// Body starts reading the body and returns its pieces. It is nil if there is
	// no body, and is called at most once.
	Body func() *Pieces
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Fields []Field
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64
	// TrailerNames are the trailers that the answer announces.
	TrailerNames []string
	// Instance and VM are the names of the backend server that ran the request and
	// of its machine.
	Instance string
	VM       string
	// Pieces carries the body. The last piece has End or Err set.
	Pieces *Pieces
}
