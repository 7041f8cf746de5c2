// Package health detects gray failures from observations of requests.
//
// A Detector compares each instance with its siblings, the other instances of
// the same service. The service as a whole provides the baseline: a distribution
// of service times for each route and a share of errors. For each Hypothesis, an
// observation has a log-likelihood ratio: the natural logarithm of how much more
// likely it is if the instance has that fault than under the baseline. A Policy
// turns these ratios into a score. The default policy, Sequential, adds the
// ratios up (CUSUM). When most siblings show suspicious scores at the same time,
// the Detector attributes the fault to the service and the policy discounts the
// evidence against the instance.
//
// All times are measured in the backend server and exclude queueing, so that a
// change in demand does not change a score. The package starts no goroutine and
// reads no clock.
package health
