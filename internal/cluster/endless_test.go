package cluster

import (
	"context"
	"testing"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/unending"
)

// A response of another node without an end was read until the exchange's timeout: hundreds of megabytes.
func TestEndlessResponseOfAnotherNodeFails(t *testing.T) {
	for name, response := range unending.RPCs() {
		t.Run(name, func(t *testing.T) {
			peers, err := transport.NewPeers(settings.TLS{}, "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
			defer cancel()
			to := Record{ID: "a", Address: unending.NewRPC(t, response, 0)}
			if _, err := newRPCLink(peers).Share(ctx, to, &marbleroadv1.ShareStateRequest{}); err == nil {
				t.Error("no error")
			}
			if in, _ := peers.Traffic.Peers.Bytes(); in > unending.MaxRPCBytes(maxShareBytes) {
				t.Errorf("%d bytes were read", in)
			}
		})
	}
}
