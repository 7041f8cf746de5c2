// Package choice decides which instance of a service gets a request, and estimates
// the run times of requests.
//
// The policy is a type argument, so that baselines such as round robin run in
// the same code as the policy in use.
package choice
