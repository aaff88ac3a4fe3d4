package entry

import (
	"context"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/test/standin/unending"
)

// idleListener has no demand and needs no snapshot.
type idleListener struct{}

func (idleListener) demand() []*marbleroadv1.TeamDemand { return nil }
func (idleListener) update(_ *view.Snapshot, _ *Share)  {}

// A view without an end was read until the call's timeout, hundreds of megabytes.
func TestEndlessViewFails(t *testing.T) {
	for name, response := range unending.RPCs() {
		for _, pause := range []time.Duration{0, unending.Slow} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				peers, err := transport.NewPeers(settings.TLS{}, "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				s := NewSource(SourceConfig{Controls: []string{unending.NewRPC(t, response, pause)}}, nil, peers)
				s.listener = idleListener{}
				if err := s.readView(context.Background()); err == nil || s.Loaded() {
					t.Errorf("error %v, loaded %t", err, s.Loaded())
				}
				if in, _ := peers.Traffic.Peers.Bytes(); in > unending.MaxRPCBytes(transport.MaxMessageBytes) {
					t.Errorf("%d bytes were read", in)
				}
			})
		}
	}
}
