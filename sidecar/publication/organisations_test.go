package publication

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/platform/sample"
	"cassiarack.example/sidecar/notice"
)

// newTestService returns a service without connections, and its log.
func newTestService() (*Service, *bytes.Buffer) {
	var logged bytes.Buffer
	s := &Service{Self: netip.MustParseAddr("10.0.0.5"), DataCentre: "a", Scope: tally.NoopScope,
		Log: log.NewWithOptions(&logged, log.Options{Formatter: log.LogfmtFormatter}), notices: &notice.Service{},
		commands: ring.New[func(time.Time)](commandCapacity)}
	s.state.Store(&State{})
	s.initProof()
	return s, &logged
}

// TestApplyOrganisations guards against a configuration in force whose organisations
// are invalid, against one that is lost for that, against log lines with keys, and
// against a register that is built anew although nothing changed.
func TestApplyOrganisations(t *testing.T) {
	s, logged := newTestService()
	var b strings.Builder
	var before *organisation.Organisation
	for _, step := range []struct {
		name    string
		version int
		rows    string
	}{
		{"two", 1, `["a",["Secret1"]],["b",["Secret2"]]`},
		{"key twice", 2, `["a",["Secret1"]],["b",["Secret1"]]`},
		{"name twice", 3, `["a",["Secret1"]],["a",["Secret2"]]`},
		{"empty key", 4, `["a",["Secret1",""]]`},
		{"invalid name", 5, `[" a",["Secret1"]]`},
		{"key that is no text", 6, `["a",[1]]`},
		{"older version", 0, `["c",["Secret1"]]`},
		{"other organisation", 7, `["a",["Secret1"]],["c",["Secret2"]]`},
		{"no organisation", 8, ``},
	} {
		s.applyConfig(sample.Configuration(step.version, step.rows), "store")
		table := s.State().Table
		fmt.Fprintf(&b, "%s: version %d, %d organisations", step.name, table.Configuration.Version, table.Register.Len())
		for _, k := range []string{"Secret1", "Secret2"} {
			if o, ok := table.Register.Find(organisation.NewKey(k)); ok {
				fmt.Fprintf(&b, ", %s", o.Name)
			}
		}
		o, _ := table.Register.Find(organisation.NewKey("Secret1"))
		fmt.Fprintf(&b, ", the first is shared: %t\n", o != nil && o == before)
		before = o
	}
	b.WriteString(logged.String())
	if strings.Contains(logged.String(), "Secret") {
		t.Error("a key was logged")
	}
	golden.Check(t, "organisations", b.String())
}

// TestProof guards against a proof that is newer than the read it comes from, which
// would allow a 401 for a key that is in a newer configuration, and against waiting
// requests that are not told of a proof.
func TestProofWithoutBound(t *testing.T) {
	s, _ := newTestService()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }
	from := netip.MustParseAddr("10.0.0.6")
	announce := func(received time.Time, age time.Duration, version uint64) {
		s.Boot = func() time.Time { return received }
		s.handleAnnouncement(received, from, &wire.Notice{Announcement: &wire.Announcement{Age: int64(age * time.Millisecond),
			ConfigVersion: version, RosterDigest: s.roster.Digest()}})
		f, err := s.commands.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		s.fetching = true // no snapshot is fetched
		f(received)
	}
	snapshot := func(now, asked time.Time, age time.Duration, version uint64, document []byte) {
		s.adoptSnapshot(now, asked, from, &wire.SnapshotReply{Age: int64(age), ConfigVersion: version, Config: document})
	}
	var b strings.Builder
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"read without a configuration", func() { s.takeConfig(at(10), at(0), nil) }},
		{"read that began at 100", func() { s.takeConfig(at(150), at(100), sample.Configuration(1, "")) }},
		{"older read", func() { s.takeConfig(at(160), at(50), sample.Configuration(1, "")) }},
		{"announcement of age 80 at 300", func() { announce(at(300), 80, 1) }},
		{"announcement of an older configuration", func() { announce(at(400), 0, 0) }},
		{"announcement of a newer configuration", func() { announce(at(400), 0, 2) }},
		{"snapshot of age 30, asked at 500", func() { snapshot(at(590), at(500), 30*time.Millisecond, 1, nil) }},
		{"snapshot without a read", func() { snapshot(at(690), at(600), -1, 1, nil) }},
		{"snapshot with a newer configuration", func() { snapshot(at(790), at(700), 0, 2, sample.Configuration(2, "")) }},
		{"snapshot of a newer configuration that is rejected", func() { snapshot(at(890), at(800), 0, 3, sample.Configuration(3, `["",[]]`)) }},
	} {
		changed := s.ProofChanged()
		step.do()
		told := false
		select {
		case <-changed:
			told = true
		default:
		}
		proved := "none"
		if _, p := s.Proof(); !p.IsZero() {
			proved = p.Sub(start).String()
		}
		fmt.Fprintf(&b, "%s: version %d, proved at %s, told %t\n", step.name, s.config.version(), proved, told)
	}
	golden.Check(t, "proof_without_bound", b.String())
}
