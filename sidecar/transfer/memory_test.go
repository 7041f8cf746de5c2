package transfer

import (
	"testing"

	"github.com/matryer/is"

	"cassiarack.example/sidecar/memory"
)

// TestSmallBesideLarge guards against bodies that are refused although they are not
// large, because large ones take their whole share on both sides.
func TestSmallBesideLarge(t *testing.T) {
	is := is.New(t)
	entry, target := startNode(t, nil, nil), startNode(t, &fakeGate{}, nil)
	for _, n := range []*node{entry, target} {
		n.account.SetLimit(4 << 20)
		_, err := n.Requests.Make(2 << 20)
		is.NoErr(err)
	}
	for _, size := range []int{17 << 10, memory.Large} {
		reply, err := entry.offer(t.Context(), target, size)
		is.NoErr(err)
		is.Equal(reply.GetReason(), "")
	}
	reply, err := entry.offer(t.Context(), target, memory.Large+1)
	is.NoErr(err)
	is.Equal(reply.GetReason(), ReasonMemory)
}

// TestAnswerWithoutMemory guards against an answer that counts as lost, so that the
// request repeats, because the entry has no memory for it.
func TestAnswerWithoutMemory(t *testing.T) {
	const answerBytes = 1 << 20
	is := is.New(t)
	entry, target := startNode(t, nil, nil), startNode(t, &fakeGate{answerBytes: answerBytes}, nil)
	entry.account.SetLimit(512 << 10)
	reply, err := entry.offer(t.Context(), target, 20<<10)
	is.NoErr(err)
	is.Equal(len(reply.GetBody()), answerBytes)
	entry.awaitFree(t)
}
