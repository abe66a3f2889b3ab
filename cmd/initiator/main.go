// Command initiator is the storage initiator: it runs the scheduler between clients and storage targets (serve), validates
// configurations (check), and keeps the initiators' configurations (agent, config).
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "initiator:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "initiator",
		Short:         "A storage initiator that schedules requests by redemptive fair queuing",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), agentCommand(), configCommand())
	return root
}

// printf writes a command's output. A failure to write is ignored: there is nowhere else to report it.
func printf(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format, args...)
}
