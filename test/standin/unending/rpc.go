package unending

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// streamWindow is how many bytes the HTTP/2 client receives of a response before they are read.
const streamWindow = 4 << 20

// MaxRPCBytes returns how many bytes a caller may receive of an RPC response that it accepts up to maxBytes bytes of.
func MaxRPCBytes(maxBytes int) int64 { return int64(maxBytes) + streamWindow + 64<<10 }

// RPC is a response of Connect over HTTP/2 without an end: Start once, and then Piece again and again.
type RPC struct {
	Status                int
	ContentType, Encoding string
	Start, Piece          string
}

// RPCs returns responses without an end to unary calls. The piece of a message may be any bytes: a message is decoded
// once it is complete.
func RPCs() map[string]RPC {
	piece := strings.Repeat("x", 16<<10)
	return map[string]RPC{
		"message":          {http.StatusOK, "application/proto", "", "", piece},
		"packed message":   {http.StatusOK, "application/proto", "gzip", "", piece},
		"error":            {http.StatusServiceUnavailable, "application/json", "", `{"code":"unavailable","message":"`, piece},
		"error of a proxy": {http.StatusBadGateway, "text/html", "", "", piece},
	}
}

// NewRPC starts an HTTP/2 server without TLS that sends the response to each call, and returns its address. With a pause
// it sends a byte after each pause.
func NewRPC(t testing.TB, response RPC, pause time.Duration) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response.write(w, r, pause)
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// write sends the response until the caller gives up.
func (p RPC) write(w http.ResponseWriter, r *http.Request, pause time.Duration) {
	w.Header().Set("Content-Type", p.ContentType)
	if p.Encoding != "" {
		w.Header().Set("Content-Encoding", p.Encoding)
	}
	w.WriteHeader(p.Status)
	_, err := w.Write([]byte(p.Start))
	for err == nil && r.Context().Err() == nil {
		piece := p.Piece
		if pause > 0 {
			piece = piece[:1]
			time.Sleep(pause)
		}
		_, err = w.Write([]byte(piece))
		w.(http.Flusher).Flush()
	}
}
