package control

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/table"
)

const (
	// statusTimeout bounds the wait for the state actor's response to a status request.
	statusTimeout = time.Second
	// explainTimeout bounds the queries that Explain sends to all entries.
	explainTimeout = time.Second
	// maxExplainBytes bounds an entry's response, in bytes: some dozens of lines. All entries respond at once.
	maxExplainBytes = 64 << 10
)

// operatorHandler returns the path and handler of OperatorService, which requires the
// operators' token.
func (k *Control) operatorHandler() (string, http.Handler) {
	path, handler := marbleroadv1connect.NewOperatorServiceHandler(operatorHandler{k}, limitMessageSize)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.operatorAllowed(r.Header) {
			k.parts.Log.Emit(event.InvalidOperatorToken).Str("address", r.RemoteAddr).Send()
			_ = connect.NewErrorWriter().Write(w, r, connect.NewError(connect.CodeUnauthenticated, errors.New("no valid operator token")))
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// operatorAllowed reports whether the request carries the operators' token.
func (k *Control) operatorAllowed(h http.Header) bool {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || k.config.OperatorTokenSHA256 == "" {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	given := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(given), []byte(k.config.OperatorTokenSHA256)) == 1
}

// operatorHandler implements OperatorService.
type operatorHandler struct{ k *Control }

// GetTable implements OperatorService. Rows that cannot be decoded are left out.
func (h operatorHandler) GetTable(_ context.Context, r *connect.Request[marbleroadv1.GetTableRequest]) (*connect.Response[marbleroadv1.GetTableResponse], error) {
	prefix := item.TablePrefix
	if sheet := r.Msg.GetSheet(); sheet != "" {
		if _, err := table.Lookup(table.SheetName(sheet)); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		prefix += sheet + "/"
	}
	out := &marbleroadv1.GetTableResponse{}
	for _, it := range h.k.items.List(prefix) {
		row, err := table.Decode(it.Value)
		if err != nil || (row.Deleted && !r.Msg.GetIncludeDeleted()) {
			continue
		}
		out.Rows = append(out.Rows, &marbleroadv1.Item{Key: it.Key, Version: it.Version, Value: it.Value})
	}
	return connect.NewResponse(out), nil
}

// Status implements OperatorService.
func (h operatorHandler) Status(context.Context, *connect.Request[marbleroadv1.StatusRequest]) (*connect.Response[marbleroadv1.StatusResponse], error) {
	response, err := h.k.system.Root.RequestFuture(h.k.state, statusRequested{}, statusTimeout).Result()
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	status, ok := response.(*marbleroadv1.StatusResponse)
	if !ok {
		return nil, connect.NewError(connect.CodeInternal, errors.New("unexpected answer"))
	}
	return connect.NewResponse(status), nil
}

// Explain implements OperatorService. It queries all known entries and merges the steps that
// they recorded.
func (h operatorHandler) Explain(ctx context.Context, r *connect.Request[marbleroadv1.ExplainRequest]) (*connect.Response[marbleroadv1.ExplainResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	k := h.k
	var mu sync.Mutex
	var group sync.WaitGroup
	found := &marbleroadv1.ExplainResponse{}
	for _, it := range k.items.List(item.NodePrefix) {
		rec, err := node.Decode(it.Value)
		if err != nil || rec.Retired || rec.EntryPeer == "" {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			resp, err := k.entryClient(rec.EntryPeer).Explain(ctx, connect.NewRequest(r.Msg))
			if err != nil || !resp.Msg.GetFound() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found.Found = true
			found.EntryId += resp.Msg.GetEntryId() + " "
			for _, step := range resp.Msg.GetSteps() {
				found.Steps = append(found.Steps, resp.Msg.GetEntryId()+" "+step)
			}
		}()
	}
	group.Wait()
	found.EntryId = strings.TrimSpace(found.GetEntryId())
	return connect.NewResponse(found), nil
}

// explainOptions limits and decompresses the responses of entries.
var explainOptions = bodylimit.RPCOptions(maxExplainBytes)

// entryClient returns a client of an entry.
func (k *Control) entryClient(address string) marbleroadv1connect.EntryServiceClient {
	client := bodylimit.RPCClient(k.client, maxExplainBytes)
	return marbleroadv1connect.NewEntryServiceClient(client, k.parts.Peers.URL(address), explainOptions)
}
