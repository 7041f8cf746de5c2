package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/reader"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/service/admin"
	"cassiarack.example/lib/service/front"
	"cassiarack.example/standin/fleet"
)

const (
	// spreadTimeout limits the wait until a revision is in force on all nodes. The
	// target is 4 s, but CI machines are slow.
	spreadTimeout     = 30 * time.Second
	statePollInterval = 10 * time.Millisecond
)

// numberedRules renders empty rules whose text depends on n, so that each n gives
// a new revision.
func numberedRules(n int) []byte {
	return fmt.Appendf(nil, "// change %d\n{}\n", n)
}

// readState returns the state that a node's admin interface shows.
func readState(ctx context.Context, v *fleet.VM) (admin.State, error) {
	var st admin.State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.AdminAddress.String()+"/state", nil)
	if err != nil {
		return st, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(res.Body).Decode(&st)
	return st, err
}

// awaitState waits until the state of each running node satisfies ok. It returns
// the time from the call until each node did, in the order of vms.
func awaitState(t *testing.T, vms []*fleet.VM, ok func(admin.State) bool) []time.Duration {
	t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), spreadTimeout)
	defer cancel()
	var took []time.Duration
	for _, v := range vms {
		if v.Process == nil {
			continue
		}
		for {
			st, err := readState(ctx, v)
			if err == nil && ok(st) {
				took = append(took, time.Since(start))
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("%s: %v, state %+v, %v", v.Name, ctx.Err(), st, err)
			}
			time.Sleep(statePollInterval)
		}
	}
	return took
}

// awaitRevision waits until all nodes serve with the revision or a newer one, and
// returns how long that took.
func awaitRevision(t *testing.T, f *fleet.Fleet, number uint64) time.Duration {
	t.Helper()
	took := awaitState(t, f.VMs, func(s admin.State) bool { return s.Serving && s.Revision >= number })
	return took[len(took)-1]
}

// readers returns the VMs whose nodes read the platform while all nodes are alive.
func readers(f *fleet.Fleet) []*fleet.VM {
	var members []reader.Member
	for _, v := range f.VMs {
		members = append(members, reader.Member{Name: v.Name, DataCentre: v.DataCentre, Alive: true})
	}
	var out []*fleet.VM
	for _, v := range f.VMs {
		if reader.IsReader(time.Time{}, v.Name, v.DataCentre, members) {
			out = append(out, v)
		}
	}
	return out
}

// spreadDeployment has 12 nodes, so that some of them do not read the platform and
// get revisions from other nodes.
var spreadDeployment = fleet.Deployment{
	Name:        "spread",
	Region:      "north",
	DataCentres: []string{"north-1", "north-2", "north-3"},
	Services: []fleet.Service{
		{Name: "orders", Instances: 12, Slots: 3, Connections: 400, ServiceTime: 2 * time.Millisecond},
	},
}

// TestPublish guards against a change that does not reach every node. It publishes
// with all readers running, kills some of them during a publication, and then
// kills the remaining ones.
func TestPublish(t *testing.T) {
	f := startDeployment(t, fleet.Latvia, "")
	for n := range 5 {
		took := awaitRevision(t, f, f.Publish(numberedRules(n)))
		t.Logf("%d nodes: change %d in force everywhere after %v", len(f.VMs), n, took)
	}
	rs := readers(f)
	number := f.Publish(numberedRules(100))
	killed := make(map[string]int)
	for i, r := range rs {
		// Kill one reader of each data centre, and all readers of the first one.
		if killed[r.DataCentre] > 0 && r.DataCentre != rs[0].DataCentre {
			continue
		}
		killed[r.DataCentre]++
		if err := r.KillNode(); err != nil {
			t.Fatal(err)
		}
		t.Logf("killed reader %d of %d: %s", i+1, len(rs), r.Name)
	}
	awaitRevision(t, f, number)
	t.Logf("after the loss of readers: in force after %v", awaitRevision(t, f, f.Publish(numberedRules(101))))
	for _, r := range rs {
		if r.Process == nil {
			continue
		}
		if err := r.KillNode(); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("after the loss of all readers: in force after %v", awaitRevision(t, f, f.Publish(numberedRules(102))))
}

// TestReplacedNode guards against a restarted node that does not serve while the
// platform is down, and against one that applies or reports the older revision of
// a platform with stale data.
func TestReplacedNode(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, spreadDeployment, "")
	f.Publish(numberedRules(1))
	newest := f.Publish(numberedRules(2))
	awaitRevision(t, f, newest)
	for _, c := range []struct {
		name  string
		setUp func()
	}{
		{"platform down", func() { f.Platform.SetDown(true) }},
		{"platform stale", func() { f.Platform.SetDown(false); f.Platform.SetServedRevision(1) }},
	} {
		c.setUp()
		v := readers(f)[0]
		is.NoErr(v.KillNode())
		is.NoErr(f.StartNode(v))
		began := time.Now()
		awaitState(t, []*fleet.VM{v}, func(s admin.State) bool {
			if s.Revision != 0 && s.Revision < newest || s.Serving && s.Revision < newest {
				t.Fatalf("%s: %s shows %+v, the fleet has %d", c.name, v.Name, s, newest)
			}
			return s.Serving
		})
		t.Logf("%s: serves revision %d %v after its start", c.name, newest, time.Since(began))
		awaitRevision(t, f, newest)
	}
	awaitState(t, readers(f)[:1], func(s admin.State) bool {
		for _, r := range s.Rejections {
			if r.Verdict == revision.Older && r.Revision == 1 {
				return true
			}
		}
		return false
	})
	f.Platform.SetServedRevision(0)
	awaitRevision(t, f, f.Publish(numberedRules(3)))
}

