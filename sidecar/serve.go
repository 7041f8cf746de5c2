package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/ratelimit"
	"cassiarack.example/lib/hangup"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/link"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/tracing"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/admin"
	"cassiarack.example/sidecar/authentication"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/ingress"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/limiter"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
	"cassiarack.example/sidecar/relay"
	"cassiarack.example/sidecar/room"
	"cassiarack.example/sidecar/settings"
	"cassiarack.example/sidecar/transfer"
)

const (
	// memoryLimitShare is the share of the memory limit at which the garbage
	// collector begins to run more often. The rest is for stacks and for
	// buffers of the operating system.
	memoryLimitShare = 0.7
	// bodyMemoryShare is the share of the memory limit for the bodies of requests and
	// answers in flight, with the copies that are made of them.
	bodyMemoryShare = 0.5
	// answerShare is the share of the memory for bodies that requests leave to answers:
	// 15% of the memory limit.
	answerShare = 0.3
	// clientShare and gateShare are the shares of the memory for bodies up to which
	// large bodies of requests are accepted, from clients and from other sidecars. All
	// large bodies may take half, of which answerShare is for answers. A gate with no room beside the bodies of its own
	// clients would refuse those of others, and so each sidecar all others.
	clientShare = 0.15
	gateShare   = 0.2
	// maxStoreHead bounds the header of a response of the store in bytes.
	maxStoreHead = 64 << 10
	// maxStopMargin and stopMarginPart bound how long before SIGKILL the drain of the
	// services ends, the second as a part of the time from SIGTERM to SIGKILL. The
	// platform accepts only in the last sixth of that time that a request is broken
	// off; this margin and that of the ingress stay within it.
	maxStopMargin  = 700 * time.Millisecond
	stopMarginPart = 7.0 / 60
	// peerDialTimeout bounds the time to open a connection to another sidecar,
	// which is a few milliseconds away. A lost packet is sent again only after
	// a second, by which time another instance could have been tried.
	peerDialTimeout = 250 * time.Millisecond
	// storeConnections bounds the idle connections to the store. Reads are
	// sequential; a second connection is needed when a response is lost on the
	// first.
	storeConnections = 2
	// storeIdleTimeout is how long an unused connection to the store is kept.
	storeIdleTimeout = 30 * time.Second
)

// listeners are the listening sockets of a sidecar.
type listeners struct {
	callers, ready, fleet, metrics net.Listener
	notices                        *net.UDPConn
}

// listen opens all listening sockets. The error lists every socket that could not
// be opened.
func listen(ctx context.Context, s *settings.Settings) (*listeners, error) {
	var l listeners
	var errs []error
	listenFor := func(purpose string, a netip.AddrPort) net.Listener {
		lis, err := link.Listen(ctx, a)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s: %w", purpose, err))
		}
		return lis
	}
	l.callers = listenFor("callers", s.Callers)
	l.ready = listenFor("the platform", s.Ready)
	l.fleet = listenFor("other sidecars", s.Fleet)
	l.metrics = listenFor("operators", s.Metrics)
	var err error
	if l.notices, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Fleet)); err != nil {
		errs = append(errs, fmt.Errorf("listen for datagrams: %w", err))
	}
	return &l, errors.Join(errs...)
}

// serve runs a sidecar with settings s until ctx ends or a service fails. The
// function read rereads the settings file.
func serve(ctx context.Context, s *settings.Settings, read func() (*settings.Settings, error)) error {
	level, err := logLevel(s.LogLevel)
	if err != nil {
		return err
	}
	setMemoryLimit(s)
	l, err := listen(ctx, s)
	if err != nil {
		return err
	}
	j := journal.New(os.Stdout, level)
	logger := j.Logger("sidecar")
	exporter := &tracing.Exporter{Endpoint: s.TraceEndpoint, Program: "cassiarack-sidecar", VM: s.Name,
		Log: j.Logger("tracing")}
	stopTracing, err := exporter.Start(ctx)
	if err != nil {
		return err
	}
	defer stopTracing()
	services := append(registrations(s, l, j), kernel.Registration{Name: names.Settings,
		Needs: []string{names.Journal, names.Relay, names.Transfer}, Service: &reloader{Started: s, Read: read, Hangups: hangup.Signals(), Log: logger}})
	k := &kernel.Kernel{Registrations: services, Log: j.Logger("kernel"), DrainTimeout: drainTimeout(s.StopTimeout)}
	logger.Info("Started.", "vm", s.Name, "service", s.Service, "callers", s.Callers, "fleet", s.Fleet,
		"version", version)
	context.AfterFunc(ctx, func() { logger.Info("Stopping.", "vm", s.Name, "timeout", s.StopTimeout) })
	return k.Run(ctx)
}

// drainTimeout returns the time for the drain of the services in a stop that may
// take stopTimeout.
func drainTimeout(stopTimeout time.Duration) time.Duration {
	return stopTimeout - min(maxStopMargin, time.Duration(stopMarginPart*float64(stopTimeout)))
}

