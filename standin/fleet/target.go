package fleet

import (
	"fmt"
	"net/netip"
	"strings"
)

// Size that the fleet must support in about two years.
const (
	TargetVMs           = 3300
	TargetInstances     = 53_000
	TargetServices      = 3300
	TargetRoutes        = 97_000
	TargetOrganisations = 230_000
)

// maxTargetDocumentSize limits the elements of a document in bytes, so that the
// document stays below the platform's limit of 1 MB.
const maxTargetDocumentSize = 1_000_000

// targetDocuments maps names to the documents of a register of the target size.
type targetDocuments map[string][]byte

// addArray splits an array of n elements into documents. Each document has the
// array under key.
func (t targetDocuments) addArray(key string, n int, element func(int) string) {
	var b strings.Builder
	flush := func() {
		t[fmt.Sprintf("register-%s-%02d", key, len(t))] = fmt.Appendf(nil, "{%q: [\n%s]}\n", key, b.String())
		b.Reset()
	}
	for i := range n {
		e := element(i)
		if b.Len()+len(e) > maxTargetDocumentSize {
			flush()
		}
		b.WriteString(e + ",\n")
	}
	flush()
}

// TargetRegister renders a register of the target size as documents of at most
// 1 MB each. The VMs get the addresses in nodes in turn, so that a small fleet can
// hold the configuration of a large one.
func TargetRegister(nodes []netip.AddrPort) map[string][]byte {
	t := make(targetDocuments)
	t.addArray("services", TargetServices, func(i int) string {
		var routes []string
		// Each service has a route derived from its name as well, which counts
		// towards TargetRoutes.
		for r := i; r < TargetRoutes-TargetServices; r += TargetServices {
			routes = append(routes, fmt.Sprintf("\"/api/v1/area-%d/part-%d\"", i, r))
		}
		return fmt.Sprintf(`{"name": "service-%d", "slots": 3, "connections": 400, "routes": [%s]}`, i, strings.Join(routes, ", "))
	})
	t.addArray("organisations", TargetOrganisations, func(i int) string {
		return fmt.Sprintf(`{"name": "organisation-%d"}`, i)
	})
	t.addArray("vms", TargetVMs, func(i int) string {
		var instances []string
		for n := i; n < TargetInstances; n += TargetVMs {
			// The factor of 7 is meant to put the instances of a service on several
			// VMs and several services on a VM. With TargetServices equal to
			// TargetVMs, each VM holds the instances of one service.
			instances = append(instances, fmt.Sprintf(`{"name": "instance-%d", "service": "service-%d", "address": "127.9.%d.%d:%d"}`,
				n, (n*7)%TargetServices, i/250, i%250, 8000+n/TargetVMs))
		}
		return fmt.Sprintf(`{"name": "vm-%d", "region": "region-%d", "dataCentre": "dc-%d", "node": "%v", "instances": [%s]}`,
			i, i%6, i%12, nodes[i%len(nodes)], strings.Join(instances, ", "))
	})
	return t
}

// TargetRules renders rules for all services of the target size. The floor of
// one service depends on change, so that consecutive values give rules that
// differ in one place.
func TargetRules(change int) []byte {
	var b strings.Builder
	b.WriteString("{\"idempotent\": [\n")
	for i := range TargetServices {
		fmt.Fprintf(&b, "{\"service\": \"service-%d\", \"methods\": [\"PUT\"]},\n", i)
	}
	b.WriteString("], \"floors\": [\n")
	for i := range TargetServices {
		healthy := 8
		if i == TargetServices/2 {
			healthy = 5 + change%3
		}
		fmt.Fprintf(&b, "{\"service\": \"service-%d\", \"healthy\": %d},\n", i, healthy)
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}
