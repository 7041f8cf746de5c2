package mesh

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Mode is a way in which a store or an instance behaves. Its text is used in logs.
type Mode string

// Modes of a store. Healthy is also the mode of an instance without a fault.
const (
	Healthy         Mode = "sound"
	Unavailable     Mode = "busy"   // answers 503
	TooManyRequests Mode = "many"   // answers 429
	Reset           Mode = "reset"  // closes connections without an answer
	Silent          Mode = "silent" // does not answer
	Slow            Mode = "slow"   // answers after slowDelay
)

// slowDelay is the delay of a slow store. It is longer than sidecars wait for an
// answer.
const slowDelay = 1500 * time.Millisecond

const (
	// pageSize is the largest number of items in a page. It is small, so that ranges
	// have several pages.
	pageSize = 5
	// pageBytes is the size of the values after which a page ends.
	pageBytes = 1 << 20
)

// Store is a stand-in for the platform's store.
type Store struct {
	mu       sync.Mutex
	mode     Mode
	revision uint64
	items    map[string]storeItem
	calls    int
}

// storeItem is a key with its value, as the store returns it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_rev"`
	Lease    int    `json:"lease"`

	// encoded is the item in JSON. It is kept, as encoding a page of large values
	// takes longer than sidecars wait when the race detector is on.
	encoded []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{mode: Healthy, items: make(map[string]storeItem)}
}

// SetMode sets the mode for calls that arrive afterwards.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Put writes the value of a key and raises the store's revision.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	var err error
	if it.encoded, err = json.Marshal(it); err != nil {
		panic(err)
	}
	s.items[key] = it
}

// Delete removes a key and raises the store's revision.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler. It answers calls of /-/kv-range.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Reset:
		resetConnection(w)
		return
	case Silent:
		<-r.Context().Done()
		return
	case Slow:
		select {
		case <-time.After(slowDelay):
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Path != "/-/kv-range" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	items, truncated, revision := s.page(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	// The items are written one by one, as copying a page of large values takes long
	// when the race detector is on. Errors mean that the client closed the connection.
	_, err := io.WriteString(w, `{"items":[`)
	for n, i := range items {
		if n > 0 && err == nil {
			_, err = io.WriteString(w, ",")
		}
		if err == nil {
			_, err = w.Write(i)
		}
	}
	if err == nil {
		_, _ = fmt.Fprintf(w, `],"truncated":%t,"store_revision":%d}`, truncated, revision)
	}
}

// page returns the JSON of the first items whose keys have the prefix and follow
// after, in the order of their keys, whether more follow, and the store's revision.
func (s *Store) page(prefix, after string) (items [][]byte, truncated bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, k := range keys {
		size += len(s.items[k].Value)
		if n := len(items); n == pageSize || n > 0 && size > pageBytes {
			return items, true, s.revision
		}
		items = append(items, s.items[k].encoded)
	}
	return items, false, s.revision
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	c := hijack(w)
	if c == nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0, closing resets the connection. An error means that
		// it is already closed.
		_ = t.SetLinger(0)
	}
	c.Close()
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
	attempts                    int
}

// configDocument returns the document of the current configuration.
func (m *Mesh) configDocument(services []string) []byte {
	var rows, names []string
	for _, r := range m.routes {
		rows = append(rows, fmt.Sprintf(`[%q,"mesh.example",%q,%q,%g,0.8,1,%q,%d,null,%t]`, r.name, r.prefix, r.kind,
			r.timeout.Seconds(), r.service, r.attempts, slices.Contains(m.PublicRoutes, r.name)))
	}
	for _, s := range services {
		names = append(names, fmt.Sprintf(`[%q,"/healthz",390]`, s))
	}
	return fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","path_prefix","kind","timeout_s",`+
		`"target_latency_s","priority","service","attempts","weighted_split","public"],"rows":[%s]},`+
		`"services":{"columns":["name","health_path","max_connections"],"rows":[%s]},"tenants":%s,`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_s":3,"idle_timeout_s":15}}`,
		m.version, strings.Join(rows, ","), strings.Join(names, ","), organisationsDocument(m.Organisations),
		cmp.Or(m.MaxBodyBytes, maxBodyBytes))
}
