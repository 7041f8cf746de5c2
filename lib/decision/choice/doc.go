// Package choice decides which instance gets a request.
//
// The policy is a type argument, so that baselines such as round robin run in
// the same code as the policy in use.
package choice
