// Command initiator runs a storage initiator between clients and storage targets (serve). It also validates configurations
// (check), runs an agent of the store that holds the initiators' configurations (agent), reads and writes the configurations
// in that store (config), and prints its version (version).
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

// printf writes a command's output. Write errors are ignored, because there is nowhere else to report them.
func printf(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format, args...)
}
