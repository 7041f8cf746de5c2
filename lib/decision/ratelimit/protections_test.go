package ratelimit

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestProtections guards against protections that are no longer needed or no longer act:
// with each of them off, a failure leads to more requests than rule 6 permits.
func TestProtections(t *testing.T) {
	t.Parallel()
	limit := fieldLimits[0]
	even := patterns[1].choose
	var out strings.Builder
	for _, c := range []struct {
		name, failure string
		off           protections
		act           func(f *fleet)
	}{
		{"a bucket starts empty", "the ledgers restart every 0.8 s", protections{startsFull: true}, func(f *fleet) {
			f.demand(8*limit.Rate, fillTime, observeEnd, even)
			for i := range 10 {
				f.after(failAt+time.Duration(i)*800*time.Millisecond, func() {
					for _, v := range f.ledgerVMs() {
						f.restart(v, 100*time.Millisecond)
					}
				})
			}
		}},
		{"credits expire", "all VMs use credits of bursts long ago", protections{noExpiry: true}, func(f *fleet) {
			for i, v := range f.vms {
				burst := func() {
					for range 100 {
						f.request(v, "", Limit{})
					}
				}
				f.after(fillTime+time.Duration(i)*time.Second, burst)
				f.after(fillTime+100*time.Second, burst)
				// Single requests keep the stock from being dropped.
				for at := time.Duration(i) * time.Second; at < 100*time.Second; at += idleTime / 2 {
					f.after(fillTime+at, func() { f.request(v, "", Limit{}) })
				}
			}
		}},
		{"only ledgers grant", "all ledgers leave the list", protections{grantsAlways: true}, func(f *fleet) {
			f.demand(8*limit.Rate, fillTime, observeEnd, even)
			f.after(failAt, func() { f.remove(f.ledgerVMs()...) })
		}},
		{"a new ledger waits", "all ledgers leave the list and learn of it late", protections{noSettling: true}, func(f *fleet) {
			f.demand(8*limit.Rate, failAt, observeEnd, even)
			leaving := f.ledgerVMs()
			f.lag = func(v *vm) time.Duration {
				if slices.Contains(leaving, v) || v.address.As4()[3]%2 == 0 && !slices.Contains(f.ledgerVMs(), v) {
					return maxLag
				}
				return 0
			}
			f.after(failAt, func() { f.remove(leaving...) })
		}},
		{"a majority must reply when the list is old", "all ledgers are cut off and replaced", protections{noMajority: true}, func(f *fleet) {
			f.demand(8*limit.Rate, fillTime, observeEnd, even)
			f.after(failAt, func() {
				cut := f.ledgerVMs()
				for _, v := range cut {
					v.cutAt = f.now
				}
				f.after(entryLifetime, func() { f.remove(cut...) })
			})
		}},
	} {
		run := func(off protections) int {
			f := newFleet(3, 90, limit, off)
			if c.off.noMajority {
				f = newFleet(3, 21, limit, off)
			}
			c.act(f)
			f.run(fillTime + 110*time.Second)
			return f.mostInWindow("a", 0, math.MaxInt64)
		}
		on, off := run(protections{}), run(c.off)
		fmt.Fprintf(&out, "%s; %s: %d in a window, %d with the protection off, bound %v\n", c.name, c.failure, on, off, bound(limit))
		if float64(on) > bound(limit) || float64(off) <= bound(limit) {
			t.Errorf("%s: %d with the protection, %d without it, bound %v", c.name, on, off, bound(limit))
		}
	}
	golden.Check(t, "protections", out.String())
}
