// Package settings decodes a node's own settings.
package settings

import (
	"net/netip"
	"strconv"
	"time"

	"cassiarack.example/lib/input/strict"
)

// Settings are what a node must know before it reads any configuration.
type Settings struct {
	// Name is the name of the node's VM in the register.
	Name string
	// Region and DataCentre are where the VM stands.
	Region     string
	DataCentre string
	// CallerAddress is where callers connect.
	CallerAddress netip.AddrPort
	// FleetAddress is where other nodes connect, by TCP and UDP.
	FleetAddress netip.AddrPort
	// AdminAddress is where operators connect.
	AdminAddress netip.AddrPort
	// PlatformAddress is the address of the platform's configuration service.
	PlatformAddress netip.AddrPort
	// Peers are some other nodes, asked first after a start.
	Peers []netip.AddrPort
	// FleetKeys authenticate datagrams; the first signs, all verify.
	FleetKeys []string
	// Certificate, Key and Authority are paths of PEM files for TLS between
	// nodes. All or none must be set.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration
	// RequestTimeout is the deadline of a request whose caller states none.
	RequestTimeout time.Duration
	// KeyRetention is how long an idempotency key is remembered.
	KeyRetention time.Duration
	// TraceEndpoint receives spans as OTLP over HTTP; empty means none.
	TraceEndpoint string
	// Profiling serves pprof on the admin address.
	Profiling bool
}

// Defaults and limits of the settings.
const (
	DefaultDrainTimeout   = 30 * time.Second
	DefaultRequestTimeout = 30 * time.Second
	DefaultKeyRetention   = 2 * time.Minute
	maxTimeout            = time.Hour
	maxRetention          = 24 * time.Hour
)

// Decode decodes the settings. The error holds all faults.
func Decode(file string, text []byte) (*Settings, error) {
	d := strict.Parse(file, text)
	o := d.Root()
	s := &Settings{
		Name:            o.String("name"),
		Region:          o.String("region"),
		DataCentre:      o.String("dataCentre"),
		CallerAddress:   o.AddrPort("callers"),
		FleetAddress:    o.AddrPort("fleet"),
		AdminAddress:    o.AddrPort("admin"),
		PlatformAddress: o.AddrPort("platform"),
		FleetKeys:       o.Strings("fleetKeys"),
		CertificateFile: o.String("certificate"),
		KeyFile:         o.String("key"),
		AuthorityFile:   o.String("authority"),
		DrainTimeout:    o.Duration("drainTimeout", DefaultDrainTimeout, time.Second, maxTimeout),
		RequestTimeout:  o.Duration("requestTimeout", DefaultRequestTimeout, time.Millisecond, maxTimeout),
		KeyRetention:    o.Duration("keyRetention", DefaultKeyRetention, time.Second, maxRetention),
		TraceEndpoint:   o.String("traceEndpoint"),
		Profiling:       o.Bool("profiling"),
	}
	for _, p := range o.Strings("peers") {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			o.Reject("peers", strconv.Quote(p), "IP addresses with ports")
			continue
		}
		s.Peers = append(s.Peers, a)
	}
	for _, k := range []string{"name", "region", "dataCentre", "callers", "fleet", "admin", "platform"} {
		o.Require(k)
	}
	if set := countNonEmpty(s.CertificateFile, s.KeyFile, s.AuthorityFile); set != 0 && set != 3 {
		o.Reject("certificate", strconv.Itoa(set)+" of certificate, key and authority", "all of them or none")
	}
	o.Close()
	return s, d.Err()
}

func countNonEmpty(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}
