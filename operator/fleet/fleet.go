// Package fleet reads the state of a fleet from one of its nodes.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"cassiarack.example/lib/service/admin"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "node not reachable"
	KindRefused     Kind = "node refused"
	KindContent     Kind = "answer not understood"
)

// Error is the error of package fleet.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	requestTimeout = 10 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client asks one node.
type Client struct {
	// Node is the operators' address of the node.
	Node netip.AddrPort
}

// State returns the state of the fleet, as far as its nodes answer.
func (c *Client) State(ctx context.Context) (*admin.FleetState, error) {
	s := &admin.FleetState{}
	return s, c.get(ctx, "/fleet", s)
}

// Explain returns where a request would go from the node.
func (c *Client) Explain(ctx context.Context, method, path string) (*admin.Explanation, error) {
	e := &admin.Explanation{}
	return e, c.get(ctx, "/explain?method="+url.QueryEscape(method)+"&path="+url.QueryEscape(path), e)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Node.String()+path, nil)
	if err != nil {
		return &Error{Op: "ask " + path, Kind: KindUnreachable, Err: err}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &Error{Op: "ask " + path, Kind: KindUnreachable, Err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: "ask " + path, Kind: KindUnreachable, Err: err}
	}
	if res.StatusCode != http.StatusOK {
		return &Error{Op: "ask " + path, Kind: KindRefused, Err: fmt.Errorf("%s: %s", res.Status, strings.TrimSpace(string(body)))}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Op: "ask " + path, Kind: KindContent, Err: err}
	}
	return nil
}
