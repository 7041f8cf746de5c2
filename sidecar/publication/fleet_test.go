package publication

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
)

// fakeStore is the platform's store.
type fakeStore struct {
	version   atomic.Int64
	instances []roster.Instance
}

// storeClient is the access of one sidecar to the store.
type storeClient struct {
	store *fakeStore
	away  atomic.Bool
}

// Read implements Store.
func (c *storeClient) Read(context.Context, func([]byte)) (*platform.Published, error) {
	if c.away.Load() {
		return nil, errors.New("the store turns the sidecar away")
	}
	return &platform.Published{Config: document(int(c.store.version.Load())), Instances: c.store.instances}, nil
}

// node is one sidecar of a fleet.
type node struct {
	*Service
	client *storeClient
}

// startFleet runs sidecars with the setting bound: size in each of the data centres.
func startFleet(t *testing.T, bound time.Duration, dataCentres []string, size int) (*fakeStore, []node) {
	t.Helper()
	store := &fakeStore{}
	store.version.Store(7)
	var port uint16
	var nodes []node
	var kernels []*kernel.Kernel
	for d, dataCentre := range dataCentres {
		for i := range size {
			self := netip.AddrFrom4([4]byte{127, 75, byte(d + 1), byte(i + 1)})
			conn := listen(t, self, port)
			port = conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
			l, err := net.Listen("tcp4", netip.AddrPortFrom(self, port).String())
			if err != nil {
				t.Fatal(err)
			}
			store.instances = append(store.instances, roster.Instance{ID: self.String(), Service: "s", DataCentre: dataCentre,
				Address: netip.AddrPortFrom(self, 80), Slots: 1, StartedAt: time.Now()})
			c := &storeClient{store: store}
			quiet := log.New(io.Discard)
			s := &Service{Store: c, Self: self, DataCentre: dataCentre, Port: port, KeyRevocation: bound,
				Random: rand.New(rand.NewPCG(rand.Uint64(), 1)), Scope: tally.NoopScope, Log: quiet}
			nodes = append(nodes, node{Service: s, client: c})
			kernels = append(kernels, &kernel.Kernel{Log: quiet, DrainTimeout: time.Second, Registrations: []kernel.Registration{
				{Name: names.Peers, Service: &peers.Service{Listener: l, Log: quiet}},
				{Name: names.Notices, Service: &notice.Service{Conn: conn, Port: port, Incarnation: rand.Uint64(),
					Scope: tally.NoopScope, Log: quiet}},
				{Name: names.Publication, Needs: []string{names.Peers, names.Notices}, Service: s}}})
			s.initProof()
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, len(kernels))
	for _, k := range kernels {
		go func() { done <- k.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range kernels {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return store, nodes
}

// countFresh returns how many nodes may use their configuration, and how many have
// the given version.
func countFresh(nodes []node, version uint64) (fresh, current int) {
	for _, n := range nodes {
		if n.Fresh(clock.Boot()) {
			fresh++
		}
		if v, _ := n.Proof(); v == version {
			current++
		}
	}
	return fresh, current
}

// awaitFresh waits until the number of nodes that may use their configuration is want,
// and all have the given version.
func awaitFresh(t *testing.T, nodes []node, want int, version uint64, limit time.Duration) string {
	t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		fresh, current := countFresh(nodes, version)
		if fresh == want && current == len(nodes) {
			return fmt.Sprintf("%d of %d, version %d", fresh, len(nodes), version)
		}
		if time.Now().After(end) {
			t.Errorf("after %v %d of %d nodes are fresh and %d have version %d, want %d", limit, fresh, len(nodes), current, version, want)
			return fmt.Sprintf("%d of %d", fresh, len(nodes))
		}
	}
}

// TestStoreAway guards against a data centre that stops serving keys although another
// one reaches the store, and against one that goes on when nobody reaches it.
func TestStoreAway(t *testing.T) {
	const bound = 3 * time.Second
	store, nodes := startFleet(t, bound, []string{"a", "b"}, 3)
	var b strings.Builder
	fmt.Fprintf(&b, "start: %s\n", awaitFresh(t, nodes, len(nodes), 7, 3*time.Second))
	away := func(list []node, is bool) {
		for _, n := range list {
			n.client.away.Store(is)
		}
	}
	away(nodes[3:], true)
	least := len(nodes)
	for end := time.Now().Add(2 * bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		fresh, _ := countFresh(nodes, 7)
		least = min(least, fresh)
	}
	fmt.Fprintf(&b, "one data centre without the store: at least %d of %d\n", least, len(nodes))
	store.version.Store(8)
	fmt.Fprintf(&b, "a new version: %s\n", awaitFresh(t, nodes, len(nodes), 8, bound))
	away(nodes, true)
	fmt.Fprintf(&b, "no data centre with the store: %s\n", awaitFresh(t, nodes, 0, 8, bound))
	away(nodes[:1], false)
	fmt.Fprintf(&b, "one sidecar with the store: %s\n", awaitFresh(t, nodes, len(nodes), 8, 4*time.Second))
	golden.Check(t, "away", b.String())
}
