// Package httpapi is the HTTP adapter of the engine interface. VMs of plain services
// respond to the same probe, without the fields that describe a group.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/jsonbody"
	"github.com/marbleroad/marbleroad/internal/presence"
)

// Paths of the engine's protocol.
const (
	StatusPath = "/v1/status"
	AssignPath = "/v1/assign"
)

// maxResponseBytes bounds the body of a response, which has a few hundred bytes. The control daemon probes hundreds of VMs
// at once.
const maxResponseBytes = 16 << 10

// Status is the wire format of the response to a probe.
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

// Client is a client of upstream VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client that uses the transport. Each call is bounded by its context.
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
	// An empty User-Agent is not sent: probes make up most of the control daemon's traffic in bytes.
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
	if err := bodylimit.Discard(resp.Body, maxResponseBytes); err != nil {
		return errors.Wrap(err, "assign")
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(engine.ErrFenced, "%s fence %d", address, order.Fence)
	}
	return errors.Newf("assign: engine answered %d", resp.StatusCode)
}

// decode decodes the response to a probe.
func decode(resp *http.Response, into *Status) error {
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("probe: upstream answered %d", resp.StatusCode)
	}
	return errors.Wrap(jsonbody.Decode(resp.Body, maxResponseBytes, into), "probe")
}
