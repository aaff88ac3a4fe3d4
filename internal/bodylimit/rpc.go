package bodylimit

import (
	"compress/gzip"
	"io"
	"net/http"

	"connectrpc.com/connect"
)

// RPCClient returns an HTTP client for RPC responses of up to maxBytes bytes, as set by connect.WithReadMaxBytes.
// Connect reads the rest of a longer response until the call's timeout; with this client, it reads one byte more
// than maxBytes, and closes the response.
func RPCClient(client *http.Client, maxBytes int) connect.HTTPClient {
	return rpcClient{client: client, maxBytes: int64(maxBytes)}
}

// rpcClient implements connect.HTTPClient.
type rpcClient struct {
	client   *http.Client
	maxBytes int64
}

// Do implements connect.HTTPClient.
func (c rpcClient) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{Reader(resp.Body, c.maxBytes+1), resp.Body}
	return resp, nil
}

// gzipName is the name of connect's compression.
const gzipName = "gzip"

// RPCOptions returns the options of a client whose responses have up to maxBytes bytes and may be compressed.
// Connect would decompress the rest of a longer response, whatever the call's timeout.
func RPCOptions(maxBytes int) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithReadMaxBytes(maxBytes),
		connect.WithAcceptCompression(gzipName,
			func() connect.Decompressor { return &decompressor{maxBytes: int64(maxBytes)} },
			func() connect.Compressor { return gzip.NewWriter(io.Discard) },
		),
	)
}

// decompressor decompresses up to maxBytes bytes and one more. It is used by one goroutine at a time.
type decompressor struct {
	maxBytes int64
	gzip     gzip.Reader
	limited  io.Reader
}

// Read implements io.Reader.
func (d *decompressor) Read(p []byte) (int, error) { return d.limited.Read(p) }

// Close implements connect.Decompressor.
func (d *decompressor) Close() error { return d.gzip.Close() }

// Reset implements connect.Decompressor.
func (d *decompressor) Reset(r io.Reader) error {
	d.limited = Reader(&d.gzip, d.maxBytes+1)
	return d.gzip.Reset(r)
}
