package cluster

import (
	"testing"

	"google.golang.org/protobuf/proto"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

// BenchmarkAnswerToAMember measures the time a hub needs to respond to a member's exchange, and the
// size of the response.
func BenchmarkAnswerToAMember(b *testing.B) {
	c, member := newHub(b)
	size := 0
	for b.Loop() {
		size = proto.Size(c.respond(&marbleroadv1.ShareStateRequest{State: member}))
	}
	b.ReportMetric(float64(size), "bytes")
}
