package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/malformed"
)

const (
	// uploadBytes is the size of a request that the buffers of its connection can't hold.
	uploadBytes = 12 << 20
	// malformedRequests is the number of requests for each form of an answer and each kind of route.
	malformedRequests = 20
)

// upload sends a request with a body.
func (s *testSite) upload(t *testing.T, target, id string, size int) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.url+target, bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Api-Key": "key", "Deadline-Ms": "8000", "Model": "m"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// executed returns how many requests the VMs have begun to run.
func executed(vms []*groupengine.VM) (n int64) {
	for _, vm := range vms {
		n += int64(vm.Executed.Load())
	}
	return n
}

// passedOn reports whether an answer is so long that its beginning is with the caller when it breaks off.
func passedOn(a *malformed.Answer) bool { return len(a.Body) > 1<<20 }

// testMalformed checks that no caller gets an answer of the given forms to a request of the given size: one that may be
// repeated is answered by another upstream, a stream goes on at another head, and any other request fails without a
// promise that it has not run. A response whose beginning was passed on breaks off for its caller too. The upstream must
// count as failing.
func testMalformed(t *testing.T, answers map[string]*malformed.Answer, size int) {
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		t.Run(name+"/repeatable", func(t *testing.T) {
			log := &logBuffer{}
			s := newTestSite(t, options{log: log, maxBody: size})
			s.plain[0].Malformed.Store(answers[name])
			for i := range malformedRequests {
				target := fmt.Sprintf("/read/%d", i)
				resp := s.upload(t, target, target, size)
				data, err := io.ReadAll(resp.Body)
				whole := err == nil && resp.StatusCode == http.StatusOK && string(data) == "answer of api to "+target
				if brokenOff := err != nil && passedOn(answers[name]); !whole && !brokenOff {
					t.Errorf("status %d, body %.40q, error %v", resp.StatusCode, data, err)
				}
			}
			if len(log.events(t, upstreamEjected)) == 0 {
				t.Error("the upstream was not ejected")
			}
		})
		t.Run(name+"/stream", func(t *testing.T) {
			s := newTestSite(t, options{maxBody: size})
			s.heads[0].Malformed.Store(answers[name])
			for i := range malformedRequests {
				checkStream(t, s.upload(t, fmt.Sprintf("/stream/%d", i), fmt.Sprint(i), size))
			}
			if s.heads[0].Executed.Load() == 0 {
				t.Error("no request ran at the head with malformed answers")
			}
		})
		t.Run(name+"/not repeatable", func(t *testing.T) {
			s := newTestSite(t, options{maxBody: size})
			for _, vm := range s.plain {
				vm.Malformed.Store(answers[name])
			}
			for i := range malformedRequests {
				before := executed(s.plain)
				resp := s.upload(t, fmt.Sprintf("/once/%d", i), fmt.Sprint(i), size)
				data, err := io.ReadAll(resp.Body)
				brokenOff := err != nil && passedOn(answers[name])
				ran := executed(s.plain) - before
				if ran > 1 || (ran == 1 && resp.StatusCode != http.StatusBadGateway && !brokenOff) || (ran == 0 && resp.StatusCode != http.StatusServiceUnavailable) {
					t.Errorf("status %d, body %.40q, error %v, ran %d times", resp.StatusCode, data, err, ran)
				}
			}
			if executed(s.plain) == 0 {
				t.Error("no request ran")
			}
		})
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
	testMalformed(t, malformed.Statuses, 10)
}

// TestAnswerWithInvalidFieldNameReachesNoCaller guards against an answer that is passed on without a line of its head, or
// with a body that is not the upstream's, as net/http doesn't see its framing.
func TestAnswerWithInvalidFieldNameReachesNoCaller(t *testing.T) {
	testMalformed(t, malformed.Names, 10)
}

// TestForwardedCallGetsNoMalformedAnswer guards against the same answers from another node.
func TestForwardedCallGetsNoMalformedAnswer(t *testing.T) {
	for kind, size := range map[string]int{"parts": uploadBytes, "statuses": 10, "names": 10} {
		answers := map[string]map[string]*malformed.Answer{"parts": malformed.Parts, "statuses": malformed.Statuses, "names": malformed.Names}[kind]
		for _, name := range slices.Sorted(maps.Keys(answers)) {
			t.Run(kind+"/"+name, func(t *testing.T) {
				other := newOtherNode(t, "other", func(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
					if !strings.Contains(r.RequestURI, "malformed") {
						answer(w, r, e)
						return
					}
					forward.MarkResponse(w.Header(), e.Request)
					answers[name].Answer(w)
				})
				s := cutOffSite(t, options{maxBody: size}, other)
				for _, target := range []string{"/read/malformed", "/once/malformed", "/stream/malformed"} {
					resp := s.upload(t, target, target, size)
					data, err := io.ReadAll(resp.Body)
					if err == nil && resp.StatusCode != http.StatusBadGateway {
						t.Errorf("%s: status %d, body %.40q", target, resp.StatusCode, data)
					}
				}
			})
		}
	}
}
