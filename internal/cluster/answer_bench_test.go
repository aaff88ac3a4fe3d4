package cluster

import (
	"testing"

	"google.golang.org/protobuf/proto"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

// BenchmarkAnswerToAMember is what a hub spends on a member's exchange, and sends.
func BenchmarkAnswerToAMember(b *testing.B) {
	c, member := answeringHub(b)
	size := 0
	for b.Loop() {
		size = proto.Size(c.answer(&marbleroadv1.ShareStateRequest{State: member}))
	}
	b.ReportMetric(float64(size), "bytes")
}
