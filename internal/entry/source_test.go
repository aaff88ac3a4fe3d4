package entry

import (
	"testing"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// TestSharesOfAControlStartAreNotTaken guards against limits that an entry used in full while its control process started and had
// read nothing yet.
func TestSharesOfAControlStartAreNotTaken(t *testing.T) {
	const control, limit = "c1", 12.0
	s := NewSource(SourceConfig{Controls: []string{control}}, nil, &transport.Peers{})
	s.adoptView(control, &marbleroadv1.GetViewResponse{TableLoaded: true, LiveEntries: 3, AllEntries: 6})
	s.adoptView(control, &marbleroadv1.GetViewResponse{})
	if rate := s.Share().localRate("team", limit); rate != limit/6 {
		t.Errorf("the entry uses %v of a limit of %v, which six entries share", rate, limit)
	}
}
