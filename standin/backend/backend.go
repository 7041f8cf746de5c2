// Package backend is a stand-in for a backend server. It counts each execution,
// so that tests compare what callers were told with what ran.
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

// HeaderRequest carries the identifier under which an execution is counted.
const HeaderRequest = "X-Request-Id"

// HeaderWork asks for a service time, such as "20ms".
const HeaderWork = "X-Standin-Work"

// Fault is how a backend server misbehaves. The zero value is healthy.
type Fault struct {
	// ErrorShare of the requests is answered with status 500.
	ErrorShare float64 `json:"errorShare"`
	// Slowdown multiplies the service time; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// HangShare of the requests gets no answer.
	HangShare float64 `json:"hangShare"`
	// CutShare of the answers ends in the middle of the body.
	CutShare float64 `json:"cutShare"`
}

// Server is a backend server.
type Server struct {
	// Name is the instance's name, which each answer carries.
	Name string
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	// Slots bounds the requests that run at once; others wait. Zero means no
	// bound.
	Slots int
	// StragglerShare of the requests takes StragglerFactor times as long.
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

// SetFault changes how the server misbehaves.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Executions returns how often each request was executed.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

// PeakInFlight returns the largest number of requests that were at the server at once,
// waiting ones included.
func (s *Server) PeakInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakInFlight
}

// InFlight returns the number of requests that are at the server.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// TruncatedBodies returns the number of requests whose body did not end.
func (s *Server) TruncatedBodies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.truncatedBodies
}

// Handler serves requests, and the control calls under /_standin/.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/_standin/fault", s.handleFault).Methods(http.MethodPut)
	r.HandleFunc("/_standin/executions", s.handleExecutions).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.NewRoute().HandlerFunc(s.handleRequest)
	return r
}

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
	// An error means that the reader went away.
	_ = json.NewEncoder(w).Encode(s.Executions())
}

// countExecution counts an execution and returns the fault in force.
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

// acquire waits for a slot. It reports false when the caller went away.
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
	// The answer begins before the request's body is read to its end.
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

// echo answers with the body of the request.
func (s *Server) echo(w http.ResponseWriter, r *http.Request, f Fault) {
	if rand.Float64() < f.CutShare {
		// An error means that the caller went away.
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

// waitServiceTime takes the service time. It reports false when the caller went away.
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
