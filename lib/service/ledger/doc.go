// Package ledger is the service that keeps the claims on idempotency keys whose
// home is this node, and that claims keys at their homes for this node's
// requests.
package ledger
