// Package settings decodes the settings of a sidecar, JSON with comments.
package settings

import (
	"net/netip"
	"time"

	"cassiarack.example/lib/input/strict"
)

// Settings are what a sidecar knows before it reads anything published.
type Settings struct {
	// Name is the name of the VM.
	Name       string
	DataCentre string
	// Service and Instance are the service and address of the instance on this
	// VM.
	Service  string
	Instance netip.AddrPort
	// Callers is where the instance and clients on this VM send requests.
	Callers netip.AddrPort
	// Ready is where the platform asks whether the sidecar takes new work.
	Ready netip.AddrPort
	// Fleet is where other sidecars connect, by TCP and UDP. The port is the same
	// on all VMs.
	Fleet netip.AddrPort
	// Metrics is where metrics are served.
	Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryMegabytes is the memory limit of the process.
	MemoryMegabytes int
	// StopTimeout is the time between SIGTERM and SIGKILL.
	StopTimeout time.Duration
	// RepeatRatio, RepeatSlack and RepeatWindow bound the repeats that all
	// sidecars together send to a service: in any window at most RepeatRatio
	// times its requests plus RepeatSlack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// TraceEndpoint is the URL that receives spans as OTLP over HTTP; empty means
	// none.
	TraceEndpoint string
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Defaults and limits of the settings.
const (
	defaultStopTimeout  = 6 * time.Second
	defaultRepeatRatio  = 0.1
	defaultRepeatWindow = 10 * time.Second
	maxDuration         = time.Hour
	maxMegabytes        = 1 << 20
	maxSlack            = 1e6
)

// Decode decodes the settings. The error holds all faults.
func Decode(file string, text []byte) (*Settings, error) {
	d := strict.Parse(file, text)
	o := d.Root()
	s := &Settings{
		Name:         o.String("name"),
		DataCentre:   o.String("dataCentre"),
		Service:      o.String("service"),
		Instance:     o.AddrPort("instance"),
		Callers:      o.AddrPort("callers"),
		Ready:        o.AddrPort("ready"),
		Fleet:        o.AddrPort("fleet"),
		Metrics:      o.AddrPort("metrics"),
		Store:        o.AddrPort("store"),
		StopTimeout:  o.Duration("stopTimeout", defaultStopTimeout, time.Second, maxDuration),
		RepeatRatio:  o.Float("repeatRatio", defaultRepeatRatio, 0, 1),
		RepeatSlack:  o.Float("repeatSlack", 0, 0, maxSlack),
		RepeatWindow: o.Duration("repeatWindow", defaultRepeatWindow, time.Second, maxDuration),
		LogLevel:     o.String("logLevel"),

		TraceEndpoint: o.String("traceEndpoint"),

		MemoryMegabytes: o.Int("memoryMegabytes", 0, 0, maxMegabytes),
	}
	for _, k := range []string{"name", "dataCentre", "service", "instance", "callers", "ready", "fleet", "metrics", "store"} {
		o.Require(k)
	}
	o.Close()
	return s, d.Err()
}

// RestartRequired returns the keys in which a and b differ and that a process takes only
// at its start, in the order of the settings.
func RestartRequired(a, b *Settings) []string {
	var keys []string
	for _, k := range []struct {
		name    string
		differs bool
	}{
		{"name", a.Name != b.Name},
		{"dataCentre", a.DataCentre != b.DataCentre},
		{"service", a.Service != b.Service},
		{"instance", a.Instance != b.Instance},
		{"callers", a.Callers != b.Callers},
		{"ready", a.Ready != b.Ready},
		{"fleet", a.Fleet != b.Fleet},
		{"metrics", a.Metrics != b.Metrics},
		{"store", a.Store != b.Store},
		{"stopTimeout", a.StopTimeout != b.StopTimeout},
		{"traceEndpoint", a.TraceEndpoint != b.TraceEndpoint},
	} {
		if k.differs {
			keys = append(keys, k.name)
		}
	}
	return keys
}
