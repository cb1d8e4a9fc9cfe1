package assembler

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// Account is a client account of a stand-in fleet, with its key in clear for the test callers.
type Account struct {
	Name   string
	Key    string
	Rate   int
	Burst  int
	Weight int
}

// PlansText returns the plans list of the accounts.
func PlansText(version uint64, accounts []Account) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[list]\nversion = %d\n", version)
	for _, a := range accounts {
		d := catalog.DigestOf(a.Key)
		fmt.Fprintf(&b, "\n[account %s]\nplan = standard\nkeys = %s\nrate = %d\nburst = %d\nweight = %d\n",
			a.Name, hex.EncodeToString(d[:]), a.Rate, a.Burst, a.Weight)
	}
	return b.String()
}

// UsesText returns a uses list with one plan over one model and one service.
func UsesText(version uint64, model, service string) string {
	return fmt.Sprintf(`[list]
version = %d

[plan standard]
routes = drafts, calls

[route drafts]
kind = model
target = %s

[route calls]
kind = service
target = %s
repeat = no
cost = 1

[route timetable]
kind = open
target = %s
`, version, model, service, service)
}
