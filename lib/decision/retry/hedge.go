package retry

import "time"

// hedgeLimitRuns limits the run time of a hedge, as a multiple of the expected
// run time. If the hedge runs for longer, the request itself is long, and the
// hedge only takes a slot from short requests.
const hedgeLimitRuns = 8

// HedgeLimit returns the longest run time of a hedge. A hedge does not wait in
// a queue, because it may only use free capacity.
func HedgeLimit(expected time.Duration) time.Duration { return hedgeLimitRuns * expected }
