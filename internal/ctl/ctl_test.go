package ctl

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/table"
)

// TestHelp compares the help text of each command with the golden file.
func TestHelp(t *testing.T) {
	t.Setenv(envControl, "")
	t.Setenv(envToken, "")
	t.Setenv(envNode, "")
	var out bytes.Buffer
	for _, args := range [][]string{{}, {"table"}, {"table", "set"}, {"table", "apply"}, {"status"}, {"drain"}, {"explain"}, {"node"}, {"node", "groups"}} {
		if code := Main(append(args, "--help"), strings.NewReader(""), &out, &out); code != exitOK {
			t.Errorf("%v --help: exit code %d", args, code)
		}
		out.WriteString("----\n")
	}
	text := out.String()
	for _, line := range strings.Split(text, "\n") {
		if strings.Contains(line, "--author string") {
			// The default is the name of the user who runs the test.
			text = strings.ReplaceAll(text, line, "      --author string       name recorded with changes")
		}
	}
	goldie.New(t).Assert(t, "help", []byte(text))
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"status"},
		{"--control", "127.0.0.1:1", "-o", "yaml", "status"},
		{"--control", "127.0.0.1:1", "table", "get", "nothing"},
		{"--control", "127.0.0.1:1", "table", "set", "teams", "a", "weight"},
	} {
		var out bytes.Buffer
		if code := Main(args, strings.NewReader(""), &out, &out); code != exitUsage {
			t.Errorf("%v: exit code %d: %s", args, code, out.String())
		}
	}
}

func TestStatusFormats(t *testing.T) {
	m := &marbleroadv1.StatusResponse{
		NodeId: "obuda-1", FailureDomain: "obuda", TableDigest: 0xabc, TableRows: 7, StrandedVms: 3,
		Groups: []*marbleroadv1.GroupStatus{
			{Group: "g-0", Service: "nowcast", Fabric: "f1", Generation: 4, Size: 4, Serving: true},
			{Group: "g-1", Service: "nowcast", Fabric: "f1", Generation: 5, Size: 4, Reason: "missing VM", Missing: []string{"vm-3"}, Stranded: 3, DownSeconds: 12.4},
		},
		Nodes: []*marbleroadv1.NodeStatus{
			{Id: "obuda-1", FailureDomain: "obuda", Address: "10.0.0.1:7070", Alive: true, TableDigest: 0xabc},
			{Id: "obuda-2", FailureDomain: "obuda", Address: "10.0.0.2:7070"},
		},
	}
	var out bytes.Buffer
	for _, f := range []format{formatTable, formatCSV, formatJSON} {
		a := &app{out: &out, output: string(f)}
		if err := a.printStatus(m); err != nil {
			t.Fatal(err)
		}
		out.WriteString("----\n")
	}
	goldie.New(t).Assert(t, "status", out.Bytes())
}

// FuzzParseSheet parses arbitrary bytes as a CSV sheet: the parser either returns an error,
// or every edit has a valid row name.
func FuzzParseSheet(f *testing.F) {
	f.Add("name,weight\na,1\n")
	f.Add("name,version,weight\na,,1\nb,2,3\n")
	f.Add("# comment\nname\n\"a\n")
	f.Fuzz(func(t *testing.T, text string) {
		sheet, err := table.Lookup(table.Teams)
		if err != nil {
			t.Fatal(err)
		}
		edits, err := parseSheet(sheet, strings.NewReader(text), false)
		if err != nil {
			return
		}
		for _, e := range edits {
			if table.CheckName(e.GetName()) != nil {
				t.Fatalf("accepted a row named %q", e.GetName())
			}
		}
	})
}
