package main

import (
	"fmt"
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/service/admin"
)

// TestRenderState guards against a status that omits what needs attention: a node
// without an answer, one with an older revision, a refused revision, an ejected or
// leaving instance, and a service at its floor.
func TestRenderState(t *testing.T) {
	s := &admin.FleetState{Asked: "v1", Revision: 7, NoReply: 1, Behind: 1, Nodes: []admin.NodeState{
		{VM: "v1", Revision: 7, Serving: true, Instances: []admin.InstanceState{
			{Name: "q1", Service: "quotes", Condition: "healthy"},
			{Name: "q2", Service: "quotes", Condition: "ejected", Cause: "5 times slower", AgeSeconds: 61}}},
		{VM: "v2", Error: "context deadline exceeded"},
		{VM: "v3", Revision: 6, Serving: true, Refused: "revision 7: rules:1:1: syntax"},
		{VM: "v4", Revision: 7, Instances: []admin.InstanceState{
			{Name: "q4", Service: "quotes", Condition: "healthy", Leaving: true}}},
	}, Services: []admin.ServiceState{{Name: "quotes", Instances: 4, Healthy: 2, Ejected: 1, Leaving: 1, Floor: 2}}}
	var b strings.Builder
	b.WriteString(renderState(s))
	fmt.Fprintln(&b, strings.Join(nodesBehind(s, 7), ", "))
	golden.Check(t, "state", b.String())
}
