// Command pistachiovane routes requests to language-model engines with separate prefill and decode endpoints, and to
// plain services.
package main

import (
	"os"

	"github.com/pistachiovane/pistachiovane/cmd/pistachiovane/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
