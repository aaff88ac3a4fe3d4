// Package ctl is marbleroadctl: the operators' table, status, drain, explain.
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
	exitInvalid  = 4
	exitUnknown  = 5
)

// Environment variables that stand in for flags.
const (
	envControl = "MARBLEROAD_CONTROL"
	envToken   = "MARBLEROAD_TOKEN"
	envNode    = "MARBLEROAD_NODE"
)

// Sentinel errors that select the exit code.
var (
	errConflict = errors.New("another change came first")
	errInvalid  = errors.New("the change has faults")
	errUnknown  = errors.New("the outcome is unknown")
	errUsage    = errors.New("usage")
)

type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
	formatCSV   format = "csv"
)

// app is one run of the command line.
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

func message(err error) string {
	var remote *connect.Error
	if errors.As(err, &remote) {
		return remote.Code().String() + ": " + remote.Message()
	}
	return err.Error()
}

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
		Short: "Drive marbleroad from the operators' table.",
		Long: `Drive marbleroad from the operators' table.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another change came first,
4 the change has faults, 5 the outcome of the change is unknown.

The operators' token is read from --token-file, or from ` + envToken + `.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.control, "control", os.Getenv(envControl), "address of any control daemon, an IP number and port (or "+envControl+")")
	flags.StringVar(&a.tokenFile, "token-file", "", "file that holds the operators' token")
	flags.StringVarP(&a.output, "output", "o", string(formatTable), "output: table, json or csv")
	flags.StringVar(&a.author, "author", defaultAuthor(), "name noted with changes")
	flags.DurationVar(&a.timeout, "timeout", 10*time.Second, "bound on one call")
	flags.StringVar(&a.tls.PeerCert, "cert", "", "client certificate, when our processes use mutual TLS")
	flags.StringVar(&a.tls.PeerKey, "key", "", "key of --cert")
	flags.StringVar(&a.tls.PeerCA, "ca", "", "authority of the control daemons' certificates")
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

// client connects to the control daemon that was named.
func (a *app) client() (marbleroadv1connect.OperatorServiceClient, error) {
	return a.clientOf(a.control)
}

// clientOf connects to a control daemon with the operators' token.
func (a *app) clientOf(address string) (marbleroadv1connect.OperatorServiceClient, error) {
	if address == "" {
		return nil, errors.Wrapf(errUsage, "no control daemon: give --control or set %s; "+
			"for marbleroad-node, whose configuration the platform keeps, see marbleroadctl node", envControl)
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
	return marbleroadv1connect.NewOperatorServiceClient(peers.Client(), peers.URL(address), auth), nil
}

func (a *app) token() (string, error) {
	if a.tokenFile == "" {
		return os.Getenv(envToken), nil
	}
	data, err := os.ReadFile(a.tokenFile)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read token")
}

// bearer adds the token to each call.
func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, r)
		}
	}
}

func (a *app) context(c *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := c.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return context.WithTimeout(ctx, a.timeout)
}
