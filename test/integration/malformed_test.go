package integration

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/marbleroad/marbleroad/test/standin/malformed"
)

// TestNodePassesOnNoPartUnderAnUpload guards against a part of an answer that a node passes on as the whole: its upstream
// answers a long upload at once and without a length, and resets the connection while the upload is being sent.
func TestNodePassesOnNoPartUnderAnUpload(t *testing.T) {
	t.Parallel()
	const uploadBytes, requests = 12 << 20, 10
	s := newPlatformDeployment(t, 1)
	configuration := nodeConfiguration(2)
	configuration["limits"] = map[string]any{"max-body-bytes": uploadBytes}
	s.store.Put("config", "main", configuration)
	upload := func(id string) (status int, body []byte, err error) {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/read/%s", s.nodes[0].ip, nodeListenPort, id), bytes.NewReader(make([]byte, uploadBytes)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		for name, value := range map[string]string{"Attempt-Id": id, "Api-Key": "key", "Deadline-Ms": "20000"} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return 0, nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err = io.ReadAll(resp.Body)
		return resp.StatusCode, body, err
	}
	s.eventually("uploads are served", func() bool {
		status, _, err := upload("first")
		return err == nil && status == http.StatusOK
	})
	s.engines["plain-0"].Malformed.Store(malformed.Parts["reset"])
	for i := range requests {
		if status, body, err := upload(fmt.Sprint(i)); err == nil && status < http.StatusInternalServerError {
			t.Errorf("status %d, body %q", status, body)
		}
	}
	if s.engines["plain-0"].Executed.Load() < 2 {
		t.Error("no request got a part")
	}
}
