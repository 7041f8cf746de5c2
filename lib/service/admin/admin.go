// Package admin is the service that serves operators on an address of its own.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/metrics"
)

const (
	headerTimeout = 5 * time.Second
	writeTimeout  = time.Minute
	maxHeader     = 16 << 10
)

// Service serves operators.
type Service struct {
	// Listener accepts the connections of operators.
	Listener net.Listener
	// VM is the name of the node's VM.
	VM string
	// Profiling serves pprof.
	Profiling bool
	// Log receives failures of the server.
	Log *log.Logger

	config  *configservice.Service
	metrics *metrics.Service
	server  *http.Server
}

// State is the state of a node, as operators see it.
type State struct {
	VM string `json:"vm"`
	configservice.State
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.config, err = kernel.Find[*configservice.Service](dir, service.Config); err != nil {
		return err
	}
	if s.metrics, err = kernel.Find[*metrics.Service](dir, service.Metrics); err != nil {
		return err
	}
	r := mux.NewRouter()
	r.HandleFunc("/ready", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/state", s.state).Methods(http.MethodGet)
	r.Handle("/metrics", s.metrics.Handler()).Methods(http.MethodGet)
	if s.Profiling {
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       s.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})}
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := s.server.Close(); err != nil {
			s.Log.Debug("Server closed.", "err", err)
		}
	}()
	if err := s.server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

func (s *Service) current() State {
	return State{VM: s.VM, State: s.config.State()}
}

func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	if st := s.current(); !st.Serving {
		http.Error(w, "not serving: "+st.Waiting, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "serving")
}

func (s *Service) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.current()); err != nil {
		s.Log.Debug("State not sent.", "err", err)
	}
}
