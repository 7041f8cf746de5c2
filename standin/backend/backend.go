// Package backend provides a stand-in for a backend server. It counts each
// execution, so that tests can compare what the fleet reported to callers with what
// ran.
package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// HeaderRequest is the header with the identifier under which an execution is
// counted. The answer repeats it.
const HeaderRequest = "X-Request-Id"

// HeaderWork is the request header that sets the service time, such as "20ms".
const HeaderWork = "X-Standin-Work"

// Fault describes the faulty behaviour of a backend server. The zero value means
// none. Shares are from 0 to 1.
type Fault struct {
	// ErrorShare is the share of the requests that is answered with status 500.
	ErrorShare float64 `json:"errorShare"`
	// Slowdown is the factor of the service time; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// HangShare is the share of the requests that gets no answer.
	HangShare float64 `json:"hangShare"`
	// CutShare is the share of the answers that ends in the middle of the body.
	CutShare float64 `json:"cutShare"`
}

// Server is a stand-in for a backend server, which answers a request with the
// request's body.
type Server struct {
	// Name is the name of the instance. Answers carry it in X-Served-By.
	Name string
	// ServiceTime is the mean of the exponentially distributed service time.
	ServiceTime time.Duration
	// Slots limits the requests that run at once; others wait. Zero means no limit.
	Slots int
	// StragglerShare is the share of the requests, from 0 to 1, that takes
	// StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64

	once            sync.Once
	slots           chan struct{}
	mu              sync.Mutex
	fault           Fault
	counts          map[string]int
	inFlight        int
	peakInFlight    int
	truncatedBodies int
}

// SetFault replaces the fault of the server, for requests that begin to run
// afterwards.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Executions returns the number of executions of each request, by its identifier.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

// PeakInFlight returns the largest number of requests that were at the server at
// once, including those that waited for a slot.
func (s *Server) PeakInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakInFlight
}

// InFlight returns the number of requests that are at the server, including those
// that wait for a slot.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// TruncatedBodies returns the number of requests whose body broke off while it was
// copied into the answer. Answers that broke off count too.
func (s *Server) TruncatedBodies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.truncatedBodies
}

// Handler returns the handler of requests, of probes at /healthz and of the control
// calls under /_standin/.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/_standin/fault", s.handleFault).Methods(http.MethodPut)
	r.HandleFunc("/_standin/executions", s.handleExecutions).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.NewRoute().HandlerFunc(s.handleRequest)
	return r
}

// handleFault sets the fault from the JSON body of the request.
func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(s.Executions())
}

// countExecution counts an execution of the request id, if it is not empty, and
// returns the current fault.
func (s *Server) countExecution(id string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]int)
	}
	if id != "" {
		s.counts[id]++
	}
	return s.fault
}

func (s *Server) beginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// acquire waits for a slot. It returns false if the caller closed the connection
// before a slot was free.
func (s *Server) acquire(r *http.Request) bool {
	s.once.Do(func() {
		if s.Slots > 0 {
			s.slots = make(chan struct{}, s.Slots)
		}
	})
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) release() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.beginRequest()
	defer s.endRequest()
	if !s.acquire(r) {
		return
	}
	defer s.release()
	f := s.countExecution(r.Header.Get(HeaderRequest))
	if rand.Float64() < f.HangShare {
		<-r.Context().Done()
		return
	}
	if !s.waitServiceTime(r, f) {
		return
	}
	if rand.Float64() < f.ErrorShare {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	// The echo starts the answer before it has read the whole body of the request.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Served-By", s.Name)
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
	}
	s.echo(w, r, f)
}

// echo answers with the body of the request, or with half of it for the share of
// the fault's truncated answers.
func (s *Server) echo(w http.ResponseWriter, r *http.Request, f Fault) {
	if rand.Float64() < f.CutShare {
		// An error means that the caller closed the connection.
		_, _ = io.CopyN(w, r.Body, max(r.ContentLength, 2)/2)
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, r.Body); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.truncatedBodies++
		panic(http.ErrAbortHandler)
	}
}

// waitServiceTime waits for the service time of a request. It returns false if the
// caller closed the connection before.
func (s *Server) waitServiceTime(r *http.Request, f Fault) bool {
	d := time.Duration(rand.ExpFloat64() * float64(s.ServiceTime))
	if requested, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		d = requested
	}
	if rand.Float64() < s.StragglerShare {
		d = time.Duration(float64(d) * s.StragglerFactor)
	}
	if f.Slowdown > 0 {
		d = time.Duration(float64(d) * f.Slowdown)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
