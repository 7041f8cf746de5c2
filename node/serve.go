package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/hangup"
	"cassiarack.example/lib/input/settings"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/admin"
	"cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/credentials"
	"cassiarack.example/lib/service/ejection"
	"cassiarack.example/lib/service/front"
	"cassiarack.example/lib/service/gate"
	"cassiarack.example/lib/service/gossip"
	"cassiarack.example/lib/service/handoff"
	"cassiarack.example/lib/service/ledger"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/observer"
	"cassiarack.example/lib/service/pause"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/service/reader"
	"cassiarack.example/lib/service/router"
	"cassiarack.example/lib/tracing"
)

// listeners holds the sockets of a node.
type listeners struct {
	callers, fleet, admin net.Listener
	// datagrams is a UDP socket on the address and port of fleet.
	datagrams *net.UDPConn
}

func listen(s *settings.Settings) (*listeners, error) {
	var l listeners
	var errs []error
	open := func(what string, a netip.AddrPort) net.Listener {
		lis, err := net.Listen("tcp", a.String())
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s: %w", what, err))
		}
		return lis
	}
	l.callers = open("callers", s.CallerAddress)
	l.fleet = open("other nodes", s.FleetAddress)
	l.admin = open("operators", s.AdminAddress)
	var err error
	if l.datagrams, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.FleetAddress)); err != nil {
		errs = append(errs, fmt.Errorf("listen for datagrams: %w", err))
	}
	return &l, errors.Join(errs...)
}

// node holds the values that several services of the node are built from.
type node struct {
	settings    *settings.Settings
	listeners   *listeners
	incarnation uint64
	level       log.Level
	// readSettings reads the settings file again and returns its current contents
	// with the flags applied.
	readSettings func() (*settings.Settings, error)
}

// log returns a logger whose lines start with the name of the component.
func (n *node) log(component string) *log.Logger {
	return log.NewWithOptions(os.Stderr, log.Options{Prefix: component, Level: n.level, ReportTimestamp: true,
		TimeFormat: time.RFC3339Nano})
}

func serve(ctx context.Context, s *settings.Settings, o *options) error {
	level, err := log.ParseLevel(o.logLevel)
	if err != nil {
		return fmt.Errorf("flag --log-level: %w", err)
	}
	n := &node{settings: s, incarnation: uint64(time.Now().UnixNano()), level: level, readSettings: o.settings}
	exporter := &tracing.Exporter{Endpoint: s.TraceEndpoint, Program: "cassiarack-node", VM: s.Name, Log: n.log("tracing")}
	stopTracing, err := exporter.Start(ctx)
	if err != nil {
		return err
	}
	defer stopTracing()
	if n.listeners, err = listen(s); err != nil {
		return err
	}
	k := &kernel.Kernel{Registrations: n.registrations(), Log: n.log("kernel"), DrainTimeout: s.DrainTimeout}
	n.log("node").Info("Started.", "vm", s.Name, "callers", n.listeners.callers.Addr(), "fleet",
		n.listeners.fleet.Addr(), "admin", n.listeners.admin.Addr())
	err = k.Run(ctx)
	n.log("node").Info("Stopped.", "vm", s.Name)
	return err
}

// random returns a new random source, as a source must not be shared by services
// that run concurrently.
func (n *node) random() *rand.Rand { return rand.New(rand.NewPCG(n.incarnation, rand.Uint64())) }

