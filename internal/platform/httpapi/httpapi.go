// Package httpapi is the HTTP adapter of the platform interface.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/jsonbody"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// Wire paths and headers of the platform's protocol.
const (
	ObjectsPath = "/v1/objects/"
	ListPath    = "/v1/list"
	WatchPath   = "/v1/watch"
	MembersPath = "/v1/members"
	// BaseVersionHeader is the version that the object of a write must have; 0
	// means that it must not exist.
	BaseVersionHeader = "If-Version"
)

const (
	// maxObjectBytes bounds a response with one object, in bytes: the platform's objects have up to 1 MB, and escapes make
	// their encoding longer.
	maxObjectBytes = 2 << 20
	// maxListBytes bounds a response with many objects or VMs, in bytes: 2,000 rows of the table of up to 5 KB.
	maxListBytes = 16 << 20
)

// Object is the wire format of one object.
type Object struct {
	Key      string          `json:"key"`
	Version  uint64          `json:"version"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// ObjectList is the wire format of the response to a list or a watch.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration

	mu sync.Mutex
	// storeTime is the last Date header that the platform sent.
	storeTime time.Time
	// receivedAt is when storeTime was received.
	receivedAt time.Time
}

// New returns a client of the platform at base, such as http://10.0.0.1:9000.
// The timeout bounds every call, not counting the waiting time of a watch.
func New(base string, transport http.RoundTripper, timeout time.Duration) *Client {
	return &Client{
		base:    strings.TrimRight(base, "/"),
		http:    &http.Client{Transport: transport},
		timeout: timeout,
	}
}

var _ platform.Platform = (*Client)(nil)

// StoreTime returns the current time of the platform's clock: the last Date that
// it sent, advanced by this process's monotonic clock. Clock jumps on this VM
// don't affect it. It returns the zero time before the first response.
func (c *Client) StoreTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeTime.IsZero() {
		return time.Time{}
	}
	return c.storeTime.Add(time.Since(c.receivedAt))
}

// recordTime records the platform's clock from the response's Date header.
func (c *Client) recordTime(resp *http.Response) {
	date, err := http.ParseTime(resp.Header.Get("Date"))
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeTime = date
	c.receivedAt = time.Now()
}

// do sends the request and records the platform's clock.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	c.recordTime(resp)
	return resp, nil
}

// Get implements platform.ObjectStore.
func (c *Client) Get(ctx context.Context, key string) (platform.Object, error) {
	var out Object
	if err := c.read(ctx, ObjectsPath+key, c.timeout, maxObjectBytes, &out); err != nil {
		return platform.Object{}, err
	}
	return out.toObject(), nil
}

// List implements platform.ObjectStore.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	var out ObjectList
	path := ListPath + "?prefix=" + url.QueryEscape(prefix)
	if err := c.read(ctx, path, c.timeout, maxListBytes, &out); err != nil {
		return nil, 0, err
	}
	return out.toObjects(), out.Revision, nil
}

// ListCached implements platform.ObjectStore. This platform has no cheaper reads.
func (c *Client) ListCached(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	return c.List(ctx, prefix)
}

// Watch implements platform.ObjectStore.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out ObjectList
	if err := c.read(ctx, WatchPath+"?"+query.Encode(), c.timeout+wait, maxListBytes, &out); err != nil {
		return nil, 0, err
	}
	return out.toObjects(), out.Revision, nil
}

// Members implements platform.Membership.
func (c *Client) Members(ctx context.Context, failureDomain string, knownVersion uint64) (platform.MemberList, error) {
	var out platform.MemberList
	path := MembersPath + "?failure_domain=" + url.QueryEscape(failureDomain) + "&known=" + strconv.FormatUint(knownVersion, 10)
	err := c.read(ctx, path, c.timeout, maxListBytes, &out)
	return out, err
}

// Put implements platform.ObjectStore.
func (c *Client) Put(ctx context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+ObjectsPath+key, bytes.NewReader(value))
	if err != nil {
		return platform.Object{}, errors.Mark(err, platform.ErrUnavailable)
	}
	// net/http treats a PUT as replayable; without GetBody it sends the call only once.
	req.GetBody = nil
	req.Header.Set(BaseVersionHeader, strconv.FormatUint(base, 10))
	resp, err := c.do(req)
	if err != nil && !connected {
		return platform.Object{}, errors.Mark(err, platform.ErrUnavailable)
	}
	if err != nil {
		return platform.Object{}, errors.Mark(err, platform.ErrUnknown)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return platform.Object{}, statusError(resp, platform.ErrUnknown)
	}
	var out Object
	if err := jsonbody.Decode(resp.Body, maxObjectBytes, &out); err != nil {
		return platform.Object{}, errors.Mark(err, platform.ErrUnknown)
	}
	return out.toObject(), nil
}

// read sends a GET and decodes its response, whose body has up to maxBytes bytes.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, maxBytes int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Mark(err, platform.ErrUnavailable)
	}
	resp, err := c.do(req)
	if err != nil {
		return errors.Mark(err, platform.ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp, platform.ErrUnavailable)
	}
	return errors.Mark(jsonbody.Decode(resp.Body, maxBytes, into), platform.ErrUnavailable)
}

// statusError maps a status to a sentinel error. It uses the fallback for statuses
// that leave open whether a write had an effect, and for responses without an end, whose status counts for nothing.
func statusError(resp *http.Response, fallback error) error {
	if err := bodylimit.Discard(resp.Body, maxObjectBytes); err != nil {
		return errors.Mark(errors.Wrapf(err, "platform answered %d", resp.StatusCode), fallback)
	}
	kind := fallback
	switch resp.StatusCode {
	case http.StatusNotFound:
		kind = platform.ErrNotFound
	case http.StatusNotModified:
		kind = platform.ErrUnchanged
	case http.StatusGone:
		kind = platform.ErrCompacted
	case http.StatusPreconditionFailed:
		kind = platform.ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = platform.ErrUnavailable
	}
	return errors.Wrapf(kind, "platform answered %d", resp.StatusCode)
}

func (o Object) toObject() platform.Object {
	return platform.Object{Key: o.Key, Version: o.Version, Revision: o.Revision, Value: o.Value}
}

func (l ObjectList) toObjects() []platform.Object {
	out := make([]platform.Object, len(l.Objects))
	for i, o := range l.Objects {
		out[i] = o.toObject()
	}
	return out
}
