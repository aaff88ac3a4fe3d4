// Package ctl implements marbleroadctl, the operators' command line: it edits the
// operators' table, drains VMs, and shows the status of nodes and the history of requests.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/daemon"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// Exit codes, for scripts.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	// exitInvalid means that the change is invalid: the control daemon rejected it, or its CSV file has
	// errors.
	exitInvalid = 4
	// exitUnknown means that the outcome of the change is unknown.
	exitUnknown = 5
)

// Environment variables that are read if the corresponding flag is not given. envToken
// holds the operators' token itself, where --token-file names a file.
const (
	envControl = "MARBLEROAD_CONTROL"
	envToken   = "MARBLEROAD_TOKEN"
	envNode    = "MARBLEROAD_NODE"
)

// Sentinel errors that select the exit code.
var (
	errConflict = errors.New("conflict with another change")
	errInvalid  = errors.New("the change is invalid")
	errUnknown  = errors.New("the outcome of the change is unknown")
	errUsage    = errors.New("usage")
)

type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
	formatCSV   format = "csv"
)

// app holds the flags and streams of one run of the command line.
type app struct {
	in  io.Reader
	out io.Writer

	control   string
	node      string
	tokenFile string
	output    string
	author    string
	timeout   time.Duration
	tls       settings.TLS
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "error:", message(err))
	return exitCode(err)
}

// message returns the error text to print; for an RPC error, its code and message.
func message(err error) string {
	var remote *connect.Error
	if errors.As(err, &remote) {
		return remote.Code().String() + ": " + remote.Message()
	}
	return err.Error()
}

// exitCode returns the exit code for the sentinel error that err wraps.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errConflict):
		return exitConflict
	case errors.Is(err, errInvalid):
		return exitInvalid
	case errors.Is(err, errUnknown):
		return exitUnknown
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailure
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "marbleroadctl",
		Short: "Operate marbleroad: edit its table, inspect its nodes and requests, drain VMs.",
		Long: `Operate marbleroad: edit its table, inspect its nodes and requests, drain VMs.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another
change, 4 the change is invalid, 5 the outcome of the change is unknown.

The operators' token is read from --token-file, or from ` + envToken + `.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.control, "control", os.Getenv(envControl), "address of any control daemon, an IP address and port (or "+envControl+")")
	flags.StringVar(&a.tokenFile, "token-file", "", "file that holds the operators' token")
	flags.StringVarP(&a.output, "output", "o", string(formatTable), "output: table, json or csv")
	flags.StringVar(&a.author, "author", defaultAuthor(), "name recorded with changes")
	flags.DurationVar(&a.timeout, "timeout", 10*time.Second, "timeout of one call")
	flags.StringVar(&a.tls.PeerCert, "cert", "", "client certificate, when the marbleroad processes use mutual TLS")
	flags.StringVar(&a.tls.PeerKey, "key", "", "private key of --cert")
	flags.StringVar(&a.tls.PeerCA, "ca", "", "CA that signs the control daemons' certificates")
	root.AddCommand(a.tableCommand(), a.statusCommand(), a.drainCommand(true), a.drainCommand(false), a.explainCommand(), a.nodeCommand(), versionCommand())
	return root
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version.",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			_, _ = fmt.Fprintln(c.OutOrStdout(), "marbleroadctl", daemon.Version())
		},
	}
}

// client returns a client of the control daemon that --control names.
func (a *app) client() (marbleroadv1connect.OperatorServiceClient, error) {
	return a.clientFor(a.control)
}

// clientFor returns a client of the control daemon at the address, which authenticates
// with the operators' token.
func (a *app) clientFor(address string) (marbleroadv1connect.OperatorServiceClient, error) {
	if address == "" {
		return nil, errors.Wrapf(errUsage, "no control daemon: give --control or set %s; "+
			"for marbleroad-node, whose configuration is stored on the platform, see marbleroadctl node", envControl)
	}
	switch format(a.output) {
	case formatTable, formatJSON, formatCSV:
	default:
		return nil, errors.Wrapf(errUsage, "output %q: allowed are table, json and csv", a.output)
	}
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	peers, err := transport.NewPeers(a.tls, "")
	if err != nil {
		return nil, err
	}
	auth := connect.WithInterceptors(bearer(token))
	client := bodylimit.RPCClient(peers.Client(), transport.MaxMessageBytes)
	return marbleroadv1connect.NewOperatorServiceClient(client, peers.URL(address), bodylimit.RPCOptions(transport.MaxMessageBytes), auth), nil
}

// token returns the operators' token, from --token-file or else from the environment.
func (a *app) token() (string, error) {
	if a.tokenFile == "" {
		return os.Getenv(envToken), nil
	}
	data, err := os.ReadFile(a.tokenFile)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read token")
}

// bearer returns an interceptor that adds the token to each call.
func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, r)
		}
	}
}

// context returns the command's context with the timeout of one call.
func (a *app) context(c *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := c.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return context.WithTimeout(ctx, a.timeout)
}
