package transfer

import (
	"fmt"
	"testing"

	"cassiarack.example/lib/wire"
)

// BenchmarkOffer measures a request to a gate on another VM and its small answer. A
// body that travels whole, with its offer, is compared with one in parts. The
// allocated bytes are those of both sides.
func BenchmarkOffer(b *testing.B) {
	g := &fakeGate{answerBytes: 400, unchecked: true}
	entry, target := startNode(b, nil, nil), startNode(b, g, nil)
	for _, size := range []int{300, 64 << 10, 1 << 20, 6 << 20} {
		body := pattern(size)
		request := func() *wire.RunRequest { return &wire.RunRequest{Instance: "i", Attempt: []byte("1"), Body: body} }
		b.Run(fmt.Sprintf("whole/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				client := wire.NewDRPCRelayClient(entry.peers.Conn(b.Context(), target.address))
				if _, err := client.Offer(b.Context(), request()); err != nil {
					b.Fatal(err)
				}
			}
		})
		entry.Port = target.address.Port()
		b.Run(fmt.Sprintf("service/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := entry.Offer(b.Context(), target.address.Addr(), request(), nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
