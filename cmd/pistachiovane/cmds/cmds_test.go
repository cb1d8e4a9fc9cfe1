package cmds

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the test binary act as the command pistachiovane in the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pistachiovane": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// A change of a command's output, errors or exit code would break the scripts of operators. The scripts in testdata
// compare them.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", UpdateScripts: os.Getenv("UPDATE_GOLDEN") != ""})
}
