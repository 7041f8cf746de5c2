// Package settings decodes the settings file of a sidecar, which is JSON with
// comments.
package settings

import (
	"net/netip"
	"time"

	"cassiarack.example/lib/input/strict"
)

// Settings are the local settings of a sidecar. Everything else is published by
// the platform.
type Settings struct {
	// Name is the name of the VM.
	Name       string
	DataCentre string
	// Service and Instance are the name of the service and the address of the
	// instance on this VM.
	Service  string
	Instance netip.AddrPort
	// Callers is the listening address for requests from the instance and from
	// clients on this VM.
	Callers netip.AddrPort
	// Ready is the listening address for the platform's readiness check.
	Ready netip.AddrPort
	// Fleet is the listening address for other sidecars, by TCP and UDP. The
	// port is the same on all VMs.
	Fleet netip.AddrPort
	// Metrics is the listening address for the metrics page.
	Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryMegabytes is the memory limit of the process in MiB; zero means no
	// limit.
	MemoryMegabytes int
	// StopTimeout is the time from SIGTERM to the platform's SIGKILL.
	StopTimeout time.Duration
	// RepeatRatio, RepeatSlack and RepeatWindow limit the repeated requests
	// that all sidecars together send to a service. In any window of length
	// RepeatWindow these are at most RepeatRatio times the requests to the
	// service plus RepeatSlack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// KeyRevocation is the time after the acknowledgement of a configuration that took a
	// key away, after which no request with that key may run. Zero means that there is
	// no such bound.
	KeyRevocation time.Duration
	// LimitWindow, LimitOver and LimitSlack say how far the limits of organisations may
	// be exceeded over all sidecars: in any span of LimitWindow, an organisation gets at
	// most 1 + LimitOver times its rate and burst, plus LimitSlack requests.
	LimitWindow time.Duration
	LimitOver   float64
	LimitSlack  float64
	// ServiceRoom is set if requests are refused at the entry for which their service
	// has no room.
	ServiceRoom bool
	// TraceEndpoint is the URL to which spans are sent as OTLP over HTTP. If it
	// is empty, no spans are sent.
	TraceEndpoint string
	// LogLevel is debug, info, warn or error; empty means info.
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
	defaultLimitWindow  = 5 * time.Second
	maxOver             = 10
)

// Decode decodes the settings in text. The name of the file is used in errors.
// The error lists all faults.
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

		KeyRevocation: o.Duration("keyRevocation", 0, 0, maxDuration),
		LimitWindow:   o.Duration("limitWindow", defaultLimitWindow, time.Second, maxDuration),
		LimitOver:     o.Float("limitOver", 0, 0, maxOver),
		LimitSlack:    o.Float("limitSlack", 0, 0, maxSlack),

		ServiceRoom:   o.Bool("serviceRoom"),
		TraceEndpoint: o.String("traceEndpoint"),

		MemoryMegabytes: o.Int("memoryMegabytes", 0, 0, maxMegabytes),
	}
	for _, k := range []string{"name", "dataCentre", "service", "instance", "callers", "ready", "fleet", "metrics", "store"} {
		o.Require(k)
	}
	o.Close()
	return s, d.Err()
}

// RestartRequired returns the keys in which a and b differ and whose changes
// take effect only at the next start, in the order of the settings.
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
		{"keyRevocation", a.KeyRevocation != b.KeyRevocation},
		{"limitWindow", a.LimitWindow != b.LimitWindow},
		{"limitOver", a.LimitOver != b.LimitOver},
		{"limitSlack", a.LimitSlack != b.LimitSlack},
		{"serviceRoom", a.ServiceRoom != b.ServiceRoom},
		{"stopTimeout", a.StopTimeout != b.StopTimeout},
		{"traceEndpoint", a.TraceEndpoint != b.TraceEndpoint},
	} {
		if k.differs {
			keys = append(keys, k.name)
		}
	}
	return keys
}
