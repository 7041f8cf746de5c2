// Package settings decodes the settings of a node, which it needs before it can
// read the configuration of the fleet.
package settings

import (
	"net/netip"
	"strconv"
	"time"

	"cassiarack.example/lib/input/strict"
)

// Settings are the settings of one node.
type Settings struct {
	// Name is the name of the node's VM in the register.
	Name string
	// Region and DataCentre are the location of the VM.
	Region     string
	DataCentre string
	// CallerAddress is the address at which the node serves callers.
	CallerAddress netip.AddrPort
	// FleetAddress is the address at which it serves other nodes, on TCP and UDP.
	FleetAddress netip.AddrPort
	// AdminAddress is the address at which it serves operators.
	AdminAddress netip.AddrPort
	// PlatformAddress is the address of the platform's configuration service.
	PlatformAddress netip.AddrPort
	// Peers are the addresses of other nodes, which the node contacts first after
	// a start.
	Peers []netip.AddrPort
	// FleetKeys authenticate datagrams between nodes. The first key signs them;
	// a datagram is accepted if any of the keys verifies it.
	FleetKeys []string
	// CertificateFile, KeyFile and AuthorityFile are the paths of PEM files for
	// TLS between nodes. All or none must be set.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// DrainTimeout is the longest time that a graceful stop may take.
	DrainTimeout time.Duration
	// RequestTimeout limits a request whose caller states no deadline.
	RequestTimeout time.Duration
	// KeyRetention is how long an idempotency key is protected after its first
	// claim.
	KeyRetention time.Duration
	// TraceEndpoint is the URL that receives spans as OTLP over HTTP. If it is
	// empty, no spans are sent.
	TraceEndpoint string
	// Profiling enables pprof at AdminAddress.
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

// Decode decodes the settings. The name of the file appears in errors only. The
// error is a strict.Errors that holds all faults; the returned settings are then
// incomplete.
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
