package control

import (
	"context"
	"testing"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/unending"
)

// A response of another control daemon or of an entry without an end was read until the call's timeout, and that of an
// entry into memory.
func TestEndlessResponseOfAPeerFails(t *testing.T) {
	calls := map[string]struct {
		max  int
		call func(context.Context, *Control, string) error
	}{
		"exchange": {transport.MaxMessageBytes, func(ctx context.Context, k *Control, address string) error {
			_, err := k.peerClient(address).Exchange(ctx, connect.NewRequest(&marbleroadv1.ExchangeRequest{}))
			return err
		}},
		"explain": {maxExplainBytes, func(ctx context.Context, k *Control, address string) error {
			_, err := k.entryClient(address).Explain(ctx, connect.NewRequest(&marbleroadv1.ExplainRequest{}))
			return err
		}},
	}
	for callName, c := range calls {
		for name, response := range unending.RPCs() {
			t.Run(callName+" "+name, func(t *testing.T) {
				peers, err := transport.NewPeers(settings.TLS{}, "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				k := &Control{client: peers.Client(), parts: Parts{Peers: peers}}
				ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
				defer cancel()
				if err := c.call(ctx, k, unending.NewRPC(t, response, 0)); err == nil {
					t.Error("no error")
				}
				if in, _ := peers.Traffic.Peers.Bytes(); in > unending.MaxRPCBytes(c.max) {
					t.Errorf("%d bytes were read", in)
				}
			})
		}
	}
}
