package integration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/marbleroad/marbleroad/internal/ctl"
)

// ctl runs marbleroadctl against a node's control daemon and returns its output and exit code.
func (s *deployment) ctl(nd *node, args ...string) (string, int) {
	return s.ctlIn(nd, "", args...)
}

// ctlIn runs marbleroadctl like ctl, with the given text as standard input.
func (s *deployment) ctlIn(nd *node, stdin string, args ...string) (string, int) {
	var out bytes.Buffer
	all := append([]string{"--control", fmt.Sprintf("%s:%d", nd.ip, controlPort), "--token-file", s.tokenFile, "--timeout", "5s"}, s.ctlTLSFlags...)
	all = append(all, args...)
	code := ctl.Main(all, strings.NewReader(stdin), &out, &out)
	return out.String(), code
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// loadTables writes the sample table and waits until it is in force everywhere and the groups serve. Each failure
// domain has one group row with the given VMs per group and replicas.
func (s *deployment) loadTables(domains []string, vms, replicas int) {
	s.t.Helper()
	services := "name,kind,pool,idempotent\nnowcast,model,,yes\ntiles,plain,tiles,yes\nwarnings,plain,tiles,no\n"
	teams := fmt.Sprintf("name,key_sha256,weight,max_priority\nforecasters,%s,4,9\nagrimet,%s,1,5\n", keyHash(teamKey), keyHash(bulkKey))
	groups := "name,service,failure_domain,fabric,pool,vms,replicas,load_time\n"
	for _, d := range domains {
		groups += fmt.Sprintf("g-%s,nowcast,%s,f1,models,%d,%d,100ms\n", d, d, vms, replicas)
	}
	for _, sheet := range [][2]string{{"services", services}, {"teams", teams}, {"groups", groups}} {
		s.eventually("sheet "+sheet[0]+" is accepted", func() bool {
			_, code := s.ctlIn(s.nodes[0], sheet[1], "table", "apply", sheet[0], "-")
			return code == 0
		})
	}
	s.eventually("every entry serves", func() bool {
		return s.everyNode(func(nd *node) bool { return s.serves(nd) })
	})
}

// serves reports whether the node serves a model request and a plain one in its own failure domain. The hop header
// prevents a spill.
func (s *deployment) serves(nd *node) bool {
	hop := map[string]string{"Marbleroad-Hop": "test"}
	model := s.call(nd, request{header: hop})
	plain := s.call(nd, request{path: "/services/tiles/x", method: "GET", header: hop})
	return model.status == 200 && plain.status == 200
}
