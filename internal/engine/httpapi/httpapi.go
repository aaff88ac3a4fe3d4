// Package httpapi is the HTTP adapter of the engine interface. Plain services
// answer the same probe, with only the load fields filled.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/presence"
)

// Wire paths of the engine's protocol.
const (
	StatusPath     = "/v1/status"
	AssignPath     = "/v1/assign"
	maxAnswerBytes = 64 << 10
)

// Status is the wire form of a probe's answer.
type Status struct {
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Rank       int    `json:"rank,omitempty"`
	Size       int    `json:"size,omitempty"`
	Fence      uint64 `json:"fence,omitempty"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving,omitempty"`
	InFlight   int    `json:"in_flight"`
	Queued     int    `json:"queued"`
	Slots      int    `json:"slots"`
}

// Client talks to engines. It may be used from any goroutine.
type Client struct {
	http *http.Client
}

// New returns a client. Every call is bounded by its context.
func New(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

var _ engine.Engine = (*Client)(nil)

// Probe implements engine.Engine.
func (c *Client) Probe(ctx context.Context, address string) (presence.ProbeResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return presence.ProbeResult{}, errors.Wrap(err, "probe")
	}
	// An empty agent is left out: probes are most of the bytes of control.
	req.Header.Set("User-Agent", "")
	resp, err := c.http.Do(req)
	if err != nil {
		return presence.ProbeResult{}, errors.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	var s Status
	if err := decode(resp, &s); err != nil {
		return presence.ProbeResult{}, err
	}
	return presence.ProbeResult{
		Group:      s.Group,
		Generation: s.Generation,
		Rank:       s.Rank,
		Size:       s.Size,
		Fence:      s.Fence,
		Ready:      s.Ready,
		Leaving:    s.Leaving,
		InFlight:   max(s.InFlight, 0),
		Queued:     max(s.Queued, 0),
		Slots:      max(s.Slots, 0),
	}, nil
}

// Assign implements engine.Engine.
func (c *Client) Assign(ctx context.Context, address string, order engine.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AssignPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "assign")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "assign")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(engine.ErrFenced, "%s fence %d", address, order.Fence)
	}
	return errors.Newf("assign: engine answered %d", resp.StatusCode)
}

func decode(resp *http.Response, into *Status) error {
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("probe: upstream answered %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read probe answer")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode probe answer")
}
