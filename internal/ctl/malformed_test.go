package ctl

import (
	"strings"
	"testing"

	"github.com/marbleroad/marbleroad/test/standin/malformed"
)

// TestMalformedAnswerOfNodeIsAnError guards against a view that is printed although the answer that carries it is none.
func TestMalformedAnswerOfNodeIsAnError(t *testing.T) {
	const view, length = `{"node":"a"}`, "Content-Length: 12\r\n"
	const chunks = "c\r\n" + view + "\r\n0\r\n"
	for name, c := range map[string]struct {
		answer malformed.Answer
		valid  bool
	}{
		"valid":              {malformed.Answer{Status: "HTTP/1.1 200 OK", Fields: length, Body: view}, true},
		"blank in a name":    {malformed.Answer{Status: "HTTP/1.1 200 OK", Fields: length + "Foo Bar: x\r\n", Body: view}, false},
		"blank in a trailer": {malformed.Answer{Status: "HTTP/1.1 200 OK", Fields: "Transfer-Encoding: chunked\r\n", Body: chunks + "Foo Bar: x\r\n\r\n"}, false},
		"status 000":         {malformed.Answer{Status: "HTTP/1.1 000 OK", Fields: length, Body: view}, false},
		"version 2":          {malformed.Answer{Status: "HTTP/2.0 200 OK", Fields: length, Body: view}, false},
	} {
		t.Run(name, func(t *testing.T) {
			code, out := run("node", "status", "--timeout", endlessTimeout, "--node", c.answer.Serve(t))
			if (code == exitOK) != c.valid || strings.Contains(out, "deadline") {
				t.Errorf("exit code %d: %s", code, out)
			}
		})
	}
}
