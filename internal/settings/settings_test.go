package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

// TestConfigurationPage compares docs/CONFIGURATION.md with Keys. Run the test with
// -update to regenerate the page.
func TestConfigurationPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(`# Settings

The daemons read one INI file, named on their command line. The file is
validated as a whole; ` + "`check-config`" + ` does only that. An unknown key, a value
that is not allowed, a host name in place of an IP address, and two listeners at
one address are reported with file, section and key. This page is generated from
the code (` + "`go test ./internal/settings -update`" + `).

`)
	section := ""
	for _, k := range Keys {
		if k.Section != section {
			section = k.Section
			_, _ = fmt.Fprintf(&b, "## [%s]\n\n| key | default | allowed | effect |\n|---|---|---|---|\n", section)
		}
		value := k.Default
		if value == "" {
			value = "none"
		}
		requirement := ""
		switch len(k.Required) {
		case 1:
			requirement = " Required by " + string(k.Required[0]) + "."
		case 3:
			requirement = " Required by all daemons."
		}
		_, _ = fmt.Fprintf(&b, "| %s | %s | %s | %s%s |\n", k.Name, value, k.Allowed, k.Doc, requirement)
		if lastOfSection(k) {
			b.WriteByte('\n')
		}
	}
	b.WriteString("## Limits without a key\n\nThey hold for each connection or request, besides what node.memory allows for all together.\n\n| limit | value | beyond it |\n|---|---|---|\n")
	for _, l := range FixedLimits {
		_, _ = fmt.Fprintf(&b, "| %s | %s | %s |\n", l.Name, l.Value, l.Doc)
	}
	page := strings.TrimRight(b.String(), "\n") + "\n"
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "CONFIGURATION", []byte(page))
}

// lastOfSection reports whether the key is the last one of its section.
func lastOfSection(k Key) bool {
	for i, other := range Keys {
		if other.Section == k.Section && other.Name == k.Name {
			return i == len(Keys)-1 || Keys[i+1].Section != k.Section
		}
	}
	return false
}

// validFile has the settings that the entry and the control daemon require, and not those that
// marbleroad-node requires.
const validFile = `[node]
id = obuda-1
failure_domain = obuda
[platform]
url = http://10.0.0.9:9000
[entry]
listen = 10.0.0.1:8080
admin = 10.0.0.1:8081
peer = 10.0.0.1:8082
control = 10.0.0.1:7070, 10.0.0.2:7070
[control]
listen = 10.0.0.1:7070
admin = 10.0.0.1:7071
`

func load(t *testing.T, text string, p Program) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "m.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path, p)
	if err != nil {
		err = errors.Newf("%s", strings.ReplaceAll(err.Error(), path, "m.ini"))
	}
	return s, err
}

func TestGoodSettings(t *testing.T) {
	for _, p := range []Program{EntryProgram, ControlProgram} {
		s, err := load(t, validFile, p)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Entry.Control) != 2 || s.Control.Advertise != "10.0.0.1:7070" {
			t.Errorf("%s: %+v", p, s)
		}
	}
}

// TestDescriptorsAreInRange guards the range of node.descriptors: nodes have thousands of them.
func TestDescriptorsAreInRange(t *testing.T) {
	for value, valid := range map[string]bool{"0": true, "64": true, "4100": true, "16384": true, "1048576": true, "-1": false, "1": false, "63": false, "many": false} {
		text := strings.Replace(validFile, "id = obuda-1", "id = obuda-1\ndescriptors = "+value, 1)
		if _, err := load(t, text, EntryProgram); (err == nil) != valid {
			t.Errorf("%s: %v", value, err)
		}
	}
}

// TestFaultsAreNamed compares the error messages for invalid files with the golden file.
func TestFaultsAreNamed(t *testing.T) {
	cases := []struct{ name, text string }{
		{"unknown key", validFile + "[log]\nlevle = info\n"},
		{"unknown section", validFile + "[nodes]\nid = x\n"},
		{"bad level", validFile + "[log]\nlevel = loud\n"},
		{"no unit", validFile + "[presence]\nwindow = 3\n"},
		{"window too short", validFile + "[presence]\nwindow = 1s\n"},
		{"host name", strings.Replace(validFile, "10.0.0.1:8080", "entry.example:8080", 1)},
		{"host name in URL", strings.Replace(validFile, "10.0.0.9:9000", "platform.example", 1)},
		{"port clash", strings.Replace(validFile, "10.0.0.1:8081", "10.0.0.1:8080", 1)},
		{"missing", strings.Replace(validFile, "id = obuda-1\n", "", 1)},
		{"certificate without key", validFile + "[tls]\ncaller_cert = c.pem\n"},
		{"half of mutual TLS", validFile + "[tls]\npeer_cert = c.pem\n"},
		{"weight below zero", validFile + "[overload]\nfair_shares = yes\nteam_weights = a=-1\n"},
		{"reserves over one", validFile + "[overload]\nfair_shares = yes\nreserve = a=0.7 b=0.4\n"},
		{"too many reserves", validFile + "[overload]\nfair_shares = yes\nreserve = " + "a=.01 b=.01 c=.01 d=.01 e=.01 f=.01 g=.01 h=.01 i=.01 j=.01 k=.01 l=.01 m=.01 n=.01 o=.01 p=.01 q=.01\n"},
		{"reserve without shares", validFile + "[overload]\nreserve = a=0.2\n"},
		{"several at once", strings.Replace(validFile, "obuda-1", "Obuda 1", 1) + "[entry]\nmax_body = 0\n"},
		{"no INI", "what is this"},
	}
	var b strings.Builder
	for _, c := range cases {
		_, err := load(t, c.text, EntryProgram)
		_, _ = fmt.Fprintf(&b, "# %s\n%v\n", c.name, err)
	}
	goldie.New(t).Assert(t, "faults", []byte(b.String()))
}

// FuzzLoad loads arbitrary bytes as a settings file: Load must not panic, and a file that it
// accepts has the settings that the daemon requires.
func FuzzLoad(f *testing.F) {
	f.Add(validFile)
	f.Add("[node]\nid = \x00\n")
	f.Add("[")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := load(t, text, ControlProgram)
		if err == nil && (s.Node.ID == "" || s.Control.Listen == "") {
			t.Fatal("accepted without the required settings")
		}
	})
}
