package daemon

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/marbleroad/marbleroad/internal/settings"
)

func runCommand(program settings.Program) *cobra.Command {
	return &cobra.Command{
		Use:     "run FILE",
		Short:   "Run the daemon with the settings of an INI file.",
		Example: "  " + string(program) + " run /etc/marbleroad.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := settings.Load(args[0], program)
			if err != nil {
				return err
			}
			return run(program, args[0], s)
		},
	}
}

func checkCommand(program settings.Program) *cobra.Command {
	return &cobra.Command{
		Use:     "check-config FILE",
		Short:   "Check an INI file and list all errors; exit code 2 if there are any.",
		Example: "  " + string(program) + " check-config /etc/marbleroad.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0], program); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.OutOrStdout(), args[0]+": ok")
			return nil
		},
	}
}

func versionCommand(program settings.Program) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version.",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			_, _ = fmt.Fprintln(c.OutOrStdout(), string(program), Version())
		},
	}
}

// Version returns the module version that the binary was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
