// Package admin implements the service that answers operators over HTTP on a
// separate address. It also reports the state of the node to other nodes.
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

	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/ejection"
	"cassiarack.example/lib/service/gate"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/service/router"
	"cassiarack.example/lib/wire"
)

const (
	// headerTimeout limits how long a client may take to send the header of a request.
	headerTimeout = 5 * time.Second
	// writeTimeout limits the time from the end of a request's header to the end of
	// its answer.
	writeTimeout = time.Minute
	// maxHeaderBytes is the maximum size of the header of a request.
	maxHeaderBytes = 16 << 10
)

// Service answers operators over HTTP and reports the state of the node over drpc.
type Service struct {
	// Listener accepts the HTTP connections of operators.
	Listener net.Listener
	// VM is the name of the node's VM.
	VM string
	// Profiling enables the pprof pages.
	Profiling bool
	// Log receives the errors of the HTTP server.
	Log *log.Logger

	config   *configservice.Service
	gate     *gate.Service
	ejection *ejection.Service
	peers    *peers.Service
	router   router.Router
	members  memberLister
	front    frontStatus
	metrics  *metrics.Service
	server   *http.Server
}

// memberLister is the part of the gossip service that returns the members.
type memberLister interface {
	Members() []member.Member
}

// frontStatus is the part of the front service that reports whether callers can
// connect.
type frontStatus interface {
	Accepting() bool
}

// State is the body of /state: the configuration and the instances of one node.
type State struct {
	VM string `json:"vm"`
	configservice.State
	Instances []InstanceState `json:"instances"`
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
	if s.gate, err = kernel.Find[*gate.Service](dir, service.Gate); err != nil {
		return err
	}
	if s.ejection, err = kernel.Find[*ejection.Service](dir, service.Ejection); err != nil {
		return err
	}
	if s.peers, err = kernel.Find[*peers.Service](dir, service.Peers); err != nil {
		return err
	}
	if s.router, err = router.Find(dir); err != nil {
		return err
	}
	if s.members, err = kernel.Find[memberLister](dir, service.Gossip); err != nil {
		return err
	}
	if s.front, err = kernel.Find[frontStatus](dir, service.Front); err != nil {
		return err
	}
	if err := wire.DRPCRegisterState(s.peers.Mux(), s); err != nil {
		return err
	}
	r := mux.NewRouter()
	r.HandleFunc("/ready", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/state", s.state).Methods(http.MethodGet)
	r.HandleFunc("/fleet", s.fleet).Methods(http.MethodGet)
	r.HandleFunc("/decisions", s.decisions).Methods(http.MethodGet)
	r.HandleFunc("/members", s.showMembers).Methods(http.MethodGet)
	r.HandleFunc("/explain", s.explain).Methods(http.MethodGet)
	r.Handle("/metrics", s.metrics.Handler()).Methods(http.MethodGet)
	if s.Profiling {
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       s.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})}
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := s.server.Close(); err != nil {
			s.Log.Debug("Close of server failed.", "err", err)
		}
	}()
	if err := s.server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// ready serves the readiness check.
func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	st := s.config.State()
	switch {
	case !st.Serving:
		http.Error(w, "not serving: "+st.Waiting, http.StatusServiceUnavailable)
		return
	case !s.front.Accepting():
		http.Error(w, "not serving: the callers' address is closed", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "serving")
}

func (s *Service) state(w http.ResponseWriter, r *http.Request) {
	reply, err := s.Report(r.Context(), nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	n := NodeState{VM: s.VM}
	n.fill(reply)
	s.writeJSON(w, State{VM: s.VM, State: s.config.State(), Instances: n.Instances})
}

func (s *Service) fleet(w http.ResponseWriter, r *http.Request) {
	c := s.config.Current()
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, s.gather(r.Context(), c))
}

func (s *Service) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.Log.Debug("Answer not sent.", "err", err)
	}
}
