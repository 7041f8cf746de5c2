package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCloseTime guards against a gate that closes long before its node can end, and
// against one that closes before the shutdown began.
func TestCloseTime(t *testing.T) {
	is := is.New(t)
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	earliestEnd := began.Add(2800 * time.Millisecond)
	is.Equal(CloseTime(began, earliestEnd, 300*time.Millisecond).Sub(began), 2500*time.Millisecond)
	is.Equal(CloseTime(began, earliestEnd, 5*time.Second), began)
}
