package gate

import "fmt"

// drainError reports that requests were still in flight when a drain ended.
type drainError struct{ remaining int }

func (e *drainError) Error() string { return fmt.Sprintf("gate: drain: %d requests left", e.remaining) }
