package bodylimit_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/bodylimit"
)

const maxBytes = 1 << 20

// packedResponse returns the address of a server that responds with compressed bytes.
func packedResponse(t *testing.T, data []byte) string {
	t.Helper()
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(out.Bytes())
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// status calls the server with the limits of an RPC client.
func status(url string) (*connect.Response[marbleroadv1.StatusResponse], error) {
	client := marbleroadv1connect.NewOperatorServiceClient(bodylimit.RPCClient(http.DefaultClient, maxBytes), url, bodylimit.RPCOptions(maxBytes))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Status(ctx, connect.NewRequest(&marbleroadv1.StatusRequest{}))
}

// All of a compressed response was expanded, a thousand times its size, after it had proved too long.
func TestExpandingResponseFails(t *testing.T) {
	_, err := status(packedResponse(t, make([]byte, 64<<20)))
	if connect.CodeOf(err) != connect.CodeResourceExhausted || !errors.Is(err, bodylimit.ErrTooLong) {
		t.Errorf("error %v", err)
	}
}

func TestCompressedResponseIsRead(t *testing.T) {
	// The name takes what the message's tag and length leave of maxBytes.
	want := &marbleroadv1.StatusResponse{NodeId: string(bytes.Repeat([]byte("x"), maxBytes-4))}
	data, err := proto.Marshal(want)
	if err != nil || len(data) != maxBytes {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
	url := packedResponse(t, data)
	for range 3 {
		if got, err := status(url); err != nil || !proto.Equal(got.Msg, want) {
			t.Errorf("error %v", err)
		}
	}
}
