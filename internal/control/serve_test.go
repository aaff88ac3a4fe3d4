package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/item"
)

// TestTableReadDuringAnExchangeIsNotAnnounced guards against a response that says that the table was read and lacks its rows, since it was
// read while the response was built: without the platform, the peer took it for a table without rows.
func TestTableReadDuringAnExchangeIsNotAnnounced(t *testing.T) {
	const nodes, exchanges = 20000, 40
	for i := range exchanges {
		k, _ := newTestControl(t, nil)
		for n := range nodes {
			k.items.Adopt(item.Item{Key: fmt.Sprint(item.NodePrefix, n), Version: 1})
		}
		k.nodesRead.Store(true)
		read := make(chan struct{})
		go func() {
			defer close(read)
			time.Sleep(time.Duration(i) * 500 * time.Microsecond)
			k.items.Adopt(item.Item{Key: item.TablePrefix + "row", Version: 1})
			k.tableRead.Store(true)
		}()
		response, err := peerHandler{k}.Exchange(context.Background(), connect.NewRequest(&marbleroadv1.ExchangeRequest{FailureDomain: "a"}))
		<-read
		if err != nil {
			t.Fatal(err)
		}
		isRow := func(it *marbleroadv1.Item) bool { return strings.HasPrefix(it.GetKey(), item.TablePrefix) }
		if response.Msg.GetTableLoaded() && !slices.ContainsFunc(response.Msg.GetChanged(), isRow) {
			t.Fatalf("exchange %d: the table counts as read, and its row is missing", i)
		}
	}
}
