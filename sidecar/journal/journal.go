// Package journal implements the service that writes log lines, in a sidecar to
// standard output, without ever blocking the goroutines that log.
//
// Lines pass through a bounded ring to the one goroutine that writes them. When the
// ring is full, lines are dropped and counted, and the count is logged.
package journal

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
)

const (
	// capacity is the maximum number of lines that wait to be written, about 1 MB.
	capacity = 4096
	// requestRate (lines per second) and requestBurst (lines) limit the lines about
	// requests. The burst covers one second at ten times the usual traffic of a VM;
	// the rate amounts to a few KB per second.
	requestRate  = 40.0
	requestBurst = 200.0
	// SuccessSampleInterval is the sampling interval of successful requests: one in
	// SuccessSampleInterval is logged.
	SuccessSampleInterval = 16
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Service writes log lines. It accepts lines as soon as New has returned, before Run
// is called.
type Service struct {
	out   io.Writer
	lines *ring.Ring[[]byte]

	dropped atomic.Uint64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	level      log.Level
	loggers    []*log.Logger
}

// New returns a service that writes to out.
func New(out io.Writer, level log.Level) *Service {
	return &Service{out: out, lines: ring.New[[]byte](capacity), level: level, tokens: requestBurst}
}

// Logger returns a new logger for a part of the sidecar. Its lines are in logfmt
// with the name of the part as prefix.
func (s *Service) Logger(part string) *log.Logger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := log.NewWithOptions(s, log.Options{Prefix: part, Level: s.level, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000000Z07:00", Formatter: log.LogfmtFormatter})
	s.loggers = append(s.loggers, l)
	return l
}

// SetLevel changes the level of all loggers, including those created later.
func (s *Service) SetLevel(level log.Level) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level = level
	for _, l := range s.loggers {
		l.SetLevel(level)
	}
}

// Write implements io.Writer for the loggers. It never blocks.
func (s *Service) Write(line []byte) (int, error) {
	if err := s.lines.Offer(append([]byte(nil), line...)); err != nil {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// AllowRequestLine reports whether a line about a request may be written. Successful
// requests are sampled by a hash of their identifier, so that all sidecars log the
// same ones. All lines about requests share one rate limit.
func (s *Service) AllowRequestLine(now time.Time, attempt string, success bool) bool {
	if success && xxhash.Sum64String(attempt)%SuccessSampleInterval != 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastRefill.IsZero() {
		s.tokens = min(requestBurst, s.tokens+requestRate*max(0, now.Sub(s.lastRefill).Seconds()))
	}
	s.lastRefill = now
	if s.tokens < 1 {
		s.dropped.Add(1)
		return false
	}
	s.tokens--
	return true
}

// Dropped returns the number of lines that were not written because the ring was
// full or the rate limit was exceeded.
func (s *Service) Dropped() uint64 { return s.dropped.Load() }

// Bind implements kernel.Service.
func (s *Service) Bind(*kernel.Directory) error { return nil }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	reported := uint64(0)
	own := log.NewWithOptions(s.out, log.Options{Prefix: "journal", ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	next := time.Now().Add(reportInterval)
	for {
		line, err := s.lines.Take(ctx)
		if err != nil {
			s.flush()
			own.Info("Stopped.")
			return nil
		}
		// A failure to write a log line cannot be logged.
		_, _ = s.out.Write(line)
		if n := s.dropped.Load(); n != reported && time.Now().After(next) {
			own.Warn("Log lines were dropped.", "lines", n-reported)
			reported, next = n, time.Now().Add(reportInterval)
		}
	}
}

// flush closes the ring and writes the lines that are left in it.
func (s *Service) flush() {
	s.lines.Close()
	for {
		line, err := s.lines.Take(context.Background())
		if err != nil {
			return
		}
		_, _ = s.out.Write(line)
	}
}
