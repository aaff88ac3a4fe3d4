package feed

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/unending"
)

// A response of a leader without an end was read until the request's timeout: hundreds of megabytes.
func TestEndlessResponseOfALeaderFails(t *testing.T) {
	for name, response := range unending.RPCs() {
		for _, pause := range []time.Duration{0, unending.Slow} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				peers, err := transport.NewPeers(settings.TLS{}, "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := NewLeader(cluster.Record{}, nil, nil, testLog(t), peers.Client(), peers.URL)
				leader := cluster.Record{ID: "a", Address: unending.NewRPC(t, response, pause)}
				q := query{wait: 100 * time.Millisecond, maxAge: time.Second}
				_, _, err = follow(context.Background(), l, leader, q, func(ctx context.Context) (*connect.Response[marbleroadv1.FollowFleetResponse], time.Duration, error) {
					response, err := l.client(leader).FollowFleet(ctx, connect.NewRequest(&marbleroadv1.FollowFleetRequest{}))
					return response, 0, err
				})
				if err == nil || !l.failedUntil["a"].After(time.Now()) {
					t.Errorf("error %v, the leader counts as failed until %s", err, l.failedUntil["a"])
				}
				if in, _ := peers.Traffic.Peers.Bytes(); in > unending.MaxRPCBytes(maxResponseBytes) {
					t.Errorf("%d bytes were read", in)
				}
			})
		}
	}
}
