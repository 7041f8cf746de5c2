// Package fleet queries the state of a fleet from one of its nodes over HTTP.
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

// Kinds of errors: no connection or no complete answer, a status other than 200,
// and a body that cannot be decoded.
const (
	KindUnreachable Kind = "node not reachable"
	KindRefused     Kind = "node refused"
	KindContent     Kind = "answer not understood"
)

// Error is the error type of package fleet.
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

// Client sends queries to the admin address of one node.
type Client struct {
	// Node is the admin address of the node.
	Node netip.AddrPort
}

// State returns the state of the fleet as reported by the nodes that answer. The
// error is an *Error.
func (c *Client) State(ctx context.Context) (*admin.FleetState, error) {
	s := &admin.FleetState{}
	return s, c.get(ctx, "/fleet", s)
}

// Explain returns to which instances the node would send a request with this
// method and path, and why. The error is an *Error.
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
