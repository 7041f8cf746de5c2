// Package platform is a stand-in for the platform's configuration service and
// its list of VMs. It keeps everything in memory.
package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"cassiarack.example/lib/platform"
)

// maxWait limits how long a watch waits for a change.
const maxWait = time.Minute

// Server is an in-memory platform. The zero value has no configuration and no VMs
// and is ready to use. All methods may be called from several goroutines.
type Server struct {
	reads atomic.Int64
	mu    sync.Mutex
	// changed is closed at the next change, to wake the watches.
	changed chan struct{}
	down    bool
	// served is the number of the revision that is served as the newest; 0 means
	// none.
	served    int
	revisions []revision
	vms       platform.VMList
}

// revision is one published configuration.
type revision struct {
	manifest  platform.Manifest
	documents map[string][]byte
}

// Publish makes documents the newest revision and returns its number.
func (s *Server) Publish(documents map[string][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := uint64(len(s.revisions) + 1)
	m := platform.Manifest{Revision: number}
	for name, content := range documents {
		sum := sha256.Sum256(content)
		m.Documents = append(m.Documents, platform.Document{Name: name, Size: int64(len(content)),
			SHA256: hex.EncodeToString(sum[:])})
	}
	slices.SortFunc(m.Documents, func(a, b platform.Document) int { return strings.Compare(a.Name, b.Name) })
	s.revisions = append(s.revisions, revision{manifest: m, documents: documents})
	s.served = len(s.revisions)
	s.notify()
	return number
}

// SetServedRevision makes the server return the published revision number, which
// may be an older one, as if it were the newest. The number 0 restores the newest.
func (s *Server) SetServedRevision(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = int(number)
	if number == 0 {
		s.served = len(s.revisions)
	}
	s.notify()
}

// SetDown makes all calls fail with status 503 if down is true, and succeed again
// if it is false.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetVMs replaces the list of VMs and raises its revision by one.
func (s *Server) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = platform.VMList{Revision: s.vms.Revision + 1, VMs: vms}
	s.notify()
}

// Reads returns the number of calls for revisions, lists of VMs and documents since
// the start. A watch counts as one call.
func (s *Server) Reads() int64 { return s.reads.Load() }

// notify wakes the watches. The caller holds mu.
func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Handler returns the handler of the platform's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/revision", s.handleWatch(func() (uint64, any) {
		if s.served == 0 {
			return 0, nil
		}
		m := s.revisions[s.served-1].manifest
		return m.Revision, m
	}))
	r.HandleFunc("/v1/vms", s.handleWatch(func() (uint64, any) { return s.vms.Revision, s.vms }))
	r.HandleFunc("/v1/documents/{name}", s.handleDocument)
	return r
}

// handleWatch returns a handler that replies as soon as the revision number that
// current returns exceeds the number in the query, or with status 304 when the wait
// in the query has passed. It calls current with mu held.
func (s *Server) handleWatch(current func() (uint64, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		timeout := time.NewTimer(min(wait, maxWait))
		defer timeout.Stop()
		for {
			s.mu.Lock()
			if s.changed == nil {
				s.changed = make(chan struct{})
			}
			down, changed := s.down, s.changed
			number, value := current()
			s.mu.Unlock()
			switch {
			case down:
				http.Error(w, "down", http.StatusServiceUnavailable)
				return
			case number > after:
				writeJSON(w, value)
				return
			}
			select {
			case <-changed:
			case <-timeout.C:
				w.WriteHeader(http.StatusNotModified)
				return
			case <-r.Context().Done():
				return
			}
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}

// handleDocument replies with a document of the revision in the query.
func (s *Server) handleDocument(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	number, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if number < 1 || number > uint64(len(s.revisions)) {
		http.NotFound(w, r)
		return
	}
	content, ok := s.revisions[number-1].documents[mux.Vars(r)["name"]]
	if !ok {
		http.NotFound(w, r)
		return
	}
	// An error means that the client closed the connection.
	_, _ = w.Write(content)
}
