package request

import (
	"time"

	"cassiarack.example/lib/ring"
)

// Sizes of the pieces of a body on its way. A body holds at most PieceSize
// times PiecesInFlight bytes of memory in each direction on each node.
const (
	PieceSize      = 32 << 10
	PiecesInFlight = 8
)

// Field is one header or trailer field.
type Field struct {
	Name, Value string
}

// Piece is a part of a body: data, the end of a whole body, or a cut.
type Piece struct {
	// Data is the next part of the body.
	Data []byte
	// End is set on the last piece of a whole body.
	End bool
	// Trailers come with the end.
	Trailers []Field
	// Err is set on the last piece of a body that was cut.
	Err error
}

// Pieces carries a body from the half that receives to the half that sends.
type Pieces = ring.Ring[Piece]

// Head is the request line and headers of a request.
type Head struct {
	Method string
	// Target is the path and query.
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
	// Organisation is the customer, or empty.
	Organisation string
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Body opens the body and returns its pieces; it is nil if there is none.
	// It is called at most once.
	Body func() *Pieces
}

// Answer is the answer of a backend server.
type Answer struct {
	Status        int
	Fields        []Field
	ContentLength int64
	TrailerNames  []string
	// Instance and VM tell where the request ran.
	Instance string
	VM       string
	// Pieces is the body; the last piece has End or Err set.
	Pieces *Pieces
}
