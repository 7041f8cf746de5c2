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

// MaxDocument is the maximum size of a document in bytes.
const MaxDocument = 1 << 20

// maxListSize is the maximum size of a manifest or a list of VMs in bytes.
const maxListSize = 8 << 20

// Kind is the kind of an Error.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable"
	KindStatus      Kind = "unexpected status"
	KindContent     Kind = "invalid content"
	KindUnchanged   Kind = "no newer revision"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, such as "watch revision".
	Op   string
	Kind Kind
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the operation, the kind and the cause.
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

// ErrUnchanged matches, with errors.Is, the error of a watch that ends without a
// newer revision.
var ErrUnchanged = &Error{Kind: KindUnchanged}

// Manifest lists the documents of a revision.
type Manifest struct {
	Revision  uint64     `json:"revision"`
	Documents []Document `json:"documents"`
}

// Document describes one document. A document whose name starts with "register"
// holds a part of the register, one whose name starts with "rules" holds rules.
type Document struct {
	Name string `json:"name"`
	// Size is the size of the content in bytes.
	Size int64 `json:"size"`
	// SHA256 is the digest of the content in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Digest returns the SHA-256 digest of the revision and the documents.
func (m *Manifest) Digest() [32]byte {
	h := sha256.New()
	fmt.Fprintln(h, m.Revision)
	for _, d := range m.Documents {
		fmt.Fprintln(h, strconv.Quote(d.Name), d.Size, d.SHA256)
	}
	return [32]byte(h.Sum(nil))
}

// Verify returns an error of KindContent if content does not have the digest of
// the document.
func (d Document) Verify(content []byte) error {
	sum := sha256.Sum256(content)
	if got := hex.EncodeToString(sum[:]); got != d.SHA256 {
		return &Error{Op: "verify " + d.Name, Kind: KindContent, Err: fmt.Errorf("digest %s, want %s", got, d.SHA256)}
	}
	return nil
}

// VMList is the platform's list of VMs, which lags behind the actual state of the
// VMs.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VM is a VM of the list.
type VM struct {
	Name string `json:"name"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}

// States of a VM. A VM that is not in the list no longer exists.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Client reads from the platform. Each call in progress counts as one reader of
// the platform. The errors of its methods are of type *Error.
type Client struct {
	// Address is the address of the configuration service.
	Address netip.AddrPort
	// HTTP is the client for all calls.
	HTTP *http.Client
}

// WatchRevision waits for a revision newer than after and returns its manifest. If
// there is none within the time wait, the error matches ErrUnchanged.
func (c *Client) WatchRevision(ctx context.Context, after uint64, wait time.Duration) (*Manifest, error) {
	m := &Manifest{}
	return m, c.getJSON(ctx, "watch revision", watchPath("/v1/revision", after, wait), m)
}

// WatchVMs waits for a list of VMs newer than after and returns it. If there is
// none within the time wait, the error matches ErrUnchanged.
func (c *Client) WatchVMs(ctx context.Context, after uint64, wait time.Duration) (*VMList, error) {
	l := &VMList{}
	return l, c.getJSON(ctx, "watch VMs", watchPath("/v1/vms", after, wait), l)
}

func watchPath(path string, after uint64, wait time.Duration) string {
	return path + "?after=" + strconv.FormatUint(after, 10) + "&wait=" + url.QueryEscape(wait.String())
}

// Document returns the content of a document of a revision, after it verified the
// digest.
func (c *Client) Document(ctx context.Context, revision uint64, d Document) ([]byte, error) {
	path := "/v1/documents/" + url.PathEscape(d.Name) + "?revision=" + strconv.FormatUint(revision, 10)
	content, err := c.get(ctx, "read "+d.Name, path, MaxDocument)
	if err != nil {
		return nil, err
	}
	return content, d.Verify(content)
}

// getJSON decodes the answer to a GET request into the value that into points to.
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

// get returns the body of the answer to a GET request. A body of more than limit
// bytes is an error.
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
