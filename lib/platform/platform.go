package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// MaxDocument is the largest document in bytes.
const MaxDocument = 1 << 20

// maxListSize bounds a manifest and a list of VMs in bytes.
const maxListSize = 8 << 20

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable"
	KindStatus      Kind = "unexpected status"
	KindContent     Kind = "invalid content"
	KindUnchanged   Kind = "no newer revision"
)

// Error is the error of package platform.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("platform: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an *Error of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}

// ErrUnchanged is returned when a watch ends without a newer revision.
var ErrUnchanged = &Error{Kind: KindUnchanged}

// Manifest lists the documents of a revision.
type Manifest struct {
	Revision  uint64     `json:"revision"`
	Documents []Document `json:"documents"`
}

// Document describes one document. Names that start with "register" hold a part
// of the register, names that start with "rules" some of the rules.
type Document struct {
	Name   string `json:"name"`
	Size   int64  `json:"size"`
	SHA256 string `json:"sha256"`
}

// Digest identifies the content of the manifest.
func (m *Manifest) Digest() [32]byte {
	h := sha256.New()
	fmt.Fprintln(h, m.Revision)
	for _, d := range m.Documents {
		fmt.Fprintln(h, strconv.Quote(d.Name), d.Size, d.SHA256)
	}
	return [32]byte(h.Sum(nil))
}

// Verify reports whether content is that of the document.
func (d Document) Verify(content []byte) error {
	sum := sha256.Sum256(content)
	if got := hex.EncodeToString(sum[:]); got != d.SHA256 {
		return &Error{Op: "verify " + d.Name, Kind: KindContent, Err: fmt.Errorf("digest %s, want %s", got, d.SHA256)}
	}
	return nil
}

// VMList is the platform's list of VMs, which lags behind reality.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VM is the platform's view of a VM.
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// States of a VM. A VM that is not listed is gone.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Client reads the platform. It counts as one reader for each call in progress.
type Client struct {
	// Address is where the platform serves.
	Address netip.AddrPort
	// HTTP performs the calls.
	HTTP *http.Client
}

// WatchRevision returns the manifest of a revision newer than after, and waits for it.
// It returns ErrUnchanged when there is none in time.
func (c *Client) WatchRevision(ctx context.Context, after uint64, wait time.Duration) (*Manifest, error) {
	m := &Manifest{}
	return m, c.getJSON(ctx, "watch revision", watchPath("/v1/revision", after, wait), m)
}

// WatchVMs returns a list of VMs newer than after, as Watch does.
func (c *Client) WatchVMs(ctx context.Context, after uint64, wait time.Duration) (*VMList, error) {
	l := &VMList{}
	return l, c.getJSON(ctx, "watch VMs", watchPath("/v1/vms", after, wait), l)
}

func watchPath(path string, after uint64, wait time.Duration) string {
	return path + "?after=" + strconv.FormatUint(after, 10) + "&wait=" + url.QueryEscape(wait.String())
}

// Document returns the verified content of a document.
func (c *Client) Document(ctx context.Context, revision uint64, d Document) ([]byte, error) {
	path := "/v1/documents/" + url.PathEscape(d.Name) + "?revision=" + strconv.FormatUint(revision, 10)
	content, err := c.get(ctx, "read "+d.Name, path, MaxDocument)
	if err != nil {
		return nil, err
	}
	return content, d.Verify(content)
}

func (c *Client) getJSON(ctx context.Context, op, path string, into any) error {
	body, err := c.get(ctx, op, path, maxListSize)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Op: op, Kind: KindContent, Err: err}
	}
	return nil
}

func (c *Client) get(ctx context.Context, op, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+path, nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, &Error{Op: op, Kind: KindUnchanged}
	default:
		return nil, &Error{Op: op, Kind: KindStatus, Err: fmt.Errorf("status %s", res.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	if int64(len(body)) > limit {
		return nil, &Error{Op: op, Kind: KindContent, Err: fmt.Errorf("more than %d bytes", limit)}
	}
	return body, nil
}
