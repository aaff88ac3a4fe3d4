package transport

import (
	"io"
	"net"
	"testing"

	"github.com/marbleroad/marbleroad/internal/settings"
)

// Parts of HTTP/2 (RFC 9113): kinds of frames and their flags.
const (
	dataFrame, headersFrame, settingsFrame = 0, 1, 4
	endStream, endHeaders                  = 0x1, 0x4
)

// flagged returns a frame of stream 1 with flags.
func flagged(kind, flags byte, payload string) string {
	const flagsAt = 4
	out := frame(kind, payload)
	out[flagsAt] = flags
	return string(out)
}

// serveFrames answers the first request of each connection with the frames, closes the connection, and returns its
// address.
func serveFrames(t *testing.T, frames string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				// The preface, the settings and the request have arrived once the client has sent this many bytes.
				const minRequest = 100
				for n := 0; n < minRequest; {
					read, err := c.Read(make([]byte, 1<<10))
					if err != nil {
						return
					}
					n += read
				}
				_, _ = io.WriteString(c, string(frame(settingsFrame, ""))+frames)
				// The client closes the connection, or the test's end does.
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}

// TestMalformedAnswerOfAPeerIsAnError guards against answers of another process that are none, or only a part.
func TestMalformedAnswerOfAPeerIsAnError(t *testing.T) {
	// A field without indexing is a zero, the name and the value, each behind its length; status 200 is an entry of the
	// static table, and any other status a value for its name there.
	const status200, field, blank, control = "\x88", "\x00\x01x\x01y", "\x00\x03x y\x01z", "\x00\x02x\x01\x01z"
	whole := func(head string) string {
		return flagged(headersFrame, endHeaders, head) + flagged(dataFrame, endStream, "body")
	}
	for name, c := range map[string]struct {
		frames string
		valid  bool
	}{
		"valid":                   {whole(status200 + field), true},
		"status 000":              {whole("\x08\x03000"), false},
		"status 099":              {whole("\x08\x03099"), false},
		"status 101":              {whole("\x08\x03101"), false},
		"status 600":              {whole("\x08\x03600"), false},
		"status of no number":     {whole("\x08\x03abc"), false},
		"blank in a name":         {whole(status200 + blank), false},
		"control byte in a name":  {whole(status200 + control), false},
		"blank in an interim":     {flagged(headersFrame, endHeaders, "\x08\x03103"+blank) + whole(status200), false},
		"blank in a trailer":      {flagged(headersFrame, endHeaders, status200) + flagged(dataFrame, 0, "body") + flagged(headersFrame, endStream|endHeaders, blank), false},
		"no end":                  {flagged(headersFrame, endHeaders, status200) + flagged(dataFrame, 0, "body"), false},
		"no end, length is there": {flagged(headersFrame, endHeaders, status200+"\x0f\x0d\x018") + flagged(dataFrame, endStream, "body"), false},
	} {
		t.Run(name, func(t *testing.T) {
			peers, err := NewPeers(settings.TLS{}, "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			resp, err := peers.Client().Get("http://" + serveFrames(t, c.frames))
			var data []byte
			if err == nil {
				data, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if (err == nil) != c.valid {
				t.Errorf("body %q, error %v", data, err)
			}
		})
	}
}