// registrations lists all services of a node with the services that they need.
func (n *node) registrations() []kernel.Registration {
	s := n.settings
	return append(slices.Concat(n.ejectionServices(), n.endpointServices()), []kernel.Registration{
		{
			Name:    service.Credentials,
			Needs:   []string{service.Peers},
			Service: &credentials.Service{ReadSettings: n.readSettings, Reload: hangup.Signals(), Log: n.log("credentials")},
		},
		{
			Name:    service.Gossip,
			Needs:   []string{service.Config, service.Credentials, service.Metrics, service.Ejection},
			Service: n.gossip(),
		},
		{Name: service.Metrics, Service: metrics.New(s.Name, s.DataCentre)},
		{Name: service.Peers, Service: &peers.Service{Listener: n.listeners.fleet, Log: n.log("peers")}},
		{
			Name:  service.Config,
			Needs: []string{service.Peers, service.Metrics},
			Service: &config.Service{VM: s.Name, Seeds: s.Peers, Random: n.random(),
				Log: n.log("config")},
		},
		{
			Name:  service.Reader,
			Needs: []string{service.Config, service.Metrics, service.Gossip},
			Service: &reader.Service{VM: s.Name, DataCentre: s.DataCentre, Random: n.random(),
				Client: &platform.Client{Address: s.PlatformAddress}, Log: n.log("reader")},
		},
		{
			Name: service.Pause,
			Needs: []string{service.Metrics, service.Config, service.Gate, service.Ledger, service.Gossip,
				service.Ejection, service.Observer},
			Service: &pause.Service{Log: n.log("pause")},
		},
		{
			Name:    service.Router,
			Needs:   []string{service.Gossip, service.Ejection},
			Service: &router.Service[choice.TwoChoices]{DataCentre: s.DataCentre, Random: n.random()},
		},
		{
			// The gate depends on gossip so that it refuses new requests only after
			// gossip has announced the stop.
			Name:    service.Gate,
			Needs:   []string{service.Config, service.Peers, service.Metrics, service.Gossip, service.Observer},
			Service: &gate.Service{VM: s.Name, Incarnation: n.incarnation, Log: n.log("gate")},
		},
		{Name: service.Ledger, Needs: []string{service.Config, service.Peers, service.Metrics},
			Service: &ledger.Service{VM: s.Name, Retention: s.KeyRetention, Log: n.log("ledger")}},
		{
			Name: service.Handoff,
			Needs: []string{service.Config, service.Peers, service.Router, service.Ledger, service.Metrics,
				service.Observer},
			Service: &handoff.Service{Log: n.log("handoff")},
		},
	}...)
}

// ejectionServices lists the services that detect gray (partly failing) backend
// servers and eject them.
func (n *node) ejectionServices() []kernel.Registration {
	s := n.settings
	return []kernel.Registration{
		{
			Name:    service.Ejection,
			Needs:   []string{service.Config, service.Peers, service.Metrics},
			Service: &ejection.Service{VM: s.Name, Incarnation: n.incarnation, Random: n.random(), Log: n.log("ejection")},
		},
		{
			Name:  service.Observer,
			Needs: []string{service.Config, service.Peers, service.Metrics, service.Ejection, service.Gossip},
			Service: &observer.Service[health.SequentialState, health.Sequential]{Policy: health.DefaultSequential, VM: s.Name,
				Log: n.log("observer")},
		},
	}
}

// endpointServices lists the services that listen for connections of callers and
// operators.
func (n *node) endpointServices() []kernel.Registration {
	s := n.settings
	return []kernel.Registration{
		{
			Name:  service.Front,
			Needs: []string{service.Handoff, service.Config},
			Service: &front.Service{Listener: n.listeners.callers, VM: s.Name, Timeout: s.RequestTimeout,
				Log: n.log("front")},
		},
		{
			Name: service.Admin,
			Needs: []string{service.Config, service.Metrics, service.Gate, service.Gossip, service.Peers,
				service.Router, service.Front, service.Ejection},
			Service: &admin.Service{Listener: n.listeners.admin, VM: s.Name, Profiling: s.Profiling,
				Log: n.log("admin")},
		},
	}
}

func (n *node) gossip() *gossip.Service {
	s := n.settings
	return &gossip.Service{
		Conn: n.listeners.datagrams,
		Self: member.Member{Name: s.Name, Region: s.Region, DataCentre: s.DataCentre, Address: s.FleetAddress,
			Incarnation: n.incarnation},
		Seeds:  s.Peers,
		Random: n.random(),
		Log:    n.log("gossip"),
	}
}
