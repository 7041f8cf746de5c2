package mesh

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/golden"
)

// spanCollector receives spans in OTLP over HTTP and keeps them by identifier.
type spanCollector struct {
	mu    sync.Mutex
	spans map[string]*trace.Span
}

// ServeHTTP implements http.Handler.
func (c *spanCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var m collector.ExportTraceServiceRequest
	if err == nil {
		err = proto.Unmarshal(text, &m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range m.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			for _, s := range scope.GetSpans() {
				c.spans[hex.EncodeToString(s.GetSpanId())] = s
			}
		}
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
}

// path returns the names of a span and its known ancestors, the outermost first, and
// the identifier of the outermost span's parent.
func (c *spanCollector) path(id string) (names, parent string) {
	for s, ok := c.spans[id]; ok; s, ok = c.spans[id] {
		names = strings.TrimSuffix(s.GetName()+" > "+names, " > ")
		id = hex.EncodeToString(s.GetParentSpanId())
	}
	return names, id
}

// TestSpans guards against a hop without a span, and against spans of one request
// that do not refer to their parents in other processes.
func TestSpans(t *testing.T) {
	is := is.New(t)
	c := &spanCollector{spans: make(map[string]*trace.Span)}
	server := httptest.NewServer(c)
	defer server.Close()
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 2, "beta": 1}, Network: 66,
		TraceEndpoint: server.URL}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	const callersTrace, callersSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
		fmt.Sprintf("http://%v/read/x", m.address(m.VMs[0].Index, portCallers)), nil)
	is.NoErr(err)
	req.Host = "mesh.example"
	req.Header.Set("X-Cassiarack-Attempt-Id", "traced")
	req.Header.Set("Traceparent", "00-"+callersTrace+"-"+callersSpan+"-01")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	// Spans are sent in batches, at the latest after 5 s.
	var names, parent string
	for end := time.Now().Add(15 * time.Second); parent != callersSpan && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		for id, s := range c.spans {
			if s.GetName() == "run" && hex.EncodeToString(s.GetTraceId()) == callersTrace {
				names, parent = c.path(id)
			}
		}
		c.mu.Unlock()
	}
	is.Equal(parent, callersSpan)
	golden.Check(t, "spans", names+"\n")
	runs := m.Runs.executions("traced")
	is.Equal(len(runs), 1)
	is.True(strings.HasPrefix(runs[0].traceParent, "00-"+callersTrace)) // the instance can continue the trace
	is.True(!strings.Contains(runs[0].traceParent, callersSpan))
}