// bodyMemory returns the account for the bodies in flight. Without a memory limit in
// the settings, the account has none either.
func bodyMemory(s *settings.Settings, scope tally.Scope) *memory.Account {
	size := func(n int64) string {
		if n > memory.Large {
			return "large"
		}
		return "small"
	}
	return &memory.Account{Limit: bodyMemoryLimit(s), AnswerShare: answerShare, OnRefusal: func(n int64) {
		scope.Tagged(map[string]string{"size": size(n)}).Counter("memory_refusals").Inc(1)
	}}
}

func bodyMemoryLimit(s *settings.Settings) int64 {
	return int64(bodyMemoryShare * float64(s.MemoryMegabytes) * (1 << 20))
}

func setMemoryLimit(s *settings.Settings) {
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMegabytes) * (1 << 20)))
	}
}

// logLevel parses the name of a log level; empty means info.
func logLevel(text string) (log.Level, error) {
	if text == "" {
		return log.InfoLevel, nil
	}
	level, err := log.ParseLevel(text)
	if err != nil {
		return level, fmt.Errorf("settings: logLevel: %w", err)
	}
	return level, nil
}

// registrations returns the services of a sidecar and their dependencies,
// without the reloader.
func registrations(s *settings.Settings, l *listeners, j *journal.Service) []kernel.Registration {
	m := metrics.New(s.Name, s.DataCentre)
	scope := m.Scope()
	port := s.Fleet.Port()
	bodies := bodyMemory(s, scope)
	answers := &memory.Pool{Account: bodies, Answers: true}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	store := &platform.Store{Address: s.Store, HTTP: storeClient(), PageTimeout: publication.PageTimeout, OnCall: func(call string, took time.Duration, err error) {
		result := "ok"
		if err != nil {
			result = "error"
		}
		calls := scope.Tagged(map[string]string{"call": call, "result": result})
		calls.Counter("store_calls").Inc(1)
		calls.Timer("store_call_time").Record(took)
	}}
	return []kernel.Registration{
		{Name: names.Metrics, Service: m},
		{Name: names.Journal, Service: j},
		{Name: names.Peers, Service: &peers.Service{Listener: l.fleet, DialTimeout: peerDialTimeout, Log: j.Logger("peers")}},
		{Name: names.Notices, Service: &notice.Service{Conn: l.notices, Port: port, Incarnation: rand.Uint64(),
			Scope: scope, Log: j.Logger("notice")}},
		{Name: names.Publication, Needs: []string{names.Peers, names.Notices}, Service: &publication.Service{
			Store: store, Self: s.Fleet.Addr(), DataCentre: s.DataCentre, Port: port, Random: random(), Scope: scope,
			KeyRevocation: s.KeyRevocation, Log: j.Logger("publication")}},
		{Name: names.Gate, Needs: []string{names.Notices, names.Publication, names.Journal}, Service: &gate.Service{
			Instance: s.Instance, Answers: answers, MinStopTime: ingress.MinDrainTime, Random: random(),
			Scope: scope, Log: j.Logger("gate")}},
		{Name: names.Room, Needs: []string{names.Notices, names.Publication, names.Gate}, Service: &room.Service{
			Enabled: s.ServiceRoom, Self: s.Fleet.Addr(), DataCentre: s.DataCentre, ServiceName: s.Service, Random: random(),
			Scope: scope, Log: j.Logger("room")}},
		{Name: names.Transfer, Needs: []string{names.Peers, names.Gate, names.Journal}, Service: &transfer.Service{Self: s.Fleet.Addr(), Port: port,
			Requests: &memory.Pool{Account: bodies, LargeShare: gateShare}, Answers: answers, Scope: scope, Log: j.Logger("transfer")}},
		{Name: names.Relay, Needs: []string{names.Notices, names.Publication, names.Gate, names.Transfer, names.Room, names.Journal},
			Service: &relay.Service{DataCentre: s.DataCentre, OwnService: s.Service, RepeatRatio: s.RepeatRatio,
				RepeatSlack: s.RepeatSlack, RepeatWindow: s.RepeatWindow, Random: random(), Scope: scope,
				Log: j.Logger("relay")}},
		{Name: names.Authentication, Needs: []string{names.Publication, names.Journal}, Service: &authentication.Service{
			Now: clock.Boot, Scope: scope, Log: j.Logger("authentication")}},
		{Name: names.Limiter, Needs: []string{names.Notices, names.Publication, names.Journal}, Service: &limiter.Service{
			Self: s.Fleet.Addr(), Scope: scope,
			Shares: ratelimit.Shares{Window: s.LimitWindow, Over: s.LimitOver, Slack: s.LimitSlack},
			Log:    j.Logger("limiter")}},
		{Name: names.Ingress, Needs: []string{names.Publication, names.Authentication, names.Relay, names.Limiter, names.Gate, names.Journal},
			Service: &ingress.Service{Listener: l.callers, CallerService: s.Service, Bodies: &memory.Pool{Account: bodies, LargeShare: clientShare}, Scope: scope,
				Log: j.Logger("ingress")}},
		{Name: names.Admin, Needs: []string{names.Ingress, names.Authentication, names.Metrics, names.Journal}, Service: &admin.Service{
			Ready: l.ready, Metrics: l.metrics, Log: j.Logger("admin")}},
	}
}

// storeClient returns the HTTP client for calls to the platform's store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			a, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, fmt.Errorf("dial store: %w", err)
			}
			return link.Dial(ctx, a)
		},
		MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxStoreHead,
	}}
}
