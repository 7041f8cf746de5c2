package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cassiarack.example/lib/request"
)

// Limits of connections to backend servers.
const (
	backendDialTimeout     = time.Second
	backendIdleTimeout     = 30 * time.Second
	maxResponseHeaderBytes = 1 << 20
)

// backends holds one HTTP transport for each instance.
type backends struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
}

func newBackends() *backends {
	return &backends{transports: make(map[string]*http.Transport)}
}

func (b *backends) transport(instance string, connections int) *http.Transport {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.transports[instance]
	if !ok {
		t = &http.Transport{
			DialContext:            dialTracked(&net.Dialer{Timeout: backendDialTimeout}),
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        backendIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}
		b.transports[instance] = t
	}
	return t
}

func (b *backends) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.transports {
		t.CloseIdleConnections()
	}
}

// newBackendRequest builds the HTTP request to a backend server, such that
// net/http does not retry it after it may have been sent. It returns
// errTraceMethod for a TRACE request.
func newBackendRequest(ctx context.Context, addr netip.AddrPort, h request.Head, body io.Reader) (*http.Request, error) {
	if h.Method == http.MethodTrace {
		// net/http retries a TRACE request by itself. A body would prevent the
		// retry, but TRACE does not allow one.
		return nil, errTraceMethod
	}
	if body == nil && isRetriedByTransport(h.Method) {
		body = emptyBody{}
	}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+addr.String()+h.Target, body)
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	req.Host = h.Host
	req.ContentLength = h.ContentLength
	if _, empty := body.(emptyBody); empty || body == nil {
		req.ContentLength = 0
	}
	for _, f := range h.Fields {
		req.Header[headerName(f.Name)] = append(req.Header[headerName(f.Name)], f.Value)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value stops net/http from adding its own User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	if len(h.TrailerNames) > 0 {
		req.Trailer = make(http.Header)
		for _, n := range h.TrailerNames {
			req.Trailer[http.CanonicalHeaderKey(n)] = nil
		}
	}
	return req, nil
}

// headerName returns the name under which a header field is sent. When a
// connection is lost, net/http retries a request by itself if it finds an
// idempotency key under its canonical name. The key is therefore sent with its
// name in lower case, which is equivalent for the server.
func headerName(name string) string {
	canonical := http.CanonicalHeaderKey(name)
	if canonical == "Idempotency-Key" || canonical == "X-Idempotency-Key" {
		return strings.ToLower(canonical)
	}
	return canonical
}

var errTraceMethod = errors.New("TRACE is not supported")

var errBodyTruncated = errors.New("body of the request was cut")

// bodyReader is an io.ReadCloser over the pieces of a request body. It adds the
// trailer fields of the last piece to trailer.
type bodyReader struct {
	ctx     context.Context
	pieces  *request.Pieces
	unread  []byte
	trailer http.Header
	done    bool
}

// Read implements io.Reader. A truncated body ends with an error, so that it
// never looks complete to the backend server.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.done {
			return 0, io.EOF
		}
		piece, err := r.pieces.Take(r.ctx)
		if err != nil {
			return 0, fmt.Errorf("read body: %w", err)
		}
		if piece.Err != nil {
			return 0, errBodyTruncated
		}
		r.unread, r.done = piece.Data, piece.End
		if piece.End {
			for _, f := range piece.Trailers {
				r.trailer.Add(f.Name, f.Value)
			}
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// Close implements io.Closer. It does nothing.
func (r *bodyReader) Close() error { return nil }

// hopByHopHeaders holds the canonical names of the header fields that apply to a
// single connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
}

// EndToEnd returns the end-to-end fields of a header. It leaves out the
// hop-by-hop fields, including those that the Connection field lists.
func EndToEnd(h http.Header) []request.Field {
	listed := make(map[string]bool)
	for _, line := range h.Values("Connection") {
		for _, n := range strings.Split(line, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	var out []request.Field
	for name, values := range h {
		if hopByHopHeaders[name] || listed[name] {
			continue
		}
		for _, v := range values {
			out = append(out, request.Field{Name: name, Value: v})
		}
	}
	return out
}