// TestListOfVMs guards against a list of VMs that only the readers receive.
func TestListOfVMs(t *testing.T) {
	f := startDeployment(t, spreadDeployment, "")
	var vms []platform.VM
	for _, v := range f.VMs {
		vms = append(vms, platform.VM{Name: v.Name, State: platform.StateLive})
	}
	f.Platform.SetVMs(vms)
	vms[0].State = platform.StateLeaving
	f.Platform.SetVMs(vms[:len(vms)-1])
	awaitState(t, f.VMs, func(s admin.State) bool { return s.List == 2 })
}

// TestInvalidDocuments guards against an invalid revision that comes into force,
// and against a rejection without its position and reason.
func TestInvalidDocuments(t *testing.T) {
	f := startDeployment(t, spreadDeployment, `{"floors": [{"service": "orders", "healthy": 6}]}`)
	good := f.Publish(numberedRules(1))
	awaitRevision(t, f, good)
	for _, c := range []struct{ rules, reason string }{
		{`{"floors": [{"service": "orders", "healthy": 1}, {"service": "none", "healthy": 1}]}`, "rules:1:"},
		{"{\n \"floor\": []}", "rules:2:2"},
		{"{", "rules:1"},
	} {
		bad := f.Publish([]byte(c.rules))
		awaitState(t, readers(f)[:1], func(s admin.State) bool {
			for _, r := range s.Rejections {
				if r.Revision == bad && r.Verdict == revision.Invalid && strings.Contains(r.Reason, c.reason) {
					t.Logf("rejected: %s", r.Reason)
					return true
				}
			}
			return false
		})
		awaitState(t, f.VMs, func(s admin.State) bool {
			if s.Revision != good {
				t.Fatalf("revision %d in force, want %d", s.Revision, good)
			}
			return s.Serving
		})
	}
	awaitRevision(t, f, f.Publish(numberedRules(2)))
}

// TestPausedNode guards against a node that serves with an outdated configuration
// after its process was paused. It must refuse requests until another node has
// confirmed its revision.
func TestPausedNode(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, spreadDeployment, "")
	v := f.VMs[len(f.VMs)-1]
	is.NoErr(v.Process.Process.Signal(syscall.SIGSTOP))
	stopped := time.Now()
	number := f.Publish(numberedRules(1))
	awaitState(t, f.VMs[:len(f.VMs)-1], func(s admin.State) bool { return s.Revision == number })
	const pause = 5 * time.Second
	time.Sleep(pause - time.Since(stopped))
	is.NoErr(v.Process.Process.Signal(syscall.SIGCONT))
	resumed := time.Now()
	awaitState(t, []*fleet.VM{v}, func(s admin.State) bool {
		if s.Serving && s.Revision < number {
			t.Fatalf("serves %d after the pause, the fleet has %d", s.Revision, number)
		}
		return s.Serving
	})
	t.Logf("serves %v after a pause of %v", time.Since(resumed), pause)
}

// TestNotServing guards against a node that runs requests although no other node
// has confirmed its configuration.
func TestNotServing(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, spreadDeployment, "")
	for _, v := range f.VMs[1:] {
		is.NoErr(v.KillNode())
	}
	v := f.VMs[0]
	is.NoErr(v.KillNode())
	is.NoErr(f.StartNode(v))
	awaitState(t, []*fleet.VM{v}, func(s admin.State) bool {
		is.True(!s.Serving)
		is.Equal(s.Revision, uint64(0))
		return s.Held == 1
	})
	res, err := http.Get("http://" + v.CallerAddress.String() + "/orders/1")
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get(front.HeaderOutcome), "not-run")
	is.True(strings.Contains(string(body), "not-serving"))
	for _, v := range f.VMs[1:] {
		is.NoErr(f.StartNode(v))
	}
	awaitRevision(t, f, 1)
}
