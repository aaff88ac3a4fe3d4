package endless

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// limited fails once it has taken some bytes.
type limited struct{ text strings.Builder }

var errFull = errors.New("full")

func (l *limited) Write(p []byte) (int, error) {
	if l.text.Len() > 1<<20 {
		return 0, errFull
	}
	return l.text.Write(p)
}

func TestAnswersHaveNoEnd(t *testing.T) {
	for _, kind := range append(Heads, Bodies...) {
		var out limited
		n := Send(&out, kind, http.Header{"Attempt-Id": {"7"}}, 0)
		if n != int64(out.text.Len()) || n <= 1<<20 {
			t.Errorf("%s: %d bytes", kind, n)
		}
	}
}

func TestShareOfRequestsIsAnsweredWithoutEnd(t *testing.T) {
	const requests = 10_000
	m := &Mode{Kinds: Bodies, Share: 0.25, Seed: 7}
	kinds := make(map[Kind]int)
	for i := range requests {
		if kind, ok := m.draw(fmt.Sprint(i)); ok {
			kinds[kind]++
		}
	}
	total := 0
	for _, n := range kinds {
		total += n
	}
	if total < requests/5 || total > requests*3/10 || len(kinds) != len(Bodies) {
		t.Errorf("%d of %d requests, %v", total, requests, kinds)
	}
	if _, ok := (*Mode)(nil).draw("1"); ok {
		t.Error("drawn without a mode")
	}
}
