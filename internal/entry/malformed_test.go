package entry

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/marbleroad/marbleroad/internal/portcheck"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/test/standin/malformed"
)

const (
	// uploadBytes is the size of a request that the buffers of its connection can't hold.
	uploadBytes = 12 << 20
	smallBytes  = 10
)

// testMalformed checks that no caller of an entry gets an answer of the given forms, of an upstream or of another entry, to
// a request of the given size, and that such an answer never proves that the request has not run.
func testMalformed(t *testing.T, answers map[string]*malformed.Answer, size int) {
	relays := map[string]func(*Server, http.ResponseWriter, *call, string, *http.Response) *verdict.Error{
		"plain": func(s *Server, w http.ResponseWriter, c *call, address string, resp *http.Response) *verdict.Error {
			_, failure := s.relayResponse(context.Background(), w, c, address, resp)
			return failure
		},
		"stream": func(s *Server, w http.ResponseWriter, c *call, address string, resp *http.Response) *verdict.Error {
			return s.relayEvents(context.Background(), w, c, eventID{}, address, resp)
		},
		"of another entry": func(s *Server, w http.ResponseWriter, c *call, _ string, resp *http.Response) *verdict.Error {
			return s.relayPeerResponse(w, c, resp)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		for kind, relayFrom := range relays {
			t.Run(name+"/"+kind, func(t *testing.T) {
				address := answers[name].Serve(t, relay.RequestIDHeader)
				for _, once := range []bool{false, true} {
					s, c := newLoggingServer(t, io.Discard)
					s.sender, s.ports, s.source = relay.NewSender(&net.Dialer{}, nil), portcheck.New(&net.Dialer{}), &Source{}
					s.source.snapshot.Store(&view.Snapshot{})
					c.id = "r1"
					w := httptest.NewRecorder()
					observed := false
					resp, err := s.sender.Send(context.Background(), relay.Outgoing{Address: address, Method: http.MethodPost, Path: "/x",
						Body: make([]byte, size), RequestID: c.id, AtMostOnce: once, RequireEcho: true, OnResponse: func(int, http.Header) { observed = true }})
					var failure *verdict.Error
					if err != nil {
						failure = verdict.As(err)
					} else {
						failure = relayFrom(s, w, c, address, resp)
						_ = resp.Body.Close()
					}
					switch {
					case err != nil && observed:
						t.Error("header fields of the answer were used")
					case failure == nil && !c.aborted && !c.endedWithError:
						t.Errorf("status %d, body %.40q", w.Code, w.Body)
					case failure != nil && failure.Verdict != verdict.MayHaveRun:
						t.Errorf("verdict %v", failure.Verdict)
					}
				}
			})
		}
	}
}

// TestPartUnderAnUploadReachesNoCaller guards against a part of an answer without a length that looks whole: its
// connection was reset while the request was being written, and only the write sees the reset.
func TestPartUnderAnUploadReachesNoCaller(t *testing.T) {
	testMalformed(t, malformed.Parts, uploadBytes)
}

// TestAnswerWithoutValidStatusReachesNoCaller guards against callers that get no answer at all, since net/http can't pass
// such a status on, and against a part that looks whole as its version has other framing.
func TestAnswerWithoutValidStatusReachesNoCaller(t *testing.T) {
	testMalformed(t, malformed.Statuses, smallBytes)
}

// TestAnswerWithInvalidFieldNameReachesNoCaller guards against an answer that is passed on without a line of its head, or
// with a body that is not the upstream's, as net/http doesn't see its framing.
func TestAnswerWithInvalidFieldNameReachesNoCaller(t *testing.T) {
	testMalformed(t, malformed.Names, smallBytes)
}
